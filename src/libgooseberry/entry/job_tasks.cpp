#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

/** State of a job's tasks at the job's home. */
namespace gooseberry::entry {

core::duration
LongestWaiting(const job::job& aJob)
{
  core::duration longest{};
  for (const std::uint32_t index : aJob.mWaiting) {
    longest = std::max(longest, aJob.mTasks[index].mExpected);
  }
  return longest;
}

void
UpdateOrder(entry_control& aControl, job::job& aJob)
{
  job::Requeue(aControl.mReady, aControl.mOptions.mOrder, aJob);
}

void
BecomeHome(entry_control& aControl,
           job::job& aJob,
           core::instant aNow,
           effects& aEffects)
{
  aJob.mPhase = job::phase::Running;
  aJob.mInquiry = {};
  aJob.mWaitingWork = {};
  aControl.mInquiring.erase(aJob.mSubmission.mKey);
  for (std::size_t i = 0; i < aJob.mTasks.size(); ++i) {
    const job::task_description& described = aJob.mSubmission.mTasks[i];
    aJob.mTasks[i].mExpected =
      target::ExpectedRunTime(aControl.mTargets,
                              aJob.mSubmission.mService,
                              described.mKind,
                              described.mDeclared);
    if (aJob.mTasks[i].mState == job::task_state::Waiting) {
      aJob.mWaitingWork += aJob.mTasks[i].mExpected;
    }
  }
  aJob.mIdeal = job::IdealResponse(
    aJob, target::TotalSlots(aControl.mTargets, aJob.mSubmission.mService));
  aJob.mRemainingWork = job::RemainingWork(aJob);
  job::QueueWaitingTasks(aJob);
  const core::duration longest = LongestWaiting(aJob);
  aJob.mObjective = job::ObjectiveOf(aJob.mSubmission, longest);
  aJob.mLatestStart =
    aJob.mArrived + job::LongestWait(aJob.mSubmission, longest);
  aControl.mTeams[aJob.mSubmission.mTeam].mWaiting +=
    static_cast<std::uint32_t>(aJob.mWaiting.size());
  UpdateOrder(aControl, aJob);
  Log(aEffects,
      "job_accepted",
      { { "job", aJob.mSubmission.mKey },
        { "service", aJob.mSubmission.mService },
        { "tasks", std::to_string(aJob.mTasks.size()) },
        { "round", std::to_string(aJob.mBallot.mRound) },
        { "deadline_ms", core::FormatMilliseconds(aJob.mSubmission.mDeadline) },
        { "waited_ms", core::FormatMilliseconds(aNow - aJob.mArrived) } });
}

void
ReleaseTask(entry_control& aControl, job::job& aJob, std::uint32_t aIndex)
{
  job::task& task = aJob.mTasks[aIndex];
  if (task.mState != job::task_state::Sent &&
      task.mState != job::task_state::Running) {
    return;
  }
  if (task.mTarget) {
    target::Release(aControl.mTargets, *task.mTarget);
  }
  if (const auto open = aControl.mAgentTasks.find(task.mAgent.mName);
      open != aControl.mAgentTasks.end()) {
    open->second.erase({ aJob.mSubmission.mKey, aIndex });
  }
  --aControl.mTeams[aJob.mSubmission.mTeam].mRunning;
}

void
ReturnTask(entry_control& aControl, job::job& aJob, std::uint32_t aIndex)
{
  ReleaseTask(aControl, aJob, aIndex);
  job::task& task = aJob.mTasks[aIndex];
  task.mState = job::task_state::Waiting;
  task.mTarget.reset();
  aJob.mWaitingWork += task.mExpected;
  ++aControl.mTeams[aJob.mSubmission.mTeam].mWaiting;
  aJob.mWaiting.push_back(aIndex);
  UpdateOrder(aControl, aJob);
}

std::set<std::string>
ReleaseJob(entry_control& aControl, job::job& aJob)
{
  std::set<std::string> agents;
  if (aJob.mPhase != job::phase::Running) {
    return agents;
  }
  job::Unqueue(aControl.mReady, aJob);
  for (std::uint32_t i = 0; i < aJob.mTasks.size(); ++i) {
    const job::task& task = aJob.mTasks[i];
    if (task.mState == job::task_state::Waiting) {
      --aControl.mTeams[aJob.mSubmission.mTeam].mWaiting;
    } else if (task.mState != job::task_state::Ended) {
      agents.insert(task.mAgent.mName);
      ReleaseTask(aControl, aJob, i);
    }
  }
  aJob.mWaiting.clear();
  aJob.mWaitingWork = {};
  return agents;
}

} // namespace gooseberry::entry
