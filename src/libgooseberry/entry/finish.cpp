#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"
#include "libgooseberry/lease/settings.h"

#include <utility>

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

/** Returns whether a failed task may be retried; if so, takes the retry from
 * the budget where one applies. */
bool
ConsumeTry(entry_control& aControl,
           const job::job& aJob,
           const job::task& aTask,
           core::instant aNow)
{
  if (!aJob.mSubmission.mIdempotent) {
    return false;
  }
  // A queue's number of tries is granted to each of its jobs, without the
  // retry budget.
  if (aJob.mSubmission.mMaxTries > 0) {
    return aTask.mFailures < aJob.mSubmission.mMaxTries;
  }
  return aTask.mTry < MaxTries(aControl, aJob) &&
         quota::SpendRetry(aControl.mRetryBudget, aNow);
}

/** Reason for starting a task again. */
enum class retry_reason : std::uint8_t
{
  Failed,    ///< The target reported failure.
  RunLost,   ///< Its agent reported the run as lost.
  AgentLost, ///< Its agent is without contact or has restarted.
};
constexpr core::enum_names<retry_reason, 3> kRetryReasonNames{
  { "failed", "run_lost", "agent_lost" }
};

/** Returns the time since the last contact of a task's agent. */
core::duration
TimeSinceContact(const entry_control& aControl,
                 const job::task& aTask,
                 core::instant aNow)
{
  const auto view = aControl.mMembers.mAgents.find(aTask.mAgent.mName);
  return view == aControl.mMembers.mAgents.end()
           ? core::duration::zero()
           : aNow - view->second.mLastSeen;
}

/** Queues a task again after its last start has ended. */
void
RestartTask(entry_control& aControl,
            job::job& aJob,
            std::uint32_t aIndex,
            retry_reason aReason,
            core::instant aNow,
            effects& aEffects)
{
  job::task& task = aJob.mTasks[aIndex];
  const std::string state(job::kTaskStateNames.NameOf(task.mState));
  const core::peer_ref agent = task.mAgent;
  const core::duration sinceContact = TimeSinceContact(aControl, task, aNow);
  const std::string failedOn =
    task.mTarget ? aControl.mTargets.mTargets[*task.mTarget].mName : "";
  if (task.mTarget) {
    task.mAvoid.push_back(*task.mTarget);
  }
  // A start without an answer may have been executed.
  task.mEverStarted = true;
  task.mIsInDoubt = false;
  ReturnTask(aControl, aJob, aIndex);
  ++task.mTry;
  ++aControl.mCounters.mRetries;
  Log(aEffects,
      "task_retried",
      { { "job", aJob.mSubmission.mKey },
        { "task", std::to_string(aIndex) },
        { "try", std::to_string(task.mTry) },
        { "failures", std::to_string(task.mFailures) },
        { "failed_on", failedOn },
        { "why", std::string(kRetryReasonNames.NameOf(aReason)) },
        { "was", state },
        { "agent", ToString(agent) },
        { "unheard_ms", core::FormatMilliseconds(sinceContact) } });
}

/** Retries a task that has failed, or fails its job. */
void
ApplyFailure(entry_control& aControl,
             job::job& aJob,
             const core::task_result& aResult,
             core::instant aNow,
             effects& aEffects)
{
  const std::uint32_t index = aResult.mTask.mIndex;
  job::task& task = aJob.mTasks[index];
  ++task.mFailures;
  if (ConsumeTry(aControl, aJob, task, aNow)) {
    RestartTask(aControl, aJob, index, retry_reason::Failed, aNow, aEffects);
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
ApplySuccess(entry_control& aControl,
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

/** Returns whether the result answers the latest start of the task, which this
 * process sent. */
bool
AnswersStart(const entry_control& aControl,
             const job::task& aTask,
             const core::task_result& aResult)
{
  return aResult.mBallot.mEntry == aControl.mSelf.mIncarnation &&
         aResult.mPlacement == aTask.mPlacement;
}

/**
 * Returns whether the result belongs to the current start of the task. Under
 * leases, a task may have run for another entry, or for an earlier submission
 * of its job here, at the same agent and with the same try number.
 */
bool
IsCurrent(const entry_control& aControl,
          const job::task& aTask,
          const core::task_result& aResult,
          const core::peer_ref& aAgent)
{
  const bool open = aTask.mState == job::task_state::Sent ||
                    aTask.mState == job::task_state::Running;
  if (!open || (aControl.mOptions.mLeasedRuns && aTask.mAgent != aAgent)) {
    return false;
  }
  const bool isNamed = aResult.mBallot != core::ballot{};
  if (aControl.mOptions.mLeasedRuns && isNamed) {
    return AnswersStart(aControl, aTask, aResult);
  }
  if (aTask.mTry != aResult.mTry) {
    return false;
  }
  return aResult.mEnd != core::task_end::Returned ||
         aTask.mPlacement == aResult.mPlacement;
}

void
ApplyResult(entry_control& aControl,
            const core::task_result& aResult,
            const core::peer_ref& aAgent,
            core::instant aNow,
            effects& aEffects)
{
  job::job* found = job::Find(aControl.mLedger, aResult.mTask.mJob);
  if (found != nullptr && found->mPhase == job::phase::Recovering &&
      aResult.mEnd != core::task_end::Returned) {
    found->mInquiry.mFoundStarts.push_back(
      { core::record_state::Finished, aResult });
    return;
  }
  if (found == nullptr || found->mPhase != job::phase::Running ||
      aResult.mTask.mIndex >= found->mTasks.size() ||
      !IsCurrent(
        aControl, found->mTasks[aResult.mTask.mIndex], aResult, aAgent)) {
    ++aControl.mCounters.mRepeatedFinishes;
    return;
  }
  ++aControl.mCounters.mFinishes;
  switch (aResult.mEnd) {
    case core::task_end::Succeeded:
      ApplySuccess(aControl, *found, aResult, aNow, aEffects);
      break;
    case core::task_end::Failed:
      ApplyFailure(aControl, *found, aResult, aNow, aEffects);
      break;
    case core::task_end::Returned:
      ++aControl.mCounters
          .mRefusals[static_cast<std::size_t>(aResult.mReturnReason)];
      ReturnTask(aControl, *found, aResult.mTask.mIndex);
      break;
    case core::task_end::Lost:
      RestartTask(aControl,
                  *found,
                  aResult.mTask.mIndex,
                  retry_reason::RunLost,
                  aNow,
                  aEffects);
      break;
    case core::task_end::Unknown:
      // Under leases, the target may yet carry the start out. The job has not
      // failed by its own fault, and its caller is told at once.
      FailJob(aControl,
              *found,
              { "run task " + std::to_string(aResult.mTask.mIndex),
                aResult.mTarget,
                "outcome unknown: " + aResult.mPayload },
              aControl.mOptions.mLeasedRuns ? kStatusDeadline : kStatusFailed,
              aNow,
              aEffects);
      break;
  }
}

/** Returns the caller's estimate of a task; zero if it is no longer known. */
core::duration
DeclaredOf(const job::job& aJob, std::uint32_t aIndex)
{
  const auto& tasks = aJob.mSubmission.mTasks;
  return aIndex < tasks.size() ? tasks[aIndex].mDeclared : core::duration{};
}

/** Records the run time and end of a task for its target, also if the result
 * is not current. */
void
RecordResult(entry_control& aControl,
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
                      aNow,
                      DeclaredOf(*found, aResult.mTask.mIndex));
  }
}

} // namespace

