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
  ++aRun.mCallsMade;
  aRun.mOpenCalls.push_back({ aRun.mCall, aNow });
  aRun.mNextResend = aNow + PauseBeforeResend(aTarget, aRun, aNow);
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

core::duration
RenewWait(const leased_target& aTarget, core::instant aNow)
{
  const lease_settings& settings = aTarget.mSettings;
  return LosesCalls(aTarget, aNow) ? settings.mShortRenewWait
                                   : settings.mRenewWait;
}

core::duration
RenewOverdue(const leased_target& aTarget, core::instant aNow)
{
  const lease_settings& settings = aTarget.mSettings;
  return LosesCalls(aTarget, aNow) ? settings.mShortOverdue
                                   : settings.mRenewOverdue;
}

/** Returns when the latest renewal counts as lost. */
core::instant
OverdueAt(const leased_target& aTarget, core::instant aNow)
{
  return aTarget.mRenewalSentAt + aTarget.mRenewalWait +
         RenewOverdue(aTarget, aNow);
}

void
Renew(leased_target& aTarget, core::instant aNow, effects& aOut)
{
  const bool isFirst =
    !aTarget.mReportAskedAt || aTarget.mFailures > 0 || aTarget.mRenewing;
  const auto wait = isFirst ? core::duration::zero() : RenewWait(aTarget, aNow);
  target_time until{};
  // Without a report, the lease is extended once only: if the target answers
  // nothing, the lease expires and the runs can be started elsewhere.
  if (aTarget.mClock && aTarget.mIsExtensionAnswered &&
      aTarget.mFailures == 0) {
    until = ExtendLease(aTarget, aTarget.mSettings.mLease, aNow);
    aTarget.mIsExtensionAnswered = false;
  }
  aTarget.mRenewing = true;
  aTarget.mRenewalSentAt = aNow;
  aTarget.mRenewalWait = wait;
  aOut.emplace_back(call(renew_call{ HeaderFor(aTarget, wait),
                                     until,
                                     aTarget.mLastEnd,
                                     wait,
                                     OverdueAt(aTarget, aNow) }));
}

/** Returns when the call was made. */
core::instant
MadeAt(const leased_target& aTarget, const start_call& aCall)
{
  return aCall.mSendBefore - aTarget.mSettings.mStartValidity;
}

/** Records that the target runs the task; `aIsOfKnownProcess` says that the
 * process that sent the reports does. */
void
MarkAccepted(run& aRun, bool aIsOfKnownProcess, core::instant aNow)
{
  aRun.mState = run_state::Running;
  aRun.mHasStarted = true;
  aRun.mAnsweredAt = aNow;
  if (aIsOfKnownProcess) {
    aRun.mIsConfirmed = true;
  } else {
    aRun.mMayBeAtNextProcess = true;
  }
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
  aRun.mIsOverAtProcess = false;
  SendStart(aTarget, aRun, aNow, aOut);
  return true;
}

/** Returns whether the renewal in flight counts as lost. */
bool
IsRenewalOverdue(const leased_target& aTarget, core::instant aNow)
{
  return aTarget.mRenewing && aNow > OverdueAt(aTarget, aNow);
}

/**
 * Sends a start without an answer again, under the same run number. The target
 * starts the run once at most, however many of the calls reach it.
 *
 * Load pattern: a target leaves a few starts unanswered while it answers other
 * calls. A job ends with its last task, so each such start would delay a job by
 * the whole deadline of the call.
 */
void
Resend(leased_target& aTarget, run& aRun, core::instant aNow, effects& aOut)
{
  aOut.emplace_back(call(withdraw_call{ aTarget.mName, aRun.mCall }));
  ++aRun.mResends;
  aTarget.mLosesCallsUntil = aNow + aTarget.mSettings.mLossMemory;
  SendStart(aTarget, aRun, aNow, aOut);
}

/** Returns the verdict on a run whose start call was refused. */
start_verdict
VerdictOf(start_answer aRefusal)
{
  switch (aRefusal) {
    case start_answer::NoRoom:
      return start_verdict::Busy;
    case start_answer::Fenced:
    case start_answer::Late:
    case start_answer::Withdrawn:
      return start_verdict::Stale;
    case start_answer::Superseded:
      return start_verdict::Cancelled;
    default:
      return start_verdict::NoTarget;
  }
}

/** Handles that the latest start call of a run was not accepted; `aIsCurrent`
 * says that it was made for the current incarnation. */
