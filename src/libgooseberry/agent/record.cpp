#include "libgooseberry/agent/record.h"

#include <algorithm>
#include <utility>

namespace gooseberry::agent {

namespace {

task_record*
FindMutable(record_store& aStore, const core::task_ref& aTask)
{
  return const_cast<task_record*>(FindTask(aStore, aTask)); // NOLINT
}

/** Returns the record of a kept result's try, or null if it is gone. */
task_record*
FindKept(record_store& aStore, const kept_result& aKept)
{
  auto* record = FindMutable(aStore, aKept.mTask);
  const bool kept = record != nullptr &&
                    record->mStarted.mState == core::record_state::Finished &&
                    record->mStarted.mResult.mTry == aKept.mTry;
  return kept ? record : nullptr;
}

void
ReleaseResultBytes(record_store& aStore, const task_record& aRecord)
{
  if (aRecord.mStarted.mState == core::record_state::Finished) {
    aStore.mResultBytes -= aRecord.mStarted.mResult.mPayload.size();
  }
}

void
DropOldestResults(record_store& aStore, std::size_t aMaxBytes)
{
  while (!aStore.mKeptResults.empty() && aStore.mResultBytes > aMaxBytes) {
    if (auto* record = FindKept(aStore, aStore.mKeptResults.front());
        record != nullptr) {
      ReleaseResultBytes(aStore, *record);
      record->mStarted.mState = core::record_state::ResultDropped;
      record->mStarted.mResult.mPayload = {};
    }
    aStore.mKeptResults.pop_front();
  }
}

bool
IsRunning(const job_record& aJob)
{
  return std::any_of(
    aJob.mTasks.begin(), aJob.mTasks.end(), [](const auto& aTask) {
      return aTask.second.mStarted.mState == core::record_state::Running;
    });
}

void
ExpireJobs(record_store& aStore, core::instant aNow, core::duration aWindow)
{
  while (!aStore.mJobExpiries.empty() &&
         aStore.mJobExpiries.front().mAt + aWindow <= aNow) {
    job_expiry due = std::move(aStore.mJobExpiries.front());
    aStore.mJobExpiries.pop_front();
    const auto found = aStore.mJobs.find(due.mJob);
    auto& job = found->second;
    if (IsRunning(job)) {
      job.mLastChange = aNow;
    }
    if (job.mLastChange + aWindow > aNow) {
      aStore.mJobExpiries.push_back({ std::move(due.mJob), job.mLastChange });
      continue;
    }
    for (const auto& [index, task] : job.mTasks) {
      ReleaseResultBytes(aStore, task);
    }
    aStore.mJobs.erase(found);
  }
  while (!aStore.mKeptResults.empty() &&
         FindKept(aStore, aStore.mKeptResults.front()) == nullptr) {
    aStore.mKeptResults.pop_front();
  }
}

void
ExpireRefusals(record_store& aStore, core::instant aNow)
{
  while (!aStore.mRefusalExpiries.empty() &&
         aStore.mRefusalExpiries.front().mAt <= aNow) {
    const refusal_expiry due = std::move(aStore.mRefusalExpiries.front());
    aStore.mRefusalExpiries.pop_front();
    const auto found = aStore.mRefusals.find(due.mKey);
    if (found != aStore.mRefusals.end() && found->second.mExpiry &&
        *found->second.mExpiry <= aNow) {
      aStore.mRefusals.erase(found);
    }
  }
}

} // namespace

bool
IsSameProcess(const job_holder& aLeft, const job_holder& aRight)
{
  return aLeft.mAddress == aRight.mAddress &&
         aLeft.mIncarnation == aRight.mIncarnation;
}

placement_key
KeyOf(const core::task_start& aStart)
{
  return { aStart.mTask, aStart.mBallot, aStart.mTry, aStart.mPlacement };
}

placement_key
KeyOf(const core::task_result& aResult)
{
  return { aResult.mTask, aResult.mBallot, aResult.mTry, aResult.mPlacement };
}

const job_record*
FindJob(const record_store& aStore, const std::string& aJob)
{
  const auto found = aStore.mJobs.find(aJob);
  return found == aStore.mJobs.end() ? nullptr : &found->second;
}

const task_record*
FindTask(const record_store& aStore, const core::task_ref& aTask)
{
  const auto* job = FindJob(aStore, aTask.mJob);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->mTasks.find(aTask.mIndex);
  return found == job->mTasks.end() ? nullptr : &found->second;
}

job_record&
RefreshJob(record_store& aStore, const std::string& aJob, core::instant aNow)
{
  const auto [at, isNew] = aStore.mJobs.try_emplace(aJob);
  at->second.mLastChange = aNow;
  if (isNew) {
    aStore.mJobExpiries.push_back({ aJob, aNow });
  }
  return at->second;
}

void
RecordStart(record_store& aStore,
            const core::task_start& aStart,
            core::instant aNow)
{
  auto& task =
    RefreshJob(aStore, aStart.mTask.mJob, aNow).mTasks[aStart.mTask.mIndex];
  ReleaseResultBytes(aStore, task);
  const auto failedTry = task.mFailedTry;
  core::task_result result;
  result.mTask = aStart.mTask;
  result.mTry = aStart.mTry;
  result.mBallot = aStart.mBallot;
  result.mPlacement = aStart.mPlacement;
  result.mTarget = aStart.mTarget;
  result.mKind = aStart.mKind;
  task = { { core::record_state::Running, std::move(result) },
           {},
           failedTry,
           aStart.mNeeds };
}

void
RebindStart(record_store& aStore, const core::task_start& aStart)
{
  task_record* const task = FindMutable(aStore, aStart.mTask);
  if (task == nullptr) {
    return;
  }
  core::task_result& result = task->mStarted.mResult;
  // The counter of placements wraps around.
  const auto age =
    static_cast<std::int32_t>(result.mPlacement - aStart.mPlacement);
  if (result.mBallot.mEntry == aStart.mBallot.mEntry && age > 0) {
    return;
  }
  task->mEarlierStarts.push_back(KeyOf(result));
  result.mBallot = aStart.mBallot;
  result.mPlacement = aStart.mPlacement;
}

void
RemoveStart(record_store& aStore, const core::task_ref& aTask)
{
  auto* task = FindMutable(aStore, aTask);
  if (task == nullptr) {
    return;
  }
  if (task->mFailedTry == 0) {
    aStore.mJobs.at(aTask.mJob).mTasks.erase(aTask.mIndex);
    return;
  }
  task->mStarted.mState = core::record_state::ResultDropped;
  task->mStarted.mResult.mTry = task->mFailedTry;
  task->mStarted.mResult.mEnd = core::task_end::Failed;
}

void
RecordEnd(record_store& aStore,
          core::task_result aResult,
          core::instant aNow,
          std::size_t aMaxBytes)
{
  const auto task = aResult.mTask;
  auto& record = RefreshJob(aStore, task.mJob, aNow).mTasks[task.mIndex];
  if (aResult.mEnd == core::task_end::Failed) {
    record.mFailedTry = aResult.mTry;
  }
  aStore.mResultBytes += aResult.mPayload.size();
  aStore.mKeptResults.push_back({ task, aResult.mTry });
  record.mStarted = { core::record_state::Finished, std::move(aResult) };
  DropOldestResults(aStore, aMaxBytes);
}

void
RecordRefusal(record_store& aStore,
              const placement_key& aKey,
              core::start_verdict aVerdict,
              std::optional<core::instant> aUntil)
{
  aStore.mRefusals[aKey] = { aVerdict, aUntil };
  if (aUntil) {
    aStore.mRefusalExpiries.push_back({ aKey, *aUntil });
  }
}

void
ReleaseRefusal(record_store& aStore,
               const placement_key& aKey,
               core::instant aUntil)
{
  if (const auto found = aStore.mRefusals.find(aKey);
      found != aStore.mRefusals.end()) {
    found->second.mExpiry = aUntil;
    aStore.mRefusalExpiries.push_back({ aKey, aUntil });
  }
}

std::optional<core::start_verdict>
FindRefusal(const record_store& aStore, const placement_key& aKey)
{
  const auto found = aStore.mRefusals.find(aKey);
  return found == aStore.mRefusals.end()
           ? std::nullopt
           : std::optional(found->second.mVerdict);
}

void
Expire(record_store& aStore, core::instant aNow, core::duration aWindow)
{
  ExpireJobs(aStore, aNow, aWindow);
  ExpireRefusals(aStore, aNow);
}

std::vector<core::ballot_promise>
BallotPromises(const record_store& aStore)
{
  std::vector<core::ballot_promise> promises;
  for (const auto& [name, job] : aStore.mJobs) {
    if (job.mFenced) {
      promises.push_back({ name, job.mBallot, job.mHolder.mAddress });
    }
  }
  std::sort(promises.begin(),
            promises.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mJob < aRight.mJob;
            });
  return promises;
}

} // namespace gooseberry::agent
