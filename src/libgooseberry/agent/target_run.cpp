#include "libgooseberry/agent/target_run.h"

#include "libgooseberry/agent/admission.h"
#include "libgooseberry/agent/leased_runs.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberry::agent {

namespace {

using core::start_verdict;

/** Reports a placement that was accepted but will never start. */
void
ReturnTask(agent_control& aControl,
           const core::task_start& aStart,
           const std::string& aEntryAddress,
           start_verdict aReason,
           core::instant aNow,
           effects& aOut)
{
  returned_task returned;
  auto& result = returned.mResult;
  result.mTask = aStart.mTask;
  result.mTry = aStart.mTry;
  result.mBallot = aStart.mBallot;
  result.mPlacement = aStart.mPlacement;
  result.mEnd = core::task_end::Returned;
  result.mReturnReason = aReason;
  result.mTarget = aStart.mTarget;
  result.mKind = aStart.mKind;
  returned.mEntryAddress = aEntryAddress;
  returned.mReturnedAt = aNow;
  RecordRefusal(aControl.mRecordStore, KeyOf(aStart), aReason, std::nullopt);
  QueueReturned(aControl.mDelivery, std::move(returned));

  log_event event;
  event.mEvent = agent_event::TaskReturned;
  event.mTask = aStart.mTask;
  event.mTry = aStart.mTry;
  event.mPlacement = aStart.mPlacement;
  event.mVerdict = aReason;
  event.mTarget = aStart.mTarget;
  event.mPeer = aEntryAddress;
  aOut.emplace_back(std::move(event));
}

/**
 * Refuses delayed copies of the starts that the last run of a task answered. It
 * is about to be started again, and its record does not outlast that.
 */
void
RefuseCopies(agent_control& aControl,
             const core::task_ref& aTask,
             core::instant aNow)
{
  const auto* ended = FindTask(aControl.mRecordStore, aTask);
  if (ended == nullptr || !aControl.mSettings.mLeasedRuns) {
    return;
  }
  auto starts = ended->mEarlierStarts;
  starts.push_back(KeyOf(ended->mStarted.mResult));
  const auto until = aNow + RefusalRetention(aControl.mSettings);
  for (const placement_key& start : starts) {
    if (!FindRefusal(aControl.mRecordStore, start)) {
      RecordRefusal(aControl.mRecordStore, start, start_verdict::Stale, until);
    }
  }
}

/** Updates the slots, the number of tasks of mean size that fit. Entries plan
 * with slots, while `HasCapacity` decides by the actual needs of a task. */
void
UpdateSlots(agent_target& aTarget, const core::resources& aNeeds)
{
  constexpr double kWeight = 0.1; // Of one task in the running mean.
  if (aTarget.mCapacity.mCpu == 0 || aNeeds.mCpu == 0) {
    return;
  }
  const double cpu = aNeeds.mCpu;
  aTarget.mMeanCpu = aTarget.mMeanCpu == 0
                       ? cpu
                       : aTarget.mMeanCpu + kWeight * (cpu - aTarget.mMeanCpu);
  aTarget.mSlots = std::max(
    1U, static_cast<std::uint32_t>(aTarget.mCapacity.mCpu / aTarget.mMeanCpu));
}

} // namespace

core::duration
RefusalRetention(const control_settings& aSettings)
{
  return 2 * aSettings.mFreshnessBound;
}

void
RunTask(agent_control& aControl,
        const core::task_start& aStart,
        core::instant aNow,
        effects& aOut)
{
  auto& target = aControl.mTargets.at(aStart.mTarget);
  const auto& service = aControl.mDesired.mServices.at(aStart.mService);
  RefuseCopies(aControl, aStart.mTask, aNow);
  RecordStart(aControl.mRecordStore, aStart, aNow);
  ++target.mRunning;
  target.mUsed += aStart.mNeeds;
  UpdateSlots(target, aStart.mNeeds);

  log_event event;
  event.mEvent = agent_event::TaskStarted;
  event.mTask = aStart.mTask;
  event.mTry = aStart.mTry;
  event.mPlacement = aStart.mPlacement;
  event.mTarget = aStart.mTarget;
  event.mCount = target.mRunning;
  aOut.emplace_back(std::move(event));
  if (target.mLeased) {
    StartLeased(aControl, aStart, aNow, aOut);
    return;
  }
  aOut.emplace_back(run_task{
    target.mAddress, aStart, service.mMaxTaskTime, target.mResendAfter });
}

void
Enqueue(agent_control& aControl,
        const core::task_start& aStart,
        const std::string& aEntryAddress)
{
  aControl.mQueuedAt.emplace(aStart.mTask, aStart.mTarget);
  Push(aControl.mTargets.at(aStart.mTarget).mQueue, { aStart, aEntryAddress });
}

