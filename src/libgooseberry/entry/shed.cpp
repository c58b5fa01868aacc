#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/internal.h"
#include "libgooseberry/quota/shedding.h"

#include <random>

/** Refusal of waiting jobs that cannot end in useful time any more. */
namespace gooseberry::entry {

namespace {

/** Short against the time for which a caller waits. */
constexpr core::duration kShedInterval = std::chrono::milliseconds(50);

quota::waiting_job
ToWaitingJob(const job::job& aJob, core::instant aNow)
{
  const core::duration longest = LongestWaiting(aJob);
  quota::waiting_job waiting;
  waiting.mWork = aJob.mWaitingWork;
  waiting.mLastTask = longest;
  waiting.mLongestUsefulWait =
    aJob.mArrived + job::LongestUsefulWait(aJob.mSubmission, longest) - aNow;
  waiting.mHasStarted =
    job::MayHaveStarted(aJob) || aJob.mObjective <= core::duration::zero();
  return waiting;
}

/** Returns a time after which a refused caller may return: when the work that
 * waits now is done, with jitter so that callers do not return together. */
core::duration
RetryAfterShedding(entry_control& aControl,
                   core::duration aWaitingWork,
                   std::uint32_t aSlots)
{
  std::uniform_real_distribution<double> jitter(1.0, 1.5);
  const double wait = static_cast<double>(aWaitingWork.count()) /
                      std::max(aSlots, 1U) * jitter(aControl.mRandom);
  return std::max(core::duration(static_cast<core::duration::rep>(wait)),
                  aControl.mOptions.mAdmission.mMinRetryAfter);
}

void
ShedService(entry_control& aControl,
            const std::string& aService,
            core::instant aNow,
            effects& aEffects)
{
  std::vector<std::string> names;
  std::vector<quota::waiting_job> jobs;
  core::duration work{};
  for (const job::ready_key& key : aControl.mReady.mServices.at(aService)) {
    const job::job& waiting = *job::Find(aControl.mLedger, key.mJob);
    names.push_back(key.mJob);
    jobs.push_back(ToWaitingJob(waiting, aNow));
    work += jobs.back().mWork;
  }
  const std::uint32_t slots = SlotShare(aControl, aService, aNow);
  for (const std::size_t position : quota::HopelessJobs(jobs, slots)) {
    job::job& hopeless = *job::Find(aControl.mLedger, names[position]);
    Log(
      aEffects,
      "job_shed",
      { { "job", names[position] },
        { "priority", std::to_string(hopeless.mSubmission.mPriority) },
        { "work_ms", core::FormatMilliseconds(jobs[position].mWork) },
        { "waiting_ms", core::FormatMilliseconds(work) },
        { "slots", std::to_string(slots) },
        { "waited_ms", core::FormatMilliseconds(aNow - hopeless.mArrived) } });
    ++aControl.mCounters.mShed;
    RefuseJob(aControl,
              hopeless,
              { "place job", "", "overloaded: no end in useful time" },
              kStatusTooMany,
              aNow,
              aEffects,
              RetryAfterShedding(aControl, work, slots));
  }
}

} // namespace

void
ShedWaiting(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  if (aControl.mOptions.mOrder.mPolicy != job::order_policy::Objective ||
      aNow < aControl.mNextShed) {
    return;
  }
  aControl.mNextShed = aNow + kShedInterval;
  std::vector<std::string> services;
  for (const auto& [service, jobs] : aControl.mReady.mServices) {
    services.push_back(service);
  }
  for (const std::string& service : services) {
    ShedService(aControl, service, aNow, aEffects);
  }
}

} // namespace gooseberry::entry
