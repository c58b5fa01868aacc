#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"
#include "libgooseberry/quota/headroom.h"

#include <algorithm>
#include <limits>
#include <random>

/** Admission control of an entry, based on its load and its targets. */
namespace gooseberry::entry {

namespace {

/** Returns the number of running and waiting tasks of an entry. Other entries'
 * counts are as they report them, and their sum may exceed 32 bits. */
std::uint64_t
Demand(const std::map<std::string, core::team_use>& aTeams)
{
  std::uint64_t tasks = 0;
  for (const auto& [team, use] : aTeams) {
    tasks += std::uint64_t(use.mRunning) + use.mWaiting;
  }
  return tasks;
}

} // namespace

/** In proportion to the entry's share of all entries' tasks, as callers are
 * spread unevenly, but at least half of an equal share. */
std::uint32_t
SlotShare(const entry_control& aControl,
          const std::string& aService,
          core::instant aNow)
{
  const std::uint32_t slots = target::TotalSlots(aControl.mTargets, aService);
  const std::uint64_t own = Demand(aControl.mTeams) + 1;
  std::uint64_t all = own;
  std::uint32_t entries = 1;
  for (const auto& [name, view] : aControl.mMembers.mEntries) {
    if (!view.mLeaving && IsEntryInContact(aControl, name, aNow)) {
      all += Demand(view.mTeams) + 1;
      ++entries;
    }
  }
  const auto byDemand = static_cast<std::uint32_t>(slots * own / all);
  return std::max({ 1U, slots / entries / 2, byDemand });
}

namespace {

/** Returns the expected work of the service's waiting tasks whose priority
 * value is at most `aUpTo`. */
core::duration
WaitingWork(const entry_control& aControl,
            const std::string& aService,
            std::int64_t aUpTo)
{
  core::duration work{};
  const auto ready = aControl.mReady.mServices.find(aService);
  if (ready == aControl.mReady.mServices.end()) {
    return work;
  }
  for (const job::ready_key& key : ready->second) {
    if (key.mPriority > aUpTo) {
      break;
    }
    work += aControl.mLedger.mJobs.at(key.mJob)->mWaitingWork;
  }
  return work;
}

/** Returns the priority value with which such a job would wait. */
std::int64_t
WaitingKey(const entry_control& aControl,
           const job::submission& aSubmission,
           const quota::admission_request& aRequest,
           core::instant aNow)
{
  const auto& order = aControl.mOptions.mOrder;
  if (order.mPolicy != job::order_policy::Objective) {
    return job::Priority(order, aRequest.mWork, aNow);
  }
  return job::ObjectiveKey(
    aSubmission, aNow + job::LongestWait(aSubmission, aRequest.mLongestTask));
}

/** Returns the input for admission by the objective; none if the ready queue is
 * not ordered by it or the job has none. */
std::optional<quota::objective_request>
MakeObjectiveRequest(const entry_control& aControl,
                     const job::submission& aSubmission,
                     core::duration aLongest,
                     core::instant aNow)
{
  if (aControl.mOptions.mOrder.mPolicy != job::order_policy::Objective ||
      job::ObjectiveOf(aSubmission, aLongest) <= core::duration::zero()) {
    return std::nullopt;
  }
  quota::objective_request request;
  request.mLongestWait = job::LongestWait(aSubmission, aLongest);
  request.mLongestUsefulWait = job::LongestUsefulWait(aSubmission, aLongest);
  request.mFreeSlots =
    target::FreeSlots(aControl.mTargets, aSubmission.mService, aNow);
  request.mHigherPriorityLoad = quota::HigherPriorityLoad(
    aControl.mOfferedLoad, aSubmission.mPriority, aNow);
  request.mTotalLoad = quota::TotalLoad(aControl.mOfferedLoad, aNow);
  request.mWaitingWork = WaitingWork(
    aControl, aSubmission.mService, std::numeric_limits<std::int64_t>::max());
  return request;
}

/** Records the arrival of the job and returns the input for admission. */
quota::admission_request
RecordOfferedLoad(entry_control& aControl,
                  const job::submission& aSubmission,
                  core::instant aNow)
{
  quota::admission_request request;
  for (const job::task_description& task : aSubmission.mTasks) {
    const core::duration expected = target::ExpectedRunTime(
      aControl.mTargets, aSubmission.mService, task.mKind, task.mDeclared);
    request.mWork += expected;
    request.mLongestTask = std::max(request.mLongestTask, expected);
  }
  quota::RecordArrival(
    aControl.mOfferedLoad, aSubmission.mPriority, request.mWork, aNow);
  request.mTasks = static_cast<std::uint32_t>(aSubmission.mTasks.size());
  request.mWorkAhead =
    WaitingWork(aControl,
                aSubmission.mService,
                WaitingKey(aControl, aSubmission, request, aNow));
  for (const auto& [team, use] : aControl.mTeams) {
    request.mWaitingTasks += use.mWaiting;
  }
  request.mSlots = SlotShare(aControl, aSubmission.mService, aNow);
  request.mDeadline = aSubmission.mDeadline;
  request.mObjective =
    MakeObjectiveRequest(aControl, aSubmission, request.mLongestTask, aNow);
  return request;
}

/** Logs the refusal of a job with the values that it is based on. */
void
LogRefused(const job::submission& aSubmission,
           const quota::admission_request& aRequest,
           const quota::refused& aRefused,
           effects& aEffects)
{
  std::vector<log_field> fields{
    { "job", aSubmission.mKey },
    { "reason",
      std::string(quota::kAdmissionReasonNames.NameOf(aRefused.mReason)) },
    { "work_ms", core::FormatMilliseconds(aRequest.mWork) },
    { "work_ahead_ms", core::FormatMilliseconds(aRequest.mWorkAhead) },
    { "slots", std::to_string(aRequest.mSlots) },
    { "retry_after_ms", core::FormatMilliseconds(aRefused.mRetryAfter) }
  };
  if (const auto& objective = aRequest.mObjective) {
    fields.push_back(
      { "longest_wait_ms", core::FormatMilliseconds(objective->mLongestWait) });
    fields.push_back(
      { "load_above", core::FormatDecimal(objective->mHigherPriorityLoad) });
    fields.push_back(
      { "whole_load", core::FormatDecimal(objective->mTotalLoad) });
  }
  Log(aEffects, "admission_refused", std::move(fields));
}

/** Returns the refusal of a job for which the entry has no processor time. */
core::job_answer
RefuseForDelay(const entry_control& aControl,
               const job::submission& aSubmission,
               effects& aEffects)
{
  // Balancers check entries about once a second, and delays last as long.
  constexpr core::duration kRetryAfter = std::chrono::seconds(1);
  const int share = quota::SharePercent(aControl.mQueueDelay);
  Log(aEffects,
      "admission_refused",
      { { "job", aSubmission.mKey },
        { "reason", "entry_busy" },
        { "share_percent", std::to_string(share) } });
  core::job_answer answer =
    ErrorAnswer(aSubmission.mKey,
                core::job_outcome::NotRun,
                { "admit job", aControl.mSelf.mName, "entry is busy" },
                kStatusUnavailable);
  answer.mRetryAfter = kRetryAfter;
  return answer;
}

} // namespace

std::uint32_t
HeadroomFor(const entry_control& aControl,
            const job::job& aJob,
            core::instant aNow)
{
  if (aControl.mOptions.mOrder.mPolicy != job::order_policy::Objective) {
    return 0;
  }
  const std::string& service = aJob.mSubmission.mService;
  return quota::HeadroomSlots(
    { quota::HigherPriorityLoad(
        aControl.mOfferedLoad, aJob.mSubmission.mPriority, aNow),
      SlotShare(aControl, service, aNow),
      LongestWaiting(aJob),
      target::ExpectedRunTime(aControl.mTargets, service, {}, {}) });
}

std::optional<core::job_answer>
Reject(entry_control& aControl,
       const job::submission& aSubmission,
       core::instant aNow,
       effects& aEffects)
{
  std::uniform_real_distribution<double> draw(0, 1);
  if (!quota::AdmitsSubmission(aControl.mQueueDelay, draw(aControl.mRandom))) {
    return RefuseForDelay(aControl, aSubmission, aEffects);
  }
  const bool known = aControl.mDesired.mServices.contains(aSubmission.mService);
  if (known && AwaitsTargets(aControl, aNow)) {
    return std::nullopt;
  }
  if (!target::CanEverRun(aControl.mTargets, aSubmission.mService)) {
    return ErrorAnswer(
      aSubmission.mKey,
      core::job_outcome::Failed,
      { "place job",
        "",
        known ? "no target may take service " + aSubmission.mService
              : "no such service: " + aSubmission.mService },
      kStatusUnprocessable);
  }
  const quota::admission_request request =
    RecordOfferedLoad(aControl, aSubmission, aNow);
  const quota::admission_decision decision =
    quota::Admit(aControl.mOptions.mAdmission, request);
  const auto* refused = std::get_if<quota::refused>(&decision);
  if (refused == nullptr) {
    return std::nullopt;
  }
  LogRefused(aSubmission, request, *refused, aEffects);
  core::job_answer answer = ErrorAnswer(
    aSubmission.mKey,
    core::job_outcome::NotRun,
    { "admit job",
      "",
      "overloaded: " +
        std::string(quota::kAdmissionReasonNames.NameOf(refused->mReason)) },
    kStatusTooMany);
  answer.mRetryAfter = refused->mRetryAfter;
  return answer;
}

} // namespace gooseberry::entry
