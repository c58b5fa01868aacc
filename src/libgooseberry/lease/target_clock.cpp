#include "libgooseberry/lease/target_clock.h"

#include <algorithm>

namespace gooseberry::lease {

using std::chrono::duration_cast;

namespace {

/** Returns when the target's clock has certainly passed `aTime`. */
core::instant
TimeAfter(const leased_target& aTarget, target_time aTime)
{
  const auto& [clock, askedAt, arrivedAt] = *aTarget.mClock;
  const auto left =
    std::max(aTime + Margin(aTarget) - clock, target_time::zero());
  const auto slowest = duration_cast<core::duration>(
    std::chrono::duration<double, std::milli>(left) * (1 + kMaxClockDrift));
  return arrivedAt + slowest;
}

} // namespace

target_time
ClockAt(const leased_target& aTarget, core::instant aNow)
{
  if (!aTarget.mClock) {
    return {};
  }
  const auto& [clock, askedAt, arrivedAt] = *aTarget.mClock;
  return clock + duration_cast<target_time>(aNow - arrivedAt);
}

target_time
Margin(const leased_target& aTarget)
{
  return duration_cast<target_time>(aTarget.mSettings.mExpiryMargin);
}

void
ReadClock(leased_target& aTarget,
          target_time aClock,
          core::instant aAskedAt,
          core::instant aNow)
{
  if (!aTarget.mClock || aTarget.mClock->mAskedAt <= aAskedAt) {
    aTarget.mClock = { aClock, aAskedAt, aNow };
  }
}

bool
MayHaveShown(const leased_target& aTarget,
             target_time aClock,
             core::instant aSince,
             core::instant aNow)
{
  constexpr target_time kResolution{ 1 };
  if (!aTarget.mClock) {
    return false;
  }
  const auto& [clock, askedAt, arrivedAt] = *aTarget.mClock;
  const core::duration shortest = aSince - arrivedAt;
  const core::duration longest = aNow - askedAt;
  const auto slowest = std::min(
    shortest, duration_cast<core::duration>(shortest / (1 + kMaxClockDrift)));
  return aClock >= clock + duration_cast<target_time>(slowest) - kResolution &&
         aClock <= clock + duration_cast<target_time>(longest) + kResolution;
}

core::duration
LongestLease(const leased_target& aTarget, core::instant aNow)
{
  core::duration longest = aTarget.mSettings.mLease;
  for (const auto& [task, run] : aTarget.mRuns) {
    longest =
      std::min(longest, run.mConfirmedAt + aTarget.mSettings.mRunHold - aNow);
  }
  return std::max(longest, core::duration::zero());
}

target_time
ExtendLease(leased_target& aTarget, core::duration aBy, core::instant aNow)
{
  const auto by = std::min(aBy, LongestLease(aTarget, aNow));
  const auto until = ClockAt(aTarget, aNow) + duration_cast<target_time>(by);
  aTarget.mLeaseUntil = std::max(aTarget.mLeaseUntil, until);
  return until;
}

bool
HasExpired(const leased_target& aTarget, core::instant aNow)
{
  return aTarget.mClock && aNow >= TimeAfter(aTarget, aTarget.mLeaseUntil);
}

} // namespace gooseberry::lease
