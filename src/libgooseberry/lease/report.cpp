#include "libgooseberry/lease/internal.h"
#include "libgooseberry/lease/target_clock.h"

#include <algorithm>
#include <utility>

/** Handling of a target's report on its runs. */
namespace gooseberry::lease {

namespace {

using core::start_verdict;
using core::task_end;

/** Closes the call of a listed run that only one start call was made for: it
 * has been carried out. Of several, it is not known which one was. */
void
CloseOnlyCall(run& aRun)
{
  if (aRun.mCallsMade == 1) {
    aRun.mOpenCalls.clear();
  }
}

/** Returns whether a run that ended without a result is to stay at the target,
 * as the next process may still carry out a start call of it. */
bool
MayRunAgain(const run& aRun, task_end aEnd)
{
  return !aRun.mStopRequested && HasOpenCalls(aRun) &&
         aEnd != task_end::Succeeded && aEnd != task_end::Failed;
}

void
ApplyEnds(leased_target& aTarget,
          const std::vector<listed_end>& aEnds,
          core::instant aNow,
          effects& aOut)
{
  for (const listed_end& end : aEnds) {
    if (end.mNumber <= aTarget.mLastEnd) {
      continue;
    }
    aTarget.mLastEnd = end.mNumber;
    run* const ended = FindRun(aTarget, end.mTask, end.mRun);
    if (ended == nullptr) {
      continue;
    }
    CloseOnlyCall(*ended);
    ended->mHasStarted = true;
    if (MayRunAgain(*ended, end.mEnd)) {
      KeepForResend(aTarget, *ended, aNow);
      ended->mIsOverAtProcess = true;
    } else {
      EndRun(aTarget,
             end.mTask,
             end.mEnd,
             start_verdict::Accepted,
             end.mReason,
             aNow,
             aOut);
    }
  }
}

/** Confirms the runs that the target lists; stops those that are not this
 * agent's. */
void
ApplyRunning(leased_target& aTarget,
             const std::vector<listed_run>& aRunning,
             core::instant aAskedAt,
             core::instant aNow,
             effects& aOut)
{
  aTarget.mNoForeignRuns = aAskedAt >= aTarget.mTokenSince;
  for (const listed_run& listed : aRunning) {
    run* const known = FindRun(aTarget, listed.mTask, listed.mRun);
    if (known == nullptr) {
      aTarget.mNoForeignRuns = false;
      SendStop(aTarget, listed.mTask, listed.mRun, aOut);
      continue;
    }
    known->mIsConfirmed = true;
    known->mHasStarted = true;
    known->mResends = 0;
    CloseOnlyCall(*known);
    if (known->mState != run_state::Running) {
      known->mState = run_state::Running;
      known->mAnsweredAt = aNow;
    } else if (known->mAnsweredAt && *known->mAnsweredAt <= aAskedAt) {
      known->mMayBeAtNextProcess = false;
    }
  }
}

bool
IsListed(const std::vector<listed_run>& aRunning, const run& aRun)
{
  return std::any_of(
    aRunning.begin(), aRunning.end(), [&](const listed_run& aListed) {
      return aListed.mTask == aRun.mTask && aListed.mRun == aRun.mRun;
    });
}

/**
 * Ends runs that a report does not list, if the target must have known them
 * when the report was requested. Runs that are not to be stopped stay while one
 * of their start calls may yet be carried out.
 */
void
SettleUnlisted(leased_target& aTarget,
               const target_report& aReport,
               core::instant aAskedAt,
               core::instant aNow,
               effects& aOut)
{
  std::vector<core::task_ref> gone;
  std::vector<core::task_ref> neverStarted;
  for (auto& [task, run] : aTarget.mRuns) {
    if (IsListed(aReport.mRunning, run)) {
      continue;
    }
    if (run.mState == run_state::Running && run.mAnsweredAt &&
        *run.mAnsweredAt <= aAskedAt) {
      if (HasOpenCalls(run) && !run.mStopRequested) {
        KeepForResend(aTarget, run, aNow);
      } else {
        gone.push_back(task);
      }
    } else if (run.mState == run_state::InDoubt && run.mStopRequested &&
               run.mCallSentBy && *run.mCallSentBy <= aAskedAt &&
               ((run.mStopAnsweredAt && *run.mStopAnsweredAt <= aAskedAt) ||
                aReport.mClock >= run.mValidUntil + Margin(aTarget))) {
      neverStarted.push_back(task);
    }
  }
  for (const auto& task : gone) {
    EndRun(aTarget,
           task,
           task_end::Lost,
           start_verdict::Accepted,
           "not listed",
           aNow,
           aOut);
  }
  for (const auto& task : neverStarted) {
    ReturnRun(aTarget,
              task,
              start_verdict::Stale,
              "start was not carried out",
              aNow,
              aOut);
  }
}

/** Withdraws starts without an answer of runs that are to be stopped, if their
 * calls have not been sent yet. */
void
WithdrawStopped(leased_target& aTarget,
                core::instant aAskedAt,
                core::instant aNow,
                effects& aOut)
{
  for (auto& [task, run] : aTarget.mRuns) {
    if (run.mStopRequested && run.mState == run_state::Starting &&
        aAskedAt - run.mSentAt >= aTarget.mSettings.mStartOverdue) {
      run.mState = run_state::InDoubt;
      run.mNextStop = aNow + aTarget.mSettings.mStopRetry;
      SendStop(aTarget, task, run.mRun, aOut);
      aOut.emplace_back(call(withdraw_call{ aTarget.mName, run.mCall }));
    }
  }
}

/** Applies the incarnation in a report, which takes precedence over any
 * registration. */
void
ApplyIncarnation(leased_target& aTarget,
                 std::uint64_t aIncarnation,
                 core::instant aAskedAt,
                 core::instant aNow,
                 effects& aOut)
{
  const bool isOther =
    aIncarnation != 0 && aIncarnation != aTarget.mTargetIncarnation;
  const auto& next = aTarget.mPendingRegistration;
  if (next && aAskedAt >= next->mReceivedAt) {
    if (isOther && aIncarnation == next->mRegistration.mTargetIncarnation) {
      return AdoptPendingRegistration(aTarget, aNow, aOut);
    }
    aOut.emplace_back(target_change{ "registration_refuted", aTarget.mName });
    aTarget.mPendingRegistration.reset();
  }
  if (isOther) {
    BeginIncarnation(aTarget, aIncarnation, aNow, aOut);
  }
}

/**
 * Counts the leases that calls with lower tokens may have been granted, of
 * other agents or for earlier incarnations. Once the target has seen the
 * token, it grants them no more.
 */
void
BoundOtherLeases(leased_target& aTarget,
                 target_time aClock,
                 core::instant aAskedAt)
{
  if (aAskedAt < aTarget.mTokenSince ||
      std::exchange(aTarget.mHasSeenToken, true)) {
    return;
  }
  const auto longest =
    std::chrono::duration_cast<target_time>(aTarget.mSettings.mLongestLease);
  aTarget.mLeaseUntil = std::max(aTarget.mLeaseUntil, aClock + longest);
}

} // namespace

void
OnReport(leased_target& aTarget,
         const target_report& aReport,
         core::instant aAskedAt,
         core::instant aNow,
         effects& aOut)
{
  if (aAskedAt < aTarget.mIncarnationSince) {
    return; // Late answer of an earlier incarnation.
  }
  aTarget.mIsExtensionAnswered = true;
  // A renewal that another one has replaced leads to no further one: their
  // number in flight would never fall again.
  if (aAskedAt >= aTarget.mRenewalSentAt) {
    aTarget.mRenewing = false;
    aTarget.mNextRenewal = aNow;
  }
  ApplyIncarnation(aTarget, aReport.mTargetIncarnation, aAskedAt, aNow, aOut);
  aTarget.mIsRefusing = false;
  if (std::exchange(aTarget.mFailures, 0U) > 0) {
    aOut.emplace_back(target_change{ "target_answers", aTarget.mName });
  }
  const bool isFirstReading = !aTarget.mClock;
  ReadClock(aTarget, aReport.mClock, aAskedAt, aNow);
  if (isFirstReading) {
    // Until the target has seen a token from its clock, it may still accept
    // starts of an earlier agent.
    RaiseToken(aTarget, aReport.mClock, aNow);
    return;
  }
  BoundOtherLeases(aTarget, aReport.mClock, aAskedAt);
  // An earlier call may be answered after a later one.
  aTarget.mReportAskedAt =
    std::max(aTarget.mReportAskedAt.value_or(aAskedAt), aAskedAt);
  ApplyEnds(aTarget, aReport.mEnded, aNow, aOut);
  ApplyRunning(aTarget, aReport.mRunning, aAskedAt, aNow, aOut);
  SettleUnlisted(aTarget, aReport, aAskedAt, aNow, aOut);
  WithdrawStopped(aTarget, aAskedAt, aNow, aOut);
}

} // namespace gooseberry::lease
