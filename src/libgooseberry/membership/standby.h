#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * Load pattern: a balancer spreads callers evenly over entries with unequal
 * processors. The entries with the smallest processors are overloaded at a
 * peak.
 */
namespace gooseberry::membership {

/** Capacity and load of an entry. */
struct entry_capacity
{
  std::string mFailureDomain;
  std::uint32_t mMillicores = 0; ///< Thousandths of a core; 0: unknown.
  bool mIsAvailable = false;     ///< Seen recently, and not leaving.
  bool mIsBusy = false;          ///< Its own processor is overloaded.
  /** Submissions to it; none: it does not tell them. */
  std::optional<double> mJobsPerSecond{};
};

/**
 * Returns whether an entry can leave its callers to much larger entries. The
 * larger entries must not be busy, and must have twice the processor time of
 * all other entries together. An entry does not become standby where fewer than
 * half of its domain's entries would remain: balancers then use all entries of
 * the domain, including failed ones.
 */
bool
IsStandby(const entry_capacity& aSelf,
          const std::vector<entry_capacity>& aOthers);

/**
 * Returns whether the entries that are not busy have more than half of the
 * processor time.
 */
bool
HaveSpareCapacity(const std::vector<entry_capacity>& aOthers);

} // namespace gooseberry::membership
