#include "libgooseberry/membership/standby.h"

#include <algorithm>

namespace gooseberry::membership {

namespace {

/** Times an entry's own processor time that make another much stronger. */
constexpr std::uint32_t kMinCapacityRatio = 2;
/** Times the processor time of all the rest that the stronger ones have. */
constexpr std::uint32_t kMinTotalRatio = 2;

bool
HasMuchMoreCapacity(const entry_capacity& aEntry, const entry_capacity& aOther)
{
  return aEntry.mMillicores >= kMinCapacityRatio * aOther.mMillicores;
}

/** Whether the stronger entries can take the callers of all. */
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

/** Whether the balancer keeps to the domain's stronger entries; where it has
 * none, the balancer goes to other domains. */
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
    // Unknown ones count by their number.
    const std::uint32_t weight = std::max(entry.mMillicores, 1U);
    all += weight;
    notBusy += entry.mIsBusy ? 0 : weight;
  }
  return 2 * notBusy > all;
}

} // namespace gooseberry::membership
