#include "libgooseberry/agent/leased_runs.h"

#include "libgooseberry/agent/target_run.h"
#include "libgooseberry/agent/upkeep.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberry::agent {

namespace {

lease::leased_target*
FindLeased(agent_control& aControl, const std::string& aName)
{
  const auto found = aControl.mTargets.find(aName);
  return found != aControl.mTargets.end() && found->second.mLeased
           ? &*found->second.mLeased
           : nullptr;
}

task_report
ToReport(const lease::run_end& aEnd)
{
  task_report report;
  report.mTask = aEnd.mTask;
  report.mTry = aEnd.mTry;
  report.mEnd = aEnd.mEnd;
  report.mReturnReason = aEnd.mVerdict;
  report.mRunTime = aEnd.mRunTime;
  report.mPayload = aEnd.mDetail;
  return report;
}

/** Applies the effects of lease decisions. */
void
ApplyLeaseEffects(agent_control& aControl,
                  const std::string& aTarget,
                  lease::effects& aLeaseEffects,
                  core::instant aNow,
                  effects& aOut)
{
  for (lease::effect& effect : aLeaseEffects) {
    if (auto* call = std::get_if<lease::call>(&effect)) {
      aOut.emplace_back(call_target{ std::move(*call) });
    } else if (const auto* end = std::get_if<lease::run_end>(&effect)) {
      OnTaskEnded(aControl, ToReport(*end), aNow, aOut);
    } else {
      const auto& change = std::get<lease::target_change>(effect);
      LogEvent(agent_event::TargetChanged, aTarget, change.mEventName, aOut);
      RequestAllReports(aControl.mEntries);
    }
  }
}

/**
 * Returns whether the registration is of an earlier incarnation, or older than
 * the last one. After a whole lease without a newer registration, and while the
 * target refuses connections, the newer values are taken as wrong.
 */
bool
IsOutdated(const agent_target& aTarget,
           const lease::registration& aRegistration,
           core::instant aNow)
{
  if (!aTarget.mLeased || aRegistration.mTargetIncarnation == 0 ||
      aTarget.mLeaseEnd <= aNow || aTarget.mLeased->mIsRefusing) {
    return false;
  }
  return aRegistration.mTargetIncarnation <
           aTarget.mLeased->mTargetIncarnation ||
         (aRegistration.mTargetIncarnation == aTarget.mSequenceIncarnation &&
          aRegistration.mSequence < aTarget.mSequence);
}

/** Returns the entry that gets the result of a run; empty if unknown. */
job_holder
HolderOf(const agent_control& aControl, const core::task_ref& aTask)
{
  const auto* job = FindJob(aControl.mRecordStore, aTask.mJob);
  return job == nullptr ? job_holder{} : job->mHolder;
}

template<typename Action>
void
ForEachRun(agent_control& aControl, Action aAction)
{
  for (auto& [name, target] : aControl.mTargets) {
    if (target.mLeased) {
      for (auto& [task, run] : target.mLeased->mRuns) {
        aAction(run);
      }
    }
  }
}

template<typename Predicate>
void
StopRuns(agent_control& aControl,
         lease::leased_target& aTarget,
         Predicate aPredicate,
         const std::string& aReason,
         core::instant aNow,
         effects& aOut)
{
  lease::effects calls;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (run.mStopRequested || !aPredicate(run)) {
      continue;
    }
    log_event event;
    event.mEvent = agent_event::TaskStopped;
    event.mTask = task;
    event.mTry = run.mTry;
    event.mTarget = aTarget.mName;
    event.mPeer = HolderOf(aControl, task).mAddress;
    event.mLastContactAge = aNow - run.mConfirmedAt;
    event.mDetail = aReason;
    aOut.emplace_back(std::move(event));
    lease::StopRun(aTarget, task, aNow, calls);
  }
  ApplyLeaseEffects(aControl, aTarget.mName, calls, aNow, aOut);
}

} // namespace

