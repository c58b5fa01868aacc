#include "libgooseberry/lease/leased_target.h"

#include "libgooseberry/lease/internal.h"
#include "libgooseberry/lease/target_clock.h"

#include <algorithm>
#include <utility>

namespace gooseberry::lease {

namespace {

using core::start_verdict;
using core::task_end;

/** Rejections as superseded that a run may receive before it is abandoned. */
constexpr std::uint32_t kMaxRenumberings = 6;

void
SendStart(leased_target& aTarget, run& aRun, core::instant aNow, effects& aOut)
{
  aRun.mState = run_state::Starting;
  aRun.mSentAt = aNow;
  aRun.mAnsweredAt.reset();
  aRun.mCall = ++aTarget.mLastCall;
  aRun.mCalledIncarnation = aTarget.mTargetIncarnation;
  aRun.mCallSentBy.reset();
  aRun.mIsConfirmed = false;
  aRun.mValidUntil =
    ExtendLease(aTarget, aTarget.mSettings.mStartValidity, aNow);
  aOut.emplace_back(
    call(start_call{ HeaderFor(aTarget),
                     aRun.mCall,
                     aRun.mTask,
                     aRun.mRun,
                     aRun.mPayload,
                     aRun.mValidUntil,
                     aNow + aTarget.mSettings.mStartValidity }));
}

void
Renew(leased_target& aTarget, core::instant aNow, effects& aOut)
{
  const bool isFirst =
    !aTarget.mReportAskedAt || aTarget.mFailures > 0 || aTarget.mRenewing;
  const auto wait =
    isFirst ? core::duration::zero() : aTarget.mSettings.mRenewWait;
  target_time until{};
  // A renewal that follows a lost or failed one does not extend the lease: if
  // the target answers none, the lease expires and the runs can be started
  // elsewhere.
  if (aTarget.mClock && !aTarget.mRenewing && aTarget.mFailures == 0) {
    until = ExtendLease(aTarget, aTarget.mSettings.mLease, aNow);
  }
  aTarget.mRenewing = true;
  aTarget.mRenewalSentAt = aNow;
  aOut.emplace_back(call(
    renew_call{ HeaderFor(aTarget, wait), until, aTarget.mLastEnd, wait }));
}

/** Records that a process with this clock, if known, runs the task. */
void
MarkAccepted(const leased_target& aTarget,
             run& aRun,
             std::optional<target_time> aClock,
             core::instant aNow)
{
  aRun.mState = run_state::Running;
  aRun.mAnsweredAt = aNow;
  aRun.mIsConfirmed |= aClock && IsOfKnownProcess(aTarget, *aClock, aNow);
}

/** Starts a superseded run again under a higher number. Returns false if it was
 * to be stopped or has been superseded too often. */
bool
StartRenumbered(leased_target& aTarget,
                run& aRun,
                core::instant aNow,
                effects& aOut)
{
  if (aRun.mStopRequested || ++aRun.mRenumberings > kMaxRenumberings) {
    return false;
  }
  aRun.mRun += aRun.mRenumberings;
  SendStart(aTarget, aRun, aNow, aOut);
  return true;
}

/** Returns whether the renewal in flight counts as lost. */
bool
IsRenewalOverdue(const leased_target& aTarget, core::instant aNow)
{
  const lease_settings& settings = aTarget.mSettings;
  return aTarget.mRenewing && aNow - aTarget.mRenewalSentAt >
                                settings.mRenewWait + settings.mRenewOverdue;
}

/**
 * Returns whether no process of the target can carry out the run's start call
 * any more, nor still have what it has carried out.
 */
bool
IsCallOver(const leased_target& aTarget, const run& aRun, core::instant aNow)
{
  return aNow - aRun.mSentAt > kCallLifetime + aTarget.mSettings.mLongestLease;
}

} // namespace

bool
IsReady(const leased_target& aTarget, core::instant aNow)
{
  return aTarget.mNoForeignRuns && !aTarget.mPendingRegistration &&
         !aTarget.mIsRefusing && aTarget.mReportAskedAt &&
         aNow - *aTarget.mReportAskedAt < aTarget.mSettings.mLease;
}

bool
MayStart(const leased_target& aTarget,
         core::instant aConfirmedAt,
         core::instant aNow)
{
  const auto granted = aTarget.mLeaseUntil - ClockAt(aTarget, aNow);
  return aNow + granted <= aConfirmedAt + aTarget.mSettings.mRunHold;
}

void
OnRegistration(leased_target& aTarget,
               const registration& aRegistration,
               core::instant aNow,
               effects& aOut)
{
  const bool isSameIncarnation =
    aRegistration.mTargetIncarnation == 0 ||
    aRegistration.mTargetIncarnation == aTarget.mTargetIncarnation;
  if (isSameIncarnation && aTarget.mName == aRegistration.mName &&
      aTarget.mAddress == aRegistration.mAddress) {
    return;
  }
  if (aTarget.mRuns.empty()) {
    AdoptRegistration(aTarget, aRegistration, aNow, aOut);
  } else {
    aTarget.mPendingRegistration = { aRegistration, aNow };
    aTarget.mRenewing = false; // A report requested from now on decides.
    aTarget.mNextRenewal = aNow;
  }
}

void
StartRun(leased_target& aTarget,
         const core::task_start& aStart,
         core::instant aConfirmedAt,
         core::instant aNow,
         effects& aOut)
{
  run& added = aTarget.mRuns[aStart.mTask];
  added.mTask = aStart.mTask;
  added.mConfirmedAt = aConfirmedAt;
  added.mTry = aStart.mTry;
  added.mRun = aStart.mTry;
  added.mPayload = aStart.mPayload;
  SendStart(aTarget, added, aNow, aOut);
}

void
ConfirmRun(run& aRun, core::instant aConfirmedAt)
{
  if (!aRun.mStopRequested) {
    aRun.mConfirmedAt = aConfirmedAt;
  }
}

void
StopRun(leased_target& aTarget,
        const core::task_ref& aTask,
        core::instant aNow,
        effects& aOut)
{
  const auto found = aTarget.mRuns.find(aTask);
  if (found == aTarget.mRuns.end() || found->second.mStopRequested) {
    return;
  }
  run& stopped = found->second;
  stopped.mStopRequested = true;
  // If the stop overtakes the start, the target rejects the run.
  stopped.mNextStop = aNow + aTarget.mSettings.mStopRetry;
  SendStop(aTarget, aTask, stopped.mRun, aOut);
}

void
OnStartAnswer(leased_target& aTarget,
              const start_call& aCall,
              start_answer aAnswer,
              std::optional<target_time> aClock,
              core::instant aNow,
              effects& aOut)
{
  const bool isCurrent = IsCurrentIncarnation(aTarget, aCall.mHeader);
  if (aAnswer == start_answer::Fenced && aClock && isCurrent) {
    OutrankToken(aTarget, *aClock, aNow);
  }
  run* const found = FindRun(aTarget, aCall.mTask, aCall.mRun);
  if (found == nullptr || found->mCall != aCall.mId) {
    return;
  }
  found->mCallSentBy = found->mCallSentBy.value_or(aNow);
  const std::string detail(kStartAnswerNames.NameOf(aAnswer));
  const auto returnRun = [&](start_verdict aVerdict) {
    ReturnRun(aTarget, aCall.mTask, aVerdict, detail, aNow, aOut);
  };
  switch (aAnswer) {
    case start_answer::Accepted:
      MarkAccepted(aTarget, *found, isCurrent ? aClock : std::nullopt, aNow);
      break;
    case start_answer::Superseded:
      if (!isCurrent || !StartRenumbered(aTarget, *found, aNow, aOut)) {
        return returnRun(start_verdict::Cancelled);
      }
      break;
    case start_answer::NoAnswer:
      if (found->mState == run_state::Starting) {
        found->mState = run_state::InDoubt;
        found->mNextStop = aNow;
      }
      break;
    case start_answer::Invalid:
      EndRun(aTarget,
             aCall.mTask,
             task_end::Failed,
             start_verdict::Accepted,
             detail,
             aNow,
             aOut);
      break;
    case start_answer::NoRoom:
      return returnRun(start_verdict::Busy);
    case start_answer::Fenced:
    case start_answer::Late:
    case start_answer::Withdrawn:
      return returnRun(start_verdict::Stale);
    case start_answer::Unhealthy:
    case start_answer::OtherTarget:
    case start_answer::NotSent:
      return returnRun(start_verdict::NoTarget);
  }
}

void
OnStartSent(leased_target& aTarget, std::uint64_t aStartId, core::instant aNow)
{
  for (auto& [task, run] : aTarget.mRuns) {
    if (run.mCall == aStartId && !run.mCallSentBy) {
      run.mCallSentBy = aNow;
    }
  }
}

void
OnStopAnswer(leased_target& aTarget, const stop_call& aCall, core::instant aNow)
{
  if (run* const stopped = FindRun(aTarget, aCall.mTask, aCall.mRun);
      stopped != nullptr && !stopped->mStopAnsweredAt &&
      IsCurrentIncarnation(aTarget, aCall.mHeader)) {
    stopped->mStopAnsweredAt = aNow;
  }
}

void
OnRenewalFailed(leased_target& aTarget,
                renewal_failure aFailure,
                std::optional<target_time> aClock,
                core::instant aAskedAt,
                core::instant aNow,
                effects& aOut)
{
  if (aAskedAt < aTarget.mIncarnationSince) {
    return; // Not about the current incarnation.
  }
  if (aFailure == renewal_failure::NoAnswer &&
      aAskedAt < aTarget.mRenewalSentAt) {
    return; // Counted as lost before; a later one is in flight.
  }
  aTarget.mRenewing = false;
  aTarget.mNextRenewal = aNow + aTarget.mSettings.mRenewRetry;
  if (++aTarget.mFailures == 1) {
    aOut.emplace_back(target_change{
      "target_silent", std::string(kRenewalFailureNames.NameOf(aFailure)) });
  }
  if (aFailure == renewal_failure::Fenced && aClock) {
    ReadClock(aTarget, *aClock, aAskedAt, aNow);
    OutrankToken(aTarget, *aClock, aNow);
    aTarget.mNextRenewal = aNow;
  } else if (aFailure == renewal_failure::Refused) {
    // The process may be cut off and run on, so its runs keep their leases.
    aTarget.mIsRefusing = true;
    // If another one is next, it rejects earlier starts from the first call on.
    RaiseToken(aTarget, target_time::zero(), aNow);
  } else if (aFailure == renewal_failure::OtherTarget) {
    // Another process has the address, so that one and its runs are gone.
    EndRuns(aTarget, "target is gone", aNow, aOut, [](const run& aRun) {
      return aRun.mIsConfirmed;
    });
    // Any incarnation may register next, even a lower one; a report requested
    // before may be late and of the one that is gone.
    aTarget.mTargetIncarnation = 0;
    aTarget.mIncarnationSince = aNow;
    // The next process rejects the starts made before from the first call on.
    RaiseToken(aTarget, target_time::zero(), aNow);
    AdoptPendingRegistration(aTarget, aNow, aOut);
  }
}

void
Tick(leased_target& aTarget, core::instant aNow, effects& aOut)
{
  if (aTarget.mName.empty()) {
    return;
  }
  if (!aTarget.mRuns.empty() && HasExpired(aTarget, aNow)) {
    EndRuns(aTarget, "lease lapsed", aNow, aOut, [](const run& aRun) {
      return aRun.mIsConfirmed;
    });
  }
  EndRuns(aTarget, "call expired", aNow, aOut, [&](const run& aRun) {
    return !aRun.mIsConfirmed && IsCallOver(aTarget, aRun, aNow);
  });
  if (aTarget.mRuns.empty()) {
    AdoptPendingRegistration(aTarget, aNow, aOut);
  }
  for (auto& [task, run] : aTarget.mRuns) {
    const bool isDue = run.mStopRequested || run.mState == run_state::InDoubt;
    if (isDue && !run.mStopAnsweredAt && run.mNextStop <= aNow) {
      run.mNextStop = aNow + aTarget.mSettings.mStopRetry;
      SendStop(aTarget, task, run.mRun, aOut);
    }
  }
  if (IsRenewalOverdue(aTarget, aNow) ||
      (!aTarget.mRenewing && aTarget.mNextRenewal <= aNow)) {
    Renew(aTarget, aNow, aOut);
  }
}

} // namespace gooseberry::lease
