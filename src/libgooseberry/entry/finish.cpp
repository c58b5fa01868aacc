#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

namespace gooseberry::entry {

std::uint32_t
MaxTries(const entry_control& aControl, const job::job& aJob)
{
  if (aJob.mSubmission.mMaxTries > 0) {
    return aJob.mSubmission.mMaxTries;
  }
  const auto service =
    aControl.mDesired.mServices.find(aJob.mSubmission.mService);
  return service == aControl.mDesired.mServices.end()
           ? 1
           : service->second.mMaxTries;
}

namespace {

/** Retries a definitely failed task, or ends its job. */
void
TakeFailure(entry_control& aControl,
            job::job& aJob,
            const core::task_result& aResult,
            core::instant aNow,
            effects& aEffects)
{
  const std::uint32_t index = aResult.mTask.mIndex;
  job::task& task = aJob.mTasks[index];
  if (aJob.mSubmission.mIdempotent && task.mTry < MaxTries(aControl, aJob) &&
      quota::TakeRetry(aControl.mRetryBudget, aNow)) {
    if (task.mTarget) {
      task.mAvoid.push_back(*task.mTarget);
    }
    ReturnTask(aControl, aJob, index);
    ++task.mTry;
    ++aControl.mCounters.mRetries;
    Log(aEffects,
        "task_retried",
        { { "job", aResult.mTask.mJob },
          { "task", std::to_string(index) },
          { "try", std::to_string(task.mTry) },
          { "failed_on", aResult.mTarget } });
    return;
  }
  FailJob(
    aControl,
    aJob,
    { "run task " + std::to_string(index), aResult.mTarget, aResult.mPayload },
    kStatusFailed,
    aNow,
    aEffects);
}

void
TakeSuccess(entry_control& aControl,
            job::job& aJob,
            const core::task_result& aResult,
            core::instant aNow,
            effects& aEffects)
{
  job::task& task = aJob.mTasks[aResult.mTask.mIndex];
  ReleaseTask(aControl, aJob, aResult.mTask.mIndex);
  task.mState = job::task_state::Ended;
  task.mResult = aResult.mPayload;
  aJob.mRemainingWork -= task.mExpected;
  if (++aJob.mEnded < aJob.mTasks.size()) {
    UpdateOrder(aControl, aJob);
    return;
  }
  CompleteJob(aControl, aJob, aNow, aEffects);
}

/** Whether the result is about what the task is doing now. */
bool
IsCurrent(const job::task& aTask, const core::task_result& aResult)
{
  const bool open = aTask.mState == job::task_state::Sent ||
                    aTask.mState == job::task_state::Running;
  if (!open || aTask.mTry != aResult.mTry) {
    return false;
  }
  return aResult.mEnd != core::task_end::Returned ||
         aTask.mPlacement == aResult.mPlacement;
}

void
TakeResult(entry_control& aControl,
           const core::task_result& aResult,
           core::instant aNow,
           effects& aEffects)
{
  job::job* found = job::Find(aControl.mLedger, aResult.mTask.mJob);
  if (found != nullptr && found->mPhase == job::phase::Recovering &&
      aResult.mEnd != core::task_end::Returned) {
    found->mInquiry.mFound.push_back({ core::record_state::Finished, aResult });
    return;
  }
  if (found == nullptr || found->mPhase != job::phase::Running ||
      aResult.mTask.mIndex >= found->mTasks.size() ||
      !IsCurrent(found->mTasks[aResult.mTask.mIndex], aResult)) {
    ++aControl.mCounters.mRepeatedFinishes;
    return;
  }
  ++aControl.mCounters.mFinishes;
  switch (aResult.mEnd) {
    case core::task_end::Succeeded:
      TakeSuccess(aControl, *found, aResult, aNow, aEffects);
      break;
    case core::task_end::Failed:
      TakeFailure(aControl, *found, aResult, aNow, aEffects);
      break;
    case core::task_end::Returned:
      ++aControl.mCounters.mRefusals[static_cast<std::size_t>(aResult.mWhy)];
      ReturnTask(aControl, *found, aResult.mTask.mIndex);
      break;
    case core::task_end::Unknown:
      FailJob(aControl,
              *found,
              { "run task " + std::to_string(aResult.mTask.mIndex),
                aResult.mTarget,
                "outcome unknown: " + aResult.mPayload },
              kStatusFailed,
              aNow,
              aEffects);
      break;
  }
}

/** Learns from a result, whoever it is for. */
void
Learn(entry_control& aControl,
      const core::task_result& aResult,
      core::instant aNow)
{
  const auto index = target::Find(aControl.mTargets, aResult.mTarget);
  const job::job* found = job::Find(aControl.mLedger, aResult.mTask.mJob);
  if (index && found != nullptr) {
    target::RecordEnd(aControl.mTargets,
                      *index,
                      found->mSubmission.mService,
                      aResult.mKind,
                      aResult.mEnd,
                      aResult.mRunTime,
                      aNow);
  }
}

} // namespace

core::entry_reply
OnFinish(entry_control& aControl,
         const core::finish_batch& aBatch,
         core::instant aNow,
         effects& aEffects)
{
  HearAgent(aControl, aBatch.mState, aNow, aEffects);
  for (const core::task_result& result : aBatch.mResults) {
    if (result.mEnd == core::task_end::Succeeded ||
        result.mEnd == core::task_end::Failed) {
      Learn(aControl, result, aNow);
    }
    TakeResult(aControl, result, aNow, aEffects);
  }
  Dispatch(aControl, aNow, aEffects);
  return MakeReply(aControl, aBatch.mState.mGeneration, aNow);
}

void
OnAgentEnded(entry_control& aControl,
             const std::string& aAgent,
             const core::peer_ref& aRun,
             core::instant aNow,
             effects& aEffects)
{
  const auto open = aControl.mAgentTasks.find(aAgent);
  if (open == aControl.mAgentTasks.end()) {
    return;
  }
  const std::set<core::task_ref> tasks = open->second;
  for (const core::task_ref& ref : tasks) {
    job::job* found = job::Find(aControl.mLedger, ref.mJob);
    if (found == nullptr || found->mPhase != job::phase::Running ||
        found->mTasks[ref.mIndex].mAgent != aRun ||
        found->mTasks[ref.mIndex].mState != job::task_state::Running) {
      continue;
    }
    FailJob(aControl,
            *found,
            { "run task " + std::to_string(ref.mIndex),
              ToString(aRun),
              "outcome unknown: the agent's run has ended" },
            kStatusFailed,
            aNow,
            aEffects);
  }
}

} // namespace gooseberry::entry