bool
OnLeasedTargetRegistered(agent_control& aControl,
                         const target_registration& aTargetRegistration,
                         const lease::registration& aRegistration,
                         bool aIsDraining,
                         core::instant aNow,
                         effects& aOut)
{
  const auto known = aControl.mTargets.find(aTargetRegistration.mName);
  const bool isNew = known == aControl.mTargets.end();
  if (!isNew && IsOutdated(known->second, aRegistration, aNow)) {
    LogEvent(
      agent_event::TargetChanged, known->first, "late_registration", aOut);
    return true;
  }
  // Without an incarnation, a registration does not show a new one.
  const bool namesIncarnation = aRegistration.mTargetIncarnation != 0;
  const bool wasDraining =
    !isNew && known->second.mLeaving && known->second.mLeased &&
    (!namesIncarnation || known->second.mLeased->mTargetIncarnation ==
                            aRegistration.mTargetIncarnation);
  if (!OnTargetRegistered(aControl, aTargetRegistration, aNow, aOut)) {
    return false;
  }
  if (aIsDraining || wasDraining) {
    OnTargetLeaving(aControl, aTargetRegistration.mName, aNow, aOut);
  }
  auto& target = aControl.mTargets.at(aTargetRegistration.mName);
  if (!target.mLeased) {
    target.mLeased.emplace();
    target.mLeased->mSettings = aControl.mSettings.mLease;
    target.mLeased->mLastCall = aControl.mLastForgottenCall;
    target.mLeased->mFencingToken = aControl.mLastForgottenToken;
  }
  if (namesIncarnation) {
    target.mSequence = aRegistration.mSequence;
    target.mSequenceIncarnation = aRegistration.mTargetIncarnation;
  }
  lease::effects calls;
  lease::OnRegistration(*target.mLeased, aRegistration, aNow, calls);
  ApplyLeaseEffects(aControl, aTargetRegistration.mName, calls, aNow, aOut);
  TickLeases(aControl, aNow, aOut); // Calls a new incarnation at once.
  return true;
}

void
OnTargetUnregistered(agent_control& aControl,
                     const std::string& aName,
                     core::instant aNow,
                     effects& aOut)
{
  auto* const leased = FindLeased(aControl, aName);
  if (leased == nullptr) {
    return;
  }
  auto& target = aControl.mTargets.at(aName);
  LogEvent(agent_event::TargetLeaving, aName, "unregistered", aOut);
  target.mSuspect = true;
  target.mLeaseEnd = aNow;
  leased->mNextRenewal = aNow;
  RequestAllReports(aControl.mEntries);
  Tick(aControl, aNow, aOut);
}

void
OnStartAnswered(agent_control& aControl,
                const lease::start_call& aCall,
                lease::start_answer aAnswer,
                std::optional<lease::target_time> aClock,
                core::instant aNow,
                effects& aOut)
{
  const std::string target = aCall.mHeader.mTarget;
  if (auto* const leased = FindLeased(aControl, target)) {
    lease::effects calls;
    lease::OnStartAnswer(*leased, aCall, aAnswer, aClock, aNow, calls);
    ApplyLeaseEffects(aControl, target, calls, aNow, aOut);
  }
}

void
OnStartSent(agent_control& aControl,
            const std::string& aTarget,
            std::uint64_t aStartId,
            core::instant aNow)
{
  if (auto* const leased = FindLeased(aControl, aTarget)) {
    lease::OnStartSent(*leased, aStartId, aNow);
  }
}

void
OnStopAnswered(agent_control& aControl,
               const lease::stop_call& aCall,
               core::instant aNow,
               effects& aOut)
{
  static_cast<void>(aOut);
  if (auto* const leased = FindLeased(aControl, aCall.mHeader.mTarget)) {
    lease::OnStopAnswer(*leased, aCall, aNow);
  }
}

void
OnTargetReport(agent_control& aControl,
               const std::string& aTarget,
               const lease::target_report& aReport,
               core::instant aAskedAt,
               core::instant aNow,
               effects& aOut)
{
  auto* const leased = FindLeased(aControl, aTarget);
  if (leased == nullptr) {
    return;
  }
  const bool wasReady = lease::IsReady(*leased, aNow);
  lease::effects calls;
  lease::OnReport(*leased, aReport, aAskedAt, aNow, calls);
  const bool isReady = lease::IsReady(*leased, aNow);
  lease::Tick(*leased, aNow, calls);
  ApplyLeaseEffects(aControl, aTarget, calls, aNow, aOut);
  if (isReady != wasReady) {
    RequestAllReports(aControl.mEntries);
    SendPending(aControl, aNow, aOut);
  }
}

