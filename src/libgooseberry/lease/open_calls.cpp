#include "libgooseberry/lease/internal.h"

#include <algorithm>
#include <vector>

/** Start calls without an answer, and when they are sent again. */
namespace gooseberry::lease {

namespace {

/** Returns whether the run's entry is known to have required it so lately that
 * another start call may be sent. */
bool
IsStillRequired(const leased_target& aTarget,
                const run& aRun,
                core::instant aNow)
{
  const lease_settings& settings = aTarget.mSettings;
  return !aRun.mStopRequested && aNow + settings.mStartValidity <=
                                   aRun.mConfirmedAt + settings.mRunHold;
}

} // namespace

bool
HasOpenCalls(const run& aRun)
{
  return !aRun.mOpenCalls.empty();
}

core::instant
CallExpiry(const leased_target& aTarget, const open_call& aCall)
{
  return aCall.mSentAt + kCallLifetime + aTarget.mSettings.mLongestLease;
}

bool
IsKnownToBeThere(const run& aRun)
{
  return aRun.mIsConfirmed && !aRun.mMayBeAtNextProcess && !HasOpenCalls(aRun);
}

bool
LosesCalls(const leased_target& aTarget, core::instant aNow)
{
  return aNow < aTarget.mLosesCallsUntil;
}

core::duration
PauseBeforeResend(const leased_target& aTarget,
                  const run& aRun,
                  core::instant aNow)
{
  constexpr std::uint32_t kMaxDoublings = 8;
  const lease_settings& settings = aTarget.mSettings;
  if (aRun.mResends == 0 && LosesCalls(aTarget, aNow)) {
    return settings.mShortOverdue;
  }
  const auto doublings = std::min(aRun.mResends, kMaxDoublings);
  return std::min(settings.mStartOverdue * (std::int64_t(1) << doublings),
                  settings.mMaxResendPause);
}

void
KeepForResend(const leased_target& aTarget, run& aRun, core::instant aNow)
{
  aRun.mState = run_state::InDoubt;
  aRun.mIsConfirmed = false;
  aRun.mNextResend = aNow + PauseBeforeResend(aTarget, aRun, aNow);
}

bool
IsResendDue(const leased_target& aTarget, const run& aRun, core::instant aNow)
{
  return aRun.mState != run_state::Running && aRun.mNextResend <= aNow &&
         !aRun.mIsOverAtProcess && !aTarget.mIsRefusing && aTarget.mClock &&
         IsStillRequired(aTarget, aRun, aNow);
}

void
RemoveOpenCall(run& aRun, std::uint64_t aCall)
{
  std::erase_if(aRun.mOpenCalls,
                [aCall](const open_call& aOpen) { return aOpen.mId == aCall; });
}

void
DropExpiredCalls(leased_target& aTarget, core::instant aNow)
{
  for (auto& [task, run] : aTarget.mRuns) {
    std::erase_if(run.mOpenCalls, [&](const open_call& aCall) {
      return CallExpiry(aTarget, aCall) < aNow;
    });
  }
  std::erase_if(aTarget.mLateStarts,
                [&](const auto& aLate) { return aLate.second < aNow; });
}

} // namespace gooseberry::lease
