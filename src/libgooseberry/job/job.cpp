#include "libgooseberry/job/job.h"

#include <algorithm>

namespace gooseberry::job {

bool
MayHaveStarted(const job& aJob)
{
  return aJob.mMayHaveStartedBefore ||
         std::any_of(
           aJob.mTasks.begin(), aJob.mTasks.end(), [](const task& aTask) {
             return aTask.mEverStarted || aTask.mState != task_state::Waiting;
           });
}

core::duration
ObjectiveOf(const submission& aSubmission, core::duration aLongestTask)
{
  constexpr std::int64_t kPercent = 100;
  const latency_objective& objective = aSubmission.mObjective;
  return aLongestTask * std::int64_t(objective.mRunTimePercent) / kPercent +
         objective.mAllowance;
}

core::duration
LongestWait(const submission& aSubmission, core::duration aLongestTask)
{
  const core::duration objective = ObjectiveOf(aSubmission, aLongestTask);
  return (objective > core::duration::zero() ? objective
                                             : aSubmission.mDeadline) -
         aLongestTask;
}

core::duration
LongestUsefulWait(const submission& aSubmission, core::duration aLongestTask)
{
  // Later answers are of no use to a caller.
  constexpr int kUsefulObjectives = 3;
  const core::duration objective = ObjectiveOf(aSubmission, aLongestTask);
  return (objective > core::duration::zero()
            ? std::min(aSubmission.mDeadline, kUsefulObjectives * objective)
            : aSubmission.mDeadline) -
         aLongestTask;
}

core::duration
RemainingWork(const job& aJob)
{
  core::duration sum{};
  for (const task& task : aJob.mTasks) {
    if (task.mState != task_state::Ended) {
      sum += task.mExpected;
    }
  }
  return sum;
}

core::duration
IdealResponse(const job& aJob, std::uint32_t aSlots)
{
  core::duration sum{};
  core::duration longest{};
  for (const task& task : aJob.mTasks) {
    sum += task.mExpected;
    longest = std::max(longest, task.mExpected);
  }
  return std::max(longest, sum / std::max(aSlots, 1U));
}

void
QueueWaitingTasks(job& aJob)
{
  aJob.mWaiting.clear();
  for (std::uint32_t i = 0; i < aJob.mTasks.size(); ++i) {
    if (aJob.mTasks[i].mState == task_state::Waiting) {
      aJob.mWaiting.push_back(i);
    }
  }
  std::stable_sort(aJob.mWaiting.begin(),
                   aJob.mWaiting.end(),
                   [&aJob](std::uint32_t aLeft, std::uint32_t aRight) {
                     return aJob.mTasks[aLeft].mExpected <
                            aJob.mTasks[aRight].mExpected;
                   });
}

} // namespace gooseberry::job