void
OnRenewalFailed(agent_control& aControl,
                const std::string& aTarget,
                lease::renewal_failure aFailure,
                std::optional<lease::target_time> aClock,
                core::instant aAskedAt,
                core::instant aNow,
                effects& aOut)
{
  if (auto* const leased = FindLeased(aControl, aTarget)) {
    lease::effects calls;
    lease::OnRenewalFailed(*leased, aFailure, aClock, aAskedAt, aNow, calls);
    ApplyLeaseEffects(aControl, aTarget, calls, aNow, aOut);
  }
}

std::vector<std::string>
JobsInDoubt(const agent_control& aControl)
{
  std::set<std::string> jobs;
  for (const auto& [name, target] : aControl.mTargets) {
    if (!target.mLeased) {
      continue;
    }
    for (const auto& [task, run] : target.mLeased->mRuns) {
      if (!lease::IsKnownToBeThere(run)) {
        jobs.insert(task.mJob);
      }
    }
    for (const auto& [task, until] : target.mLeased->mLateStarts) {
      jobs.insert(task.mJob);
    }
  }
  for (const auto& [task, until] : aControl.mLateStarts) {
    jobs.insert(task.mJob);
  }
  return { jobs.begin(), jobs.end() };
}

void
StartLeased(agent_control& aControl,
            const core::task_start& aStart,
            core::instant aNow,
            effects& aOut)
{
  lease::effects calls;
  lease::StartRun(*aControl.mTargets.at(aStart.mTarget).mLeased,
                  aStart,
                  HolderOf(aControl, aStart.mTask).mConfirmedAt,
                  aNow,
                  calls);
  ApplyLeaseEffects(aControl, aStart.mTarget, calls, aNow, aOut);
}

void
CancelJobs(agent_control& aControl,
           const std::vector<std::string>& aJobs,
           const job_holder& aEntry,
           core::instant aNow,
           effects& aOut)
{
  if (aJobs.empty() || !aControl.mSettings.mLeasedRuns) {
    return;
  }
  for (const std::string& name : aJobs) {
    auto& job = RefreshJob(aControl.mRecordStore, name, aNow);
    job.mCancelledBy = aEntry.mIncarnation;
    job.mCancelledAt = aNow;
  }
  const auto isCancelled = [&](const lease::run& aRun) {
    const core::task_ref& task = aRun.mTask;
    return std::find(aJobs.begin(), aJobs.end(), task.mJob) != aJobs.end() &&
           IsSameProcess(HolderOf(aControl, task), aEntry);
  };
  for (auto& [name, target] : aControl.mTargets) {
    if (target.mLeased) {
      StopRuns(aControl, *target.mLeased, isCancelled, "cancelled", aNow, aOut);
    }
  }
}

void
RecordEntryContact(agent_control& aControl, const job_holder& aEntry)
{
  ForEachRun(aControl, [&](lease::run& aRun) {
    const auto found = aControl.mRecordStore.mJobs.find(aRun.mTask.mJob);
    if (found != aControl.mRecordStore.mJobs.end() &&
        IsSameProcess(found->second.mHolder, aEntry)) {
      auto& confirmedAt = found->second.mHolder.mConfirmedAt;
      confirmedAt = std::max(confirmedAt, aEntry.mConfirmedAt);
      lease::ConfirmRun(aRun, confirmedAt);
    }
  });
}

void
ConfirmRunsOfJob(agent_control& aControl, const std::string& aJob)
{
  ForEachRun(aControl, [&](lease::run& aRun) {
    if (aRun.mTask.mJob == aJob) {
      lease::ConfirmRun(aRun, HolderOf(aControl, aRun.mTask).mConfirmedAt);
    }
  });
}

void
TickLeases(agent_control& aControl, core::instant aNow, effects& aOut)
{
  const auto isOrphan = [&](const lease::run& aRun) {
    return aNow - aRun.mConfirmedAt > aControl.mSettings.mEntryContactTimeout;
  };
  std::erase_if(aControl.mLateStarts,
                [&](const auto& aLate) { return aLate.second < aNow; });
  for (auto& [name, target] : aControl.mTargets) {
    if (!target.mLeased) {
      continue;
    }
    StopRuns(
      aControl, *target.mLeased, isOrphan, "entry is silent", aNow, aOut);
    lease::effects calls;
    lease::Tick(*target.mLeased, aNow, calls);
    ApplyLeaseEffects(aControl, name, calls, aNow, aOut);
  }
}

} // namespace gooseberry::agent
