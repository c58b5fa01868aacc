#include "libgooseberry/membership/standby.h"

#include <algorithm>

namespace gooseberry::membership {

namespace {

/** A larger entry has at least this many times the processor time. */
constexpr std::uint32_t kMinCapacityRatio = 2;
/**
 * Larger entries must together have this many times the processor time of all
 * other entries.
 */
constexpr std::uint32_t kMinTotalRatio = 2;

bool
HasMuchMoreCapacity(const entry_capacity& aEntry, const entry_capacity& aOther)
{
  return aEntry.mMillicores >= kMinCapacityRatio * aOther.mMillicores;
}

/** Returns whether the larger entries have the capacity for all callers. */
bool
CanServeAll(const entry_capacity& aSelf,
            const std::vector<entry_capacity>& aOthers)
{
  std::uint32_t larger = 0;
  std::uint32_t rest = aSelf.mMillicores;
  for (const entry_capacity& entry : aOthers) {
    if (!entry.mIsAvailable) {
      continue;
    }
    if (!HasMuchMoreCapacity(entry, aSelf)) {
      rest += entry.mMillicores;
      continue;
    }
    if (entry.mIsBusy) {
      return false;
    }
    larger += entry.mMillicores;
  }
  return larger >= kMinTotalRatio * rest;
}

/**
 * Returns whether the balancer keeps using the larger entries of the domain. It
 * falls back to all entries of a domain where fewer than half are ready. A
 * domain without larger entries may be left empty: the balancer goes to other
 * domains.
 */
bool
CanLeaveDomain(const entry_capacity& aSelf,
               const std::vector<entry_capacity>& aOthers)
{
  std::size_t all = 1;
  std::size_t larger = 0;
  std::size_t usable = 0;
  for (const entry_capacity& entry : aOthers) {
    if (entry.mFailureDomain != aSelf.mFailureDomain) {
      continue;
    }
    ++all;
    if (HasMuchMoreCapacity(entry, aSelf)) {
      ++larger;
      usable += entry.mIsAvailable ? 1 : 0;
    }
  }
  return larger == 0 || 2 * usable >= all;
}

} // namespace

bool
IsStandby(const entry_capacity& aSelf,
          const std::vector<entry_capacity>& aOthers)
{
  return aSelf.mMillicores > 0 && CanServeAll(aSelf, aOthers) &&
         CanLeaveDomain(aSelf, aOthers);
}

bool
HaveSpareCapacity(const std::vector<entry_capacity>& aOthers)
{
  std::uint32_t all = 0;
  std::uint32_t notBusy = 0;
  for (const entry_capacity& entry : aOthers) {
    if (!entry.mIsAvailable) {
      continue;
    }
    // Entries of unknown capacity have a weight of 1 each.
    const std::uint32_t weight = std::max(entry.mMillicores, 1U);
    all += weight;
    notBusy += entry.mIsBusy ? 0 : weight;
  }
  return 2 * notBusy > all;
}

} // namespace gooseberry::membership