void
ReturnQueued(agent_control& aControl,
             start_verdict aReason,
             core::instant aNow,
             effects& aOut,
             const queued_predicate& aPredicate)
{
  if (aControl.mQueuedAt.empty()) {
    return;
  }
  for (auto& [name, target] : aControl.mTargets) {
    for (const auto& task : RemoveIf(target.mQueue, aPredicate)) {
      aControl.mQueuedAt.erase(task.mStart.mTask);
      ReturnTask(
        aControl, task.mStart, task.mEntryAddress, aReason, aNow, aOut);
    }
  }
}

void
ReturnIneligibleTasks(agent_control& aControl,
                      core::instant aNow,
                      effects& aOut)
{
  constexpr start_verdict kReasons[] = { start_verdict::DomainOut,
                                         start_verdict::Leaving,
                                         start_verdict::NoTarget };
  for (const auto reason : kReasons) {
    ReturnQueued(aControl, reason, aNow, aOut, [&](const queued_task& aTask) {
      return CheckEligibility(aControl, aTask.mStart, aNow) == reason;
    });
  }
}

void
FillSlots(agent_control& aControl,
          const std::string& aTarget,
          core::instant aNow,
          effects& aOut)
{
  auto& target = aControl.mTargets.at(aTarget);
  while (target.mRunning < target.mSlots && !target.mQueue.mTasks.empty()) {
    const auto& first = target.mQueue.mTasks.begin()->second;
    GrantFreeSlots(target.mGrants,
                   aControl.mEntries,
                   target.mSlots - target.mRunning,
                   first.mStart.mPriority,
                   aNow);
    if (target.mRunning +
          CountHeldForOthers(target.mGrants, first.mEntryAddress, aNow) >=
        target.mSlots) {
      return;
    }
    const auto next = PopFirst(target.mQueue);
    UseGrant(target.mGrants, next->mEntryAddress);
    const auto& start = next->mStart;
    aControl.mQueuedAt.erase(start.mTask);
    if (const auto verdict = CheckStart(aControl, start, aNow);
        verdict != start_verdict::Accepted) {
      ReturnTask(aControl, start, next->mEntryAddress, verdict, aNow, aOut);
      continue;
    }
    RunTask(aControl, start, aNow, aOut);
    if (const auto entry =
          aControl.mEntries.mByAddress.find(next->mEntryAddress);
        entry != aControl.mEntries.mByAddress.end()) {
      entry->second.mReportDue |= entry->second.mBacklog;
    }
  }
}

void
OfferFreeSlots(agent_control& aControl,
               agent_target& aTarget,
               core::instant aNow)
{
  if (aTarget.mRunning >= aTarget.mSlots) {
    return;
  }
  const std::uint32_t free = aTarget.mSlots - aTarget.mRunning;
  GrantFreeSlots(aTarget.mGrants,
                 aControl.mEntries,
                 free,
                 std::numeric_limits<std::int64_t>::max(),
                 aNow);
  if (aTarget.mGrants.mGrants.size() < free) {
    RequestReportsForBacklogs(aControl.mEntries);
  }
}

void
ExpireGrants(agent_control& aControl, core::instant aNow, effects& aOut)
{
  for (auto& [name, target] : aControl.mTargets) {
    if (target.mGrants.mGrants.empty()) {
      continue;
    }
    for (const slot_grant& grant : target.mGrants.mGrants) {
      const auto entry = aControl.mEntries.mByAddress.find(grant.mEntryAddress);
      if (grant.mExpiry <= aNow &&
          entry != aControl.mEntries.mByAddress.end()) {
        entry->second.mBacklog = false; // It did not use the grant.
      }
    }
    if (DropExpired(target.mGrants, aNow)) {
      FillSlots(aControl, name, aNow, aOut);
      OfferFreeSlots(aControl, target, aNow);
    }
  }
}

job_record&
RaiseBallot(agent_control& aControl,
            const std::string& aJob,
            const core::ballot& aBallot,
            const job_holder& aHolder,
            core::instant aNow,
            effects& aOut)
{
  auto& job = RefreshJob(aControl.mRecordStore, aJob, aNow);
  if (job.mBallot < aBallot) {
    job.mBallot = aBallot;
    ReturnQueued(aControl,
                 start_verdict::Fenced,
                 aNow,
                 aOut,
                 [&](const queued_task& aTask) {
                   return aTask.mStart.mTask.mJob == aJob &&
                          aTask.mStart.mBallot < aBallot;
                 });
  }
  const auto confirmedAt = IsSameProcess(job.mHolder, aHolder)
                             ? job.mHolder.mConfirmedAt
                             : aHolder.mConfirmedAt;
  job.mHolder = aHolder;
  job.mHolder.mConfirmedAt = std::max(confirmedAt, aHolder.mConfirmedAt);
  return job;
}

} // namespace gooseberry::agent
