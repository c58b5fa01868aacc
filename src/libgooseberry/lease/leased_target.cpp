#include "libgooseberry/lease/leased_target.h"

#include <algorithm>
#include <utility>

namespace gooseberry::lease {

namespace {

using core::start_verdict;
using core::task_end;
using std::chrono::duration_cast;

/** Starts of one task that may be refused as superseded before giving up. */
constexpr std::uint32_t kMaxRenumberings = 6;

call_header
HeaderFor(const leased_target& aTarget, core::duration aWait = {})
{
  return { aTarget.mName,
           aTarget.mAddress,
           aTarget.mFencingToken,
           aTarget.mSettings.mCallDeadline + aWait };
}

/** The target's clock at `aNow`, or a little earlier. */
target_time
ClockAt(const leased_target& aTarget, core::instant aNow)
{
  if (!aTarget.mClock) {
    return {};
  }
  const auto& [clock, askedAt, arrivedAt] = *aTarget.mClock;
  return clock + duration_cast<target_time>(aNow - arrivedAt);
}

/** The lapse margin on the target's clock. */
target_time
Margin(const leased_target& aTarget)
{
  return duration_cast<target_time>(aTarget.mSettings.mLapseMargin);
}

/** When the target's clock has passed `aTime` for certain. */
core::instant
PassedAt(const leased_target& aTarget, target_time aTime)
{
  const auto& [clock, askedAt, arrivedAt] = *aTarget.mClock;
  const auto left =
    std::max(aTime + Margin(aTarget) - clock, target_time::zero());
  const auto slowest = duration_cast<core::duration>(
    std::chrono::duration<double, std::milli>(left) * (1 + kMaxClockDrift));
  return arrivedAt + slowest;
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

/** The time up to which a call may extend the lease. */
target_time
ExtendLease(leased_target& aTarget, core::duration aBy, core::instant aNow)
{
  const auto until = ClockAt(aTarget, aNow) + duration_cast<target_time>(aBy);
  aTarget.mLeaseUntil = std::max(aTarget.mLeaseUntil, until);
  return until;
}

void
SendStart(leased_target& aTarget, run& aRun, core::instant aNow, effects& aOut)
{
  aRun.mState = run_state::Starting;
  aRun.mSentAt = aNow;
  aRun.mAnsweredAt.reset();
  aRun.mValidUntil =
    ExtendLease(aTarget, aTarget.mSettings.mStartValidity, aNow);
  aOut.emplace_back(call(start_call{ HeaderFor(aTarget),
                                     aRun.mTask,
                                     aRun.mRun,
                                     aRun.mPayload,
                                     aRun.mValidUntil }));
}

void
SendStop(leased_target& aTarget,
         const core::task_ref& aTask,
         std::uint32_t aRun,
         effects& aOut)
{
  aOut.emplace_back(call(stop_call{ HeaderFor(aTarget), aTask, aRun }));
}

/** Takes a run out and reports how it ended. */
void
End(leased_target& aTarget,
    const core::task_ref& aTask,
    task_end aEnd,
    start_verdict aWhy,
    std::string aDetail,
    core::instant aNow,
    effects& aOut)
{
  const auto found = aTarget.mRuns.find(aTask);
  const run ended = std::move(found->second);
  aTarget.mRuns.erase(found);
  aOut.emplace_back(run_end{ ended.mTask,
                             ended.mTry,
                             aEnd,
                             aWhy,
                             aNow - ended.mSentAt,
                             std::move(aDetail) });
}

/** The run never started and never will. */
void
Return(leased_target& aTarget,
       const core::task_ref& aTask,
       start_verdict aWhy,
       std::string aDetail,
       core::instant aNow,
       effects& aOut)
{
  End(aTarget, aTask, task_end::Returned, aWhy, std::move(aDetail), aNow, aOut);
}

/** The run of a call, unless it is over or was started anew since. */
run*
FindRun(leased_target& aTarget, const core::task_ref& aTask, std::uint32_t aRun)
{
  const auto found = aTarget.mRuns.find(aTask);
  return found != aTarget.mRuns.end() && found->second.mRun == aRun
           ? &found->second
           : nullptr;
}

/** A new life of the target runs nothing of ours and has seen no token. */
void
StartNewLife(leased_target& aTarget,
             std::uint64_t aLife,
             core::instant aNow,
             effects& aOut)
{
  if (aTarget.mLife != 0) {
    aOut.emplace_back(target_change{ "target_restarted", aTarget.mName });
  }
  EndAll(aTarget, "target restarted", aNow, aOut);
  aTarget.mLife = aLife;
  aTarget.mLastEnd = 0;
  aTarget.mFencingToken = 0;
  aTarget.mLeaseUntil = {};
  aTarget.mClock.reset();
  aTarget.mClean = false;
  aTarget.mReportAskedAt.reset();
  aTarget.mNextRenewal = aNow;
}

/**
 * The target's clock rises for as long as the target lives, so a token taken
 * from it outranks those of all earlier agents without anything stored.
 */
void
RaiseToken(leased_target& aTarget, target_time aClock)
{
  aTarget.mFencingToken =
    std::max<std::uint64_t>(aTarget.mFencingToken + 1, aClock.count());
}

void
TakeEnds(leased_target& aTarget,
         const std::vector<listed_end>& aEnds,
         core::instant aNow,
         effects& aOut)
{
  for (const listed_end& end : aEnds) {
    if (end.mNumber <= aTarget.mLastEnd) {
      continue;
    }
    aTarget.mLastEnd = end.mNumber;
    if (FindRun(aTarget, end.mTask, end.mRun) != nullptr) {
      End(aTarget,
          end.mTask,
          end.mEnd,
          start_verdict::Accepted,
          end.mHow,
          aNow,
          aOut);
    }
  }
}

/** Marks what the target lists; what is not ours is stopped. */
void
TakeRunning(leased_target& aTarget,
            const std::vector<listed_run>& aRunning,
            core::instant aNow,
            effects& aOut)
{
  aTarget.mClean = true;
  for (const listed_run& listed : aRunning) {
    run* const known = FindRun(aTarget, listed.mTask, listed.mRun);
    if (known == nullptr) {
      aTarget.mClean = false;
      SendStop(aTarget, listed.mTask, listed.mRun, aOut);
    } else if (known->mState == run_state::Uncertain) {
      known->mState = run_state::Running;
      known->mAnsweredAt = aNow;
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
 * Settles runs that a report does not list, where it was asked for after the
 * target had to know of them.
 */
void
SettleMissing(leased_target& aTarget,
              const target_report& aReport,
              core::instant aAskedAt,
              core::instant aNow,
              effects& aOut)
{
  std::vector<core::task_ref> gone;
  std::vector<core::task_ref> neverStarted;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (IsListed(aReport.mRunning, run)) {
      continue;
    }
    if (run.mState == run_state::Running && run.mAnsweredAt &&
        *run.mAnsweredAt <= aAskedAt) {
      gone.push_back(task);
    } else if (run.mState == run_state::Uncertain &&
               ((run.mStopAnsweredAt && *run.mStopAnsweredAt <= aAskedAt) ||
                aReport.mClock >= run.mValidUntil + Margin(aTarget))) {
      neverStarted.push_back(task);
    }
  }
  for (const auto& task : gone) {
    End(aTarget,
        task,
        task_end::Lost,
        start_verdict::Accepted,
        "not listed",
        aNow,
        aOut);
  }
  for (const auto& task : neverStarted) {
    Return(aTarget,
           task,
           start_verdict::Stale,
           "start was not carried out",
           aNow,
           aOut);
  }
}

void
Renew(leased_target& aTarget, core::instant aNow, effects& aOut)
{
  const bool isFirst =
    !aTarget.mReportAskedAt || aTarget.mFailures > 0 || aTarget.mRenewing;
  const auto wait =
    isFirst ? core::duration::zero() : aTarget.mSettings.mRenewWait;
  target_time until{};
  // One that replaces a lost one only asks for a report: where none is answered
  // any more, the lease lapses and the runs can be started elsewhere.
  if (aTarget.mClock && !aTarget.mRenewing) {
    until = ExtendLease(aTarget, aTarget.mSettings.mLease, aNow);
  }
  aTarget.mRenewing = true;
  aTarget.mRenewalSentAt = aNow;
  aOut.emplace_back(call(
    renew_call{ HeaderFor(aTarget, wait), until, aTarget.mLastEnd, wait }));
}

/** Whether every lease that was asked for has lapsed for certain. */
bool
HasLapsed(const leased_target& aTarget, core::instant aNow)
{
  return aTarget.mClock && aNow >= PassedAt(aTarget, aTarget.mLeaseUntil);
}

/** Whether the renewal under way is to be taken for lost. */
bool
IsRenewalOverdue(const leased_target& aTarget, core::instant aNow)
{
  const lease_settings& settings = aTarget.mSettings;
  return aTarget.mRenewing && aNow - aTarget.mRenewalSentAt >
                                settings.mRenewWait + settings.mRenewOverdue;
}

} // namespace

bool
IsReady(const leased_target& aTarget, core::instant aNow)
{
  return aTarget.mClean && aTarget.mReportAskedAt &&
         aNow - *aTarget.mReportAskedAt < aTarget.mSettings.mLease;
}

void
OnRegistration(leased_target& aTarget,
               const registration& aRegistration,
               core::instant aNow,
               effects& aOut)
{
  if (aTarget.mName != aRegistration.mName ||
      aTarget.mLife != aRegistration.mLife) {
    StartNewLife(aTarget, aRegistration.mLife, aNow, aOut);
    aTarget.mName = aRegistration.mName;
  }
  aTarget.mAddress = aRegistration.mAddress;
  if (aTarget.mFencingToken == 0) {
    ReadClock(aTarget, aRegistration.mClock, aNow, aNow);
    RaiseToken(aTarget, aRegistration.mClock);
  }
}

void
StartRun(leased_target& aTarget,
         const core::task_start& aStart,
         core::instant aNow,
         effects& aOut)
{
  run& added = aTarget.mRuns[aStart.mTask];
  added.mTask = aStart.mTask;
  added.mTry = aStart.mTry;
  added.mRun = aStart.mTry;
  added.mPayload = aStart.mPayload;
  SendStart(aTarget, added, aNow, aOut);
}

void
StopRun(leased_target& aTarget,
        const core::task_ref& aTask,
        core::instant aNow,
        effects& aOut)
{
  const auto found = aTarget.mRuns.find(aTask);
  if (found == aTarget.mRuns.end() || found->second.mStopWanted) {
    return;
  }
  run& stopped = found->second;
  stopped.mStopWanted = true;
  // A stop that overtakes the start is as good: the run is refused then.
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
  run* const started = FindRun(aTarget, aCall.mTask, aCall.mRun);
  if (aAnswer == start_answer::Fenced && aClock) {
    RaiseToken(aTarget, *aClock);
  }
  if (started == nullptr || aCall.mHeader.mTarget != aTarget.mName) {
    return;
  }
  const std::string detail(kStartAnswerNames.NameOf(aAnswer));
  const auto giveBack = [&](start_verdict aWhy) {
    Return(aTarget, aCall.mTask, aWhy, detail, aNow, aOut);
  };
  switch (aAnswer) {
    case start_answer::Accepted:
      started->mState = run_state::Running;
      started->mAnsweredAt = aNow;
      break;
    case start_answer::Superseded:
      if (started->mStopWanted || ++started->mRenumberings > kMaxRenumberings) {
        return giveBack(start_verdict::Cancelled);
      }
      started->mRun += started->mRenumberings;
      SendStart(aTarget, *started, aNow, aOut);
      break;
    case start_answer::NoAnswer:
      if (started->mState == run_state::Starting) {
        started->mState = run_state::Uncertain;
        started->mNextStop = aNow;
      }
      break;
    case start_answer::Invalid:
      End(aTarget,
          aCall.mTask,
          task_end::Failed,
          start_verdict::Accepted,
          detail,
          aNow,
          aOut);
      break;
    case start_answer::NoRoom:
      return giveBack(start_verdict::Busy);
    case start_answer::Fenced:
    case start_answer::Late:
      return giveBack(start_verdict::Stale);
    case start_answer::Unhealthy:
    case start_answer::OtherTarget:
    case start_answer::NotSent:
      return giveBack(start_verdict::NoTarget);
  }
}

void
OnStopAnswer(leased_target& aTarget, const stop_call& aCall, core::instant aNow)
{
  if (run* const stopped = FindRun(aTarget, aCall.mTask, aCall.mRun);
      stopped != nullptr && !stopped->mStopAnsweredAt) {
    stopped->mStopAnsweredAt = aNow;
  }
}

void
OnReport(leased_target& aTarget,
         const target_report& aReport,
         core::instant aAskedAt,
         core::instant aNow,
         effects& aOut)
{
  aTarget.mRenewing = false;
  aTarget.mNextRenewal = aNow;
  if (aReport.mLife != 0 && aReport.mLife != aTarget.mLife) {
    StartNewLife(aTarget, aReport.mLife, aNow, aOut);
  }
  if (std::exchange(aTarget.mFailures, 0U) > 0) {
    aOut.emplace_back(target_change{ "target_answers", aTarget.mName });
  }
  ReadClock(aTarget, aReport.mClock, aAskedAt, aNow);
  if (aTarget.mFencingToken == 0) {
    RaiseToken(aTarget, aReport.mClock);
  }
  // An earlier call may be answered after a later one.
  aTarget.mReportAskedAt =
    std::max(aTarget.mReportAskedAt.value_or(aAskedAt), aAskedAt);
  TakeEnds(aTarget, aReport.mEnded, aNow, aOut);
  TakeRunning(aTarget, aReport.mRunning, aNow, aOut);
  SettleMissing(aTarget, aReport, aAskedAt, aNow, aOut);
}

void
OnRenewalFailed(leased_target& aTarget,
                renewal_failure aFailure,
                std::optional<target_time> aClock,
                core::instant aAskedAt,
                core::instant aNow,
                effects& aOut)
{
  if (aFailure == renewal_failure::NoAnswer &&
      aAskedAt < aTarget.mRenewalSentAt) {
    return; // It was taken for lost before; a later one is under way.
  }
  aTarget.mRenewing = false;
  aTarget.mNextRenewal = aNow + aTarget.mSettings.mRenewRetry;
  if (++aTarget.mFailures == 1) {
    aOut.emplace_back(target_change{
      "target_silent", std::string(kRenewalFailureNames.NameOf(aFailure)) });
  }
  if (aFailure == renewal_failure::Fenced && aClock) {
    ReadClock(aTarget, *aClock, aAskedAt, aNow);
    RaiseToken(aTarget, *aClock);
    aTarget.mNextRenewal = aNow;
  } else if (aFailure == renewal_failure::NotSent ||
             aFailure == renewal_failure::OtherTarget) {
    // No process of that life listens any more, so nothing of it runs.
    aTarget.mClean = false;
    EndAll(aTarget, "target is gone", aNow, aOut);
  }
}

void
Tick(leased_target& aTarget, core::instant aNow, effects& aOut)
{
  if (aTarget.mName.empty()) {
    return;
  }
  if (!aTarget.mRuns.empty() && HasLapsed(aTarget, aNow)) {
    EndAll(aTarget, "lease lapsed", aNow, aOut);
  }
  for (auto& [task, run] : aTarget.mRuns) {
    const bool isDue = run.mStopWanted || run.mState == run_state::Uncertain;
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

void
EndAll(leased_target& aTarget,
       const std::string& aReason,
       core::instant aNow,
       effects& aOut)
{
  while (!aTarget.mRuns.empty()) {
    End(aTarget,
        core::task_ref(aTarget.mRuns.begin()->first),
        task_end::Lost,
        start_verdict::Accepted,
        aReason,
        aNow,
        aOut);
  }
}

} // namespace gooseberry::lease
