#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/agent/target_run.h"
#include "libgooseberry/agent/upkeep.h"

#include <utility>

/** Events from the targets of this host. */
namespace gooseberry::agent {

namespace {

void
ReleaseSlot(agent_target& aTarget,
            core::task_end aEnd,
            const core::resources& aNeeds)
{
  --aTarget.mRunning;
  aTarget.mUsed -= aNeeds;
  if (aEnd == core::task_end::Succeeded) {
    aTarget.mConsecutiveFailures = 0;
  } else {
    ++aTarget.mConsecutiveFailures;
  }
}

/** Returns a task that did not start at its target to its entry. */
void
ReturnUnstarted(agent_control& aControl,
                const task_record& aRecord,
                core::start_verdict aReason,
                core::instant aNow)
{
  const auto& result = aRecord.mStarted.mResult;
  returned_task returned;
  returned.mResult = result;
  returned.mResult.mEnd = core::task_end::Returned;
  returned.mResult.mReturnReason = aReason;
  returned.mEntryAddress =
    FindJob(aControl.mRecordStore, result.mTask.mJob)->mHolder.mAddress;
  returned.mReturnedAt = aNow;
  RecordRefusal(aControl.mRecordStore, KeyOf(result), aReason, std::nullopt);
  RemoveStart(aControl.mRecordStore, returned.mResult.mTask);
  QueueReturned(aControl.mDelivery, std::move(returned));
}

/** Logs the end of a run; `aReason` says why it ended without a result. */
void
LogEnd(const task_report& aReport,
       const std::string& aTarget,
       const std::string& aReason,
       effects& aOut)
{
  log_event event;
  event.mEvent = agent_event::TaskEnded;
  event.mTask = aReport.mTask;
  event.mTry = aReport.mTry;
  event.mEnd = aReport.mEnd;
  event.mRunTime = aReport.mRunTime;
  event.mTarget = aTarget;
  event.mDetail = aReason;
  aOut.emplace_back(std::move(event));
}

void
Record(agent_control& aControl,
       const task_record& aRecord,
       task_report aReport,
       core::instant aNow)
{
  auto result = aRecord.mStarted.mResult;
  result.mEnd = aReport.mEnd;
  result.mRunTime = aReport.mRunTime;
  result.mPayload = std::move(aReport.mPayload);
  RecordEnd(aControl.mRecordStore,
            std::move(result),
            aNow,
            aControl.mSettings.mMaxResultBytes);
  QueueResult(aControl.mDelivery, aControl.mRecordStore, aReport.mTask);
}

} // namespace

bool
OnTargetRegistered(agent_control& aControl,
                   const target_registration& aTargetRegistration,
                   core::instant aNow,
                   effects& aOut)
{
  const bool isNew = !aControl.mTargets.contains(aTargetRegistration.mName);
  if (isNew && aControl.mTargets.size() >= aControl.mSettings.mMaxTargets) {
    return false;
  }
  auto& target = aControl.mTargets[aTargetRegistration.mName];
  const bool grows = aTargetRegistration.mSlots > target.mSlots;
  const bool wasUnavailable = target.mLeaving || target.mSuspect;
  target.mAddress = aTargetRegistration.mAddress;
  target.mServices = aTargetRegistration.mServices;
  if (target.mMeanCpu == 0) {
    target.mSlots = aTargetRegistration.mSlots;
  }
  target.mCapacity = aTargetRegistration.mCapacity;
  target.mResendAfter = aTargetRegistration.mResendAfter;
  target.mLeaseEnd = aNow + aTargetRegistration.mLease;
  target.mLeaving = false;
  target.mSuspect = false;
  if (isNew) {
    LogEvent(agent_event::TargetJoined, aTargetRegistration.mName, {}, aOut);
    RequestAllReports(aControl.mEntries);
  }
  ReturnIneligibleTasks(aControl, aNow, aOut);
  FillSlots(aControl, aTargetRegistration.mName, aNow, aOut);
  if (grows || wasUnavailable) {
    RequestReportsForBacklogs(aControl.mEntries);
  }
  SendPending(aControl, aNow, aOut);
  return true;
}

bool
OnTargetLeaving(agent_control& aControl,
                const std::string& aName,
                core::instant aNow,
                effects& aOut)
{
  const auto found = aControl.mTargets.find(aName);
  if (found == aControl.mTargets.end()) {
    return false;
  }
  if (!found->second.mLeaving) {
    found->second.mLeaving = true;
    LogEvent(agent_event::TargetLeaving, aName, {}, aOut);
    ReturnIneligibleTasks(aControl, aNow, aOut);
    RequestAllReports(aControl.mEntries);
  }
  SendPending(aControl, aNow, aOut);
  return true;
}

void
OnTaskEnded(agent_control& aControl,
            task_report aReport,
            core::instant aNow,
            effects& aOut)
{
  const auto* found = FindTask(aControl.mRecordStore, aReport.mTask);
  if (found == nullptr ||
      found->mStarted.mState != core::record_state::Running ||
      found->mStarted.mResult.mTry != aReport.mTry) {
    return;
  }
  const task_record record = *found;
  const std::string name = record.mStarted.mResult.mTarget;
  auto& target = aControl.mTargets.at(name);
  ReleaseSlot(target, aReport.mEnd, record.mNeeds);
  const bool hasReason =
    target.mLeased && aReport.mEnd != core::task_end::Succeeded;
  LogEnd(aReport, name, hasReason ? aReport.mPayload : std::string(), aOut);
  if (aReport.mEnd == core::task_end::Returned) {
    target.mSuspect |= aReport.mReturnReason == core::start_verdict::NoTarget;
    ReturnUnstarted(aControl, record, aReport.mReturnReason, aNow);
    ReturnIneligibleTasks(aControl, aNow, aOut);
  } else {
    Record(aControl, record, std::move(aReport), aNow);
  }
  FillSlots(aControl, name, aNow, aOut);
  OfferFreeSlots(aControl, target, aNow);
  SendPending(aControl, aNow, aOut);
}

} // namespace gooseberry::agent
