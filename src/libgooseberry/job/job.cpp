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
