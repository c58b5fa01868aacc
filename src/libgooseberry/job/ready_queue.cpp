#include "libgooseberry/job/ready_queue.h"

namespace gooseberry::job {

std::int64_t
Priority(const order_settings& aSettings,
         core::duration aRemaining,
         core::instant aArrived)
{
  const std::int64_t arrived = aArrived.time_since_epoch().count();
  if (aSettings.mPolicy == order_policy::Fifo) {
    return arrived;
  }
  // All jobs age at the same rate, so that the arrival time alone orders them.
  return aRemaining.count() + aSettings.mAgeing * arrived;
}

void
Unqueue(ready_queue& aQueue, job& aJob)
{
  if (!aJob.mQueued) {
    return;
  }
  aJob.mQueued = false;
  const auto service = aQueue.mServices.find(aJob.mSubmission.mService);
  service->second.erase({ aJob.mPriority, aJob.mSubmission.mKey });
  if (service->second.empty()) {
    aQueue.mServices.erase(service);
  }
}

void
Requeue(ready_queue& aQueue, const order_settings& aSettings, job& aJob)
{
  const std::int64_t priority =
    Priority(aSettings, aJob.mRemainingWork, aJob.mArrived);
  const bool wanted = aJob.mPhase == phase::Running && !aJob.mWaiting.empty();
  if (aJob.mQueued && wanted && priority == aJob.mPriority) {
    return;
  }
  Unqueue(aQueue, aJob);
  if (!wanted) {
    return;
  }
  aJob.mPriority = priority;
  aJob.mQueued = true;
  aQueue.mServices[aJob.mSubmission.mService].insert(
    { priority, aJob.mSubmission.mKey });
}

} // namespace gooseberry::job
