#pragma once

#include <cstdint>
#include <string>
#include <vector>

/**
 * Load pattern: a balancer spreads callers evenly over entries whose processors
 * are unequal, and those with the smallest ones get more than they can do.
 */
namespace gooseberry::membership {

/** What an entry knows of the load that an entry can take. */
struct entry_capacity
{
  std::string mFailureDomain;
  std::uint32_t mMillicores = 0; ///< Thousandths of a core; 0: unknown.
  bool mIsAvailable = false;     ///< Lately, and it is not leaving.
  bool mIsBusy = false;          ///< Its own processor is used up.
};

/**
 * Whether an entry leaves callers to much stronger ones: these have time, and
 * twice the processor time of all the rest together. It takes callers where
 * fewer than half of its domain's entries would be left, as balancers then use
 * all of them, the failed ones too.
 */
bool
IsStandby(const entry_capacity& aSelf,
          const std::vector<entry_capacity>& aOthers);

/** Whether the entries that are not busy have most of the processor time. */
bool
HaveSpareCapacity(const std::vector<entry_capacity>& aOthers);

} // namespace gooseberry::membership