core::entry_reply
OnFinish(entry_control& aControl,
         const core::finish_batch& aBatch,
         core::instant aNow,
         effects& aEffects)
{
  ++aControl.mCounters.mFinishBatches;
  RecordAgentState(aControl, aBatch.mState, aNow, aEffects);
  for (const core::task_result& result : aBatch.mResults) {
    if (result.mEnd == core::task_end::Succeeded ||
        result.mEnd == core::task_end::Failed) {
      RecordResult(aControl, result, aNow);
    }
    ApplyResult(aControl, result, aBatch.mState.mAgent, aNow, aEffects);
  }
  Dispatch(aControl, aNow, aEffects);
  return MakeReply(aControl, aBatch.mState, aNow);
}

namespace {

/**
 * Returns whether the target of a task may yet carry its start out: its agent's
 * process is lost or replaced, and its last message had no answer to a start of
 * the job. The call may reach the next process of the target before the agent's
 * successor has called that one.
 */
bool
IsInDoubt(const entry_control& aControl,
          const job::job& aJob,
          std::uint32_t aIndex,
          core::instant aNow)
{
  return membership::NamesInDoubt(aControl.mMembers,
                                  aJob.mTasks[aIndex].mAgent,
                                  aJob.mSubmission.mKey,
                                  aNow,
                                  lease::kCallLifetime);
}

/** Leaves a task in doubt to its deadline, or until its agent is heard. */
void
LeaveInDoubt(entry_control& aControl,
             job::job& aJob,
             std::uint32_t aIndex,
             effects& aEffects)
{
  job::task& task = aJob.mTasks[aIndex];
  if (std::exchange(task.mIsInDoubt, true)) {
    return;
  }
  Log(aEffects,
      "task_in_doubt",
      { { "job", aJob.mSubmission.mKey },
        { "task", std::to_string(aIndex) },
        { "try", std::to_string(task.mTry) },
        { "target", aControl.mTargets.mTargets[*task.mTarget].mName },
        { "agent", ToString(task.mAgent) } });
}

} // namespace

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
        found->mTasks[ref.mIndex].mAgent != aRun) {
      continue;
    }
    if (aControl.mOptions.mLeasedRuns &&
        IsInDoubt(aControl, *found, ref.mIndex, aNow)) {
      LeaveInDoubt(aControl, *found, ref.mIndex, aEffects);
      continue;
    }
    if (aControl.mOptions.mLeasedRuns) {
      RestartTask(
        aControl, *found, ref.mIndex, retry_reason::AgentLost, aNow, aEffects);
      continue;
    }
    if (found->mTasks[ref.mIndex].mState != job::task_state::Running) {
      continue;
    }
    AskForOutcome(aControl, *found, aRun, aNow, aEffects);
  }
}

void
EndEarlierRuns(entry_control& aControl,
               const core::peer_ref& aAgent,
               core::instant aNow,
               effects& aEffects)
{
  const auto open = aControl.mAgentTasks.find(aAgent.mName);
  if (open == aControl.mAgentTasks.end()) {
    return;
  }
  std::set<core::peer_ref> ended;
  for (const core::task_ref& ref : open->second) {
    const job::job* found = job::Find(aControl.mLedger, ref.mJob);
    if (found != nullptr && found->mPhase == job::phase::Running &&
        found->mTasks[ref.mIndex].mAgent != aAgent) {
      ended.insert(found->mTasks[ref.mIndex].mAgent);
    }
  }
  for (const core::peer_ref& run : ended) {
    OnAgentEnded(aControl, aAgent.mName, run, aNow, aEffects);
  }
}

} // namespace gooseberry::entry