void
ApplyRefusal(leased_target& aTarget,
             run& aRun,
             start_answer aAnswer,
             bool aIsCurrent,
             core::instant aNow,
             effects& aOut)
{
  const core::task_ref task = aRun.mTask;
  const std::string detail(kStartAnswerNames.NameOf(aAnswer));
  if (aAnswer == start_answer::NoAnswer) {
    aRun.mState = run_state::InDoubt;
  } else if (aAnswer == start_answer::Invalid) {
    const auto verdict = start_verdict::Accepted;
    EndRun(aTarget, task, task_end::Failed, verdict, detail, aNow, aOut);
  } else if (HasOpenCalls(aRun)) {
    KeepForResend(aTarget, aRun, aNow);
    if (aAnswer == start_answer::Superseded) {
      // An earlier call was carried out; reports list how it ended.
      aRun.mHasStarted = true;
      aRun.mIsOverAtProcess |= aIsCurrent;
    }
  } else if (aAnswer != start_answer::Superseded || !aIsCurrent ||
             !StartRenumbered(aTarget, aRun, aNow, aOut)) {
    ReturnRun(aTarget, task, VerdictOf(aAnswer), detail, aNow, aOut);
  }
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
  // A call of an earlier run of the task may be carried out as this one.
  added.mCallsMade = aTarget.mLateStarts.contains(aStart.mTask) ? 1 : 0;
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
  stopped.mStopAnsweredAt.reset();
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
  if (found == nullptr) {
    return;
  }
  if (aAnswer != start_answer::NoAnswer) {
    RemoveOpenCall(*found, aCall.mId);
  }
  if (aAnswer == start_answer::Accepted || found->mCall == aCall.mId) {
    found->mCallSentBy = found->mCallSentBy.value_or(aNow);
  }
  if (aAnswer == start_answer::Accepted) {
    const bool isOfKnownProcess =
      isCurrent && aClock &&
      MayHaveShown(aTarget, *aClock, MadeAt(aTarget, aCall), aNow);
    MarkAccepted(*found, isOfKnownProcess, aNow);
  } else if (found->mCall == aCall.mId && found->mState != run_state::Running) {
    ApplyRefusal(aTarget, *found, aAnswer, isCurrent, aNow, aOut);
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
  if (aAskedAt < aTarget.mRenewalSentAt) {
    return; // Counted as lost before; a later one is in flight.
  }
  aTarget.mRenewing = false;
  aTarget.mNextRenewal = aNow + aTarget.mSettings.mRenewRetry;
  if (++aTarget.mFailures == 1) {
    aOut.emplace_back(target_change{
      "target_silent", std::string(kRenewalFailureNames.NameOf(aFailure)) });
  }
  if (aFailure == renewal_failure::Fenced && aClock) {
    // The clock is not recorded: the answer does not name its process.
    OutrankToken(aTarget, *aClock, aNow);
    aTarget.mNextRenewal = aNow;
  } else if (aFailure == renewal_failure::Refused) {
    // The process may be cut off and run on, so its runs keep their leases.
    aTarget.mIsRefusing = true;
    // If another one is next, it rejects earlier starts from the first call on.
    RaiseToken(aTarget, target_time::zero(), aNow);
  } else if (aFailure == renewal_failure::OtherTarget) {
    // Another process has the address, so that one and its runs are gone.
    EndRuns(aTarget, "target is gone", aNow, aOut, IsKnownToBeThere);
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
    EndRuns(aTarget, "lease lapsed", aNow, aOut, IsKnownToBeThere);
  }
  DropExpiredCalls(aTarget, aNow);
  EndRuns(aTarget, "ended at its target", aNow, aOut, [](const run& aRun) {
    return aRun.mIsOverAtProcess && !HasOpenCalls(aRun) &&
           aRun.mState != run_state::Running;
  });
  EndRuns(aTarget, "call expired", aNow, aOut, [&](const run& aRun) {
    return !IsKnownToBeThere(aRun) && !HasOpenCalls(aRun) &&
           CallExpiry(aTarget, { aRun.mCall, aRun.mSentAt }) < aNow;
  });
  if (aTarget.mRuns.empty()) {
    AdoptPendingRegistration(aTarget, aNow, aOut);
  }
  for (auto& [task, run] : aTarget.mRuns) {
    if (run.mStopRequested && !run.mStopAnsweredAt && run.mNextStop <= aNow) {
      run.mNextStop = aNow + aTarget.mSettings.mStopRetry;
      SendStop(aTarget, task, run.mRun, aOut);
    }
    if (IsResendDue(aTarget, run, aNow)) {
      Resend(aTarget, run, aNow, aOut);
    }
  }
  const bool isLost = IsRenewalOverdue(aTarget, aNow);
  if (isLost) {
    aTarget.mLosesCallsUntil = aNow + aTarget.mSettings.mLossMemory;
  }
  if (isLost || (!aTarget.mRenewing && aTarget.mNextRenewal <= aNow)) {
    Renew(aTarget, aNow, aOut);
  }
}

} // namespace gooseberry::lease
