#include "libgooseberry/job/ready_queue.h"

#include <algorithm>

namespace gooseberry::job {

namespace {

// Longer than any deadline: each priority goes before the next, and all jobs
// that can be in time go before late ones.
constexpr core::duration kPriorityOffset = std::chrono::minutes(10);
constexpr core::duration kLateOffset = std::chrono::hours(24);
/**
 * Late jobs that have started tasks go before the other late jobs: finishing
 * them saves the work already done.
 */
constexpr core::duration kStartedOffset = kLateOffset / 2;

std::int64_t
KeyOf(const order_settings& aSettings, const job& aJob)
{
  if (aSettings.mPolicy != order_policy::Objective) {
    return Priority(aSettings, aJob.mRemainingWork, aJob.mArrived);
  }
  core::duration offset{};
  if (aJob.mIsDemoted) {
    offset = MayHaveStarted(aJob) ? kStartedOffset : kLateOffset;
  }
  return ObjectiveKey(aJob.mSubmission, aJob.mLatestStart + offset);
}

} // namespace

std::int64_t
ObjectiveKey(const submission& aSubmission, core::instant aLatestStart)
{
  // With larger values, jobs that can be in time would go after late ones.
  constexpr std::uint32_t kMaxPriority = 64;
  const std::int64_t priority = std::min(aSubmission.mPriority, kMaxPriority);
  return (aLatestStart + kPriorityOffset * priority).time_since_epoch().count();
}

std::int64_t
Priority(const order_settings& aSettings,
         core::duration aRemaining,
         core::instant aArrived)
{
  const std::int64_t arrived = aArrived.time_since_epoch().count();
  if (aSettings.mPolicy != order_policy::LeastRemaining) {
    return arrived;
  }
  // All jobs age at the same rate, so their relative order depends only on the
  // arrival time and not on the current time.
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
  for (const auto& [service, keys] : aQueue.mServices) {
    for (const ready_key& key : keys) {
      const job& waiting = *Find(aLedger, key.mJob);
      if (!waiting.mLate && waiting.mLatestStart < aNow) {
        late.push_back(key.mJob);
      }
    }
  }
  for (const std::string& name : late) {
    job& demoted = *Find(aLedger, name);
    demoted.mLate = true;
    demoted.mIsDemoted = !MayHaveStarted(demoted);
    Requeue(aQueue, aSettings, demoted);
  }
  return late;
}

void
Requeue(ready_queue& aQueue, const order_settings& aSettings, job& aJob)
{
  const std::int64_t priority = KeyOf(aSettings, aJob);
  const bool mustQueue =
    aJob.mPhase == phase::Running && !aJob.mWaiting.empty();
  if (aJob.mQueued && mustQueue && priority == aJob.mPriority) {
    return;
  }
  Unqueue(aQueue, aJob);
  if (!mustQueue) {
    return;
  }
  aJob.mPriority = priority;
  aJob.mQueued = true;
  aQueue.mServices[aJob.mSubmission.mService].insert(
    { priority, aJob.mSubmission.mKey });
}

} // namespace gooseberry::job
