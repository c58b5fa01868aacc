#include "libgooseberry/membership/caller_load.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace gooseberry::membership {

namespace {

/** Expected use from which the load is high. Some entries get half as many
 * callers again as an even share; a lower mark would put entries with 0.12 of a
 * core on standby in calm. */
constexpr double kHighUse = 0.95;
/** Expected and current use below which a high load becomes low. */
constexpr double kLowUse = 0.85;
/** Current use from which the load is high: the processor is nearly used up. */
constexpr double kHighCurrentUse = 0.95;
/** Balancers need two to three seconds to take an entry out of rotation, and
 * bursts last for seconds: a shorter time would make callers oscillate. */
constexpr core::duration kMinHighTime = std::chrono::seconds(10);
/** Time for callers to come back before the load is judged again. */
constexpr core::duration kMinLowTime = std::chrono::seconds(3);

bool
IsHigh(const caller_use& aUse)
{
  return aUse.mIsDelayed || aUse.mExpected.value_or(0) > kHighUse ||
         aUse.mCurrent > kHighCurrentUse;
}

bool
IsLow(const caller_use& aUse)
{
  return !aUse.mIsDelayed && aUse.mExpected.value_or(0) < kLowUse &&
         aUse.mCurrent < kLowUse;
}

} // namespace

std::optional<double>
ExpectedRate(const entry_capacity& aSelf,
             const std::vector<entry_capacity>& aOthers)
{
  std::set<std::string_view> domains{ aSelf.mFailureDomain };
  double all = aSelf.mJobsPerSecond.value_or(0);
  double own = all;
  double entries = 1;
  for (const entry_capacity& entry : aOthers) {
    if (!entry.mIsAvailable) {
      continue;
    }
    if (!entry.mJobsPerSecond) {
      return std::nullopt;
    }
    domains.insert(entry.mFailureDomain);
    all += *entry.mJobsPerSecond;
    if (entry.mFailureDomain == aSelf.mFailureDomain) {
      own += *entry.mJobsPerSecond;
      ++entries;
    }
  }
  return std::max(own, all / static_cast<double>(domains.size())) / entries;
}

void
Update(caller_load& aLoad, const caller_use& aUse, core::instant aNow)
{
  if (!aUse.mExpected) {
    aLoad = {};
    return;
  }
  const core::duration minTime = aLoad.mIsHigh ? kMinHighTime : kMinLowTime;
  if (aLoad.mChangedAt && aNow - *aLoad.mChangedAt < minTime) {
    return;
  }
  if (aLoad.mIsHigh ? IsLow(aUse) : IsHigh(aUse)) {
    aLoad.mIsHigh = !aLoad.mIsHigh;
    aLoad.mChangedAt = aNow;
  }
}

} // namespace gooseberry::membership
