#include "libgooseberry/job/ready_queue.h"

namespace gooseberry::job {

namespace {

/** Far beyond any job's deadline: late jobs go after all others. */
constexpr core::duration kLateOffset = std::chrono::hours(1);

/** Late jobs of which nothing was started yield to those that can be in time;
 * to finish the others saves what was spent on them. */
bool
Yields(const job& aJob)
{
  return aJob.mLate && !MayHaveStarted(aJob);
}

std::int64_t
KeyOf(const order_settings& aSettings, const job& aJob)
{
  if (aSettings.mPolicy != order_policy::Objective) {
    return Priority(aSettings, aJob.mRemainingWork, aJob.mArrived);
  }
  core::instant at = aJob.mLatestStart;
  if (Yields(aJob)) {
    at += kLateOffset;
  }
  return at.time_since_epoch().count();
}

} // namespace

std::int64_t
Priority(const order_settings& aSettings,
         core::duration aRemaining,
         core::instant aArrived)
{
  const std::int64_t arrived = aArrived.time_since_epoch().count();
  if (aSettings.mPolicy != order_policy::LeastRemaining) {
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

std::vector<std::string>
DemoteLate(ready_queue& aQueue,
           const order_settings& aSettings,
           ledger& aLedger,
           core::instant aNow)
{
  std::vector<std::string> late;
  if (aSettings.mPolicy != order_policy::Objective) {
    return late;
  }
  const std::int64_t now = aNow.time_since_epoch().count();
  for (const auto& [service, keys] : aQueue.mServices) {
    for (const ready_key& key : keys) {
      if (key.mPriority >= now) {
        break;
      }
      if (!Find(aLedger, key.mJob)->mLate) {
        late.push_back(key.mJob);
      }
    }
  }
  for (const std::string& name : late) {
    job& demoted = *Find(aLedger, name);
    demoted.mLate = true;
    Requeue(aQueue, aSettings, demoted);
  }
  return late;
}

void
Requeue(ready_queue& aQueue, const order_settings& aSettings, job& aJob)
{
  const std::int64_t priority = KeyOf(aSettings, aJob);
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
