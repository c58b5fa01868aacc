#include "libgooseberry/agent/record.h"

#include <algorithm>
#include <utility>

namespace gooseberry::agent {

namespace {

task_record*
FindMutable(record_book& aBook, const core::task_ref& aTask)
{
  return const_cast<task_record*>(FindTask(aBook, aTask)); // NOLINT
}

/** The record of the try whose result is kept, or null where it is gone. */
task_record*
FindKept(record_book& aBook, const kept_result& aKept)
{
  auto* record = FindMutable(aBook, aKept.mTask);
  const bool kept = record != nullptr &&
                    record->mStarted.mState == core::record_state::Finished &&
                    record->mStarted.mResult.mTry == aKept.mTry;
  return kept ? record : nullptr;
}

void
ForgetResult(record_book& aBook, const task_record& aRecord)
{
  if (aRecord.mStarted.mState == core::record_state::Finished) {
    aBook.mResultBytes -= aRecord.mStarted.mResult.mPayload.size();
  }
}

void
DropOldestResults(record_book& aBook, std::size_t aMaxBytes)
{
  while (!aBook.mKeptResults.empty() && aBook.mResultBytes > aMaxBytes) {
    if (auto* record = FindKept(aBook, aBook.mKeptResults.front());
        record != nullptr) {
      ForgetResult(aBook, *record);
      record->mStarted.mState = core::record_state::ResultDropped;
      record->mStarted.mResult.mPayload = {};
    }
    aBook.mKeptResults.pop_front();
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
ExpireJobs(record_book& aBook, core::instant aNow, core::duration aWindow)
{
  while (!aBook.mJobExpiries.empty() &&
         aBook.mJobExpiries.front().mAt + aWindow <= aNow) {
    job_expiry due = std::move(aBook.mJobExpiries.front());
    aBook.mJobExpiries.pop_front();
    const auto found = aBook.mJobs.find(due.mJob);
    auto& job = found->second;
    if (IsRunning(job)) {
      job.mLastChange = aNow;
    }
    if (job.mLastChange + aWindow > aNow) {
      aBook.mJobExpiries.push_back({ std::move(due.mJob), job.mLastChange });
      continue;
    }
    for (const auto& [index, task] : job.mTasks) {
      ForgetResult(aBook, task);
    }
    aBook.mJobs.erase(found);
  }
  while (!aBook.mKeptResults.empty() &&
         FindKept(aBook, aBook.mKeptResults.front()) == nullptr) {
    aBook.mKeptResults.pop_front();
  }
}

void
ExpireRefusals(record_book& aBook, core::instant aNow)
{
  while (!aBook.mRefusalExpiries.empty() &&
         aBook.mRefusalExpiries.front().mAt <= aNow) {
    const refusal_expiry due = std::move(aBook.mRefusalExpiries.front());
    aBook.mRefusalExpiries.pop_front();
    const auto found = aBook.mRefusals.find(due.mKey);
    if (found != aBook.mRefusals.end() && found->second.mUntil &&
        *found->second.mUntil <= aNow) {
      aBook.mRefusals.erase(found);
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

const job_record*
FindJob(const record_book& aBook, const std::string& aJob)
{
  const auto found = aBook.mJobs.find(aJob);
  return found == aBook.mJobs.end() ? nullptr : &found->second;
}

const task_record*
FindTask(const record_book& aBook, const core::task_ref& aTask)
{
  const auto* job = FindJob(aBook, aTask.mJob);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->mTasks.find(aTask.mIndex);
  return found == job->mTasks.end() ? nullptr : &found->second;
}

job_record&
TouchJob(record_book& aBook, const std::string& aJob, core::instant aNow)
{
  const auto [at, isNew] = aBook.mJobs.try_emplace(aJob);
  at->second.mLastChange = aNow;
  if (isNew) {
    aBook.mJobExpiries.push_back({ aJob, aNow });
  }
  return at->second;
}

void
RecordStart(record_book& aBook,
            const core::task_start& aStart,
            core::instant aNow)
{
  auto& task =
    TouchJob(aBook, aStart.mTask.mJob, aNow).mTasks[aStart.mTask.mIndex];
  ForgetResult(aBook, task);
  const auto failedTry = task.mFailedTry;
  core::task_result result;
  result.mTask = aStart.mTask;
  result.mTry = aStart.mTry;
  result.mPlacement = aStart.mPlacement;
  result.mTarget = aStart.mTarget;
  result.mKind = aStart.mKind;
  task = { { core::record_state::Running, std::move(result) },
           aStart.mBallot,
           failedTry,
           aStart.mNeeds };
}

void
RemoveStart(record_book& aBook, const core::task_ref& aTask)
{
  auto* task = FindMutable(aBook, aTask);
  if (task == nullptr) {
    return;
  }
  if (task->mFailedTry == 0) {
    aBook.mJobs.at(aTask.mJob).mTasks.erase(aTask.mIndex);
    return;
  }
  task->mStarted.mState = core::record_state::ResultDropped;
  task->mStarted.mResult.mTry = task->mFailedTry;
  task->mStarted.mResult.mEnd = core::task_end::Failed;
}

void
RecordEnd(record_book& aBook,
          core::task_result aResult,
          core::instant aNow,
          std::size_t aMaxBytes)
{
  const auto task = aResult.mTask;
  auto& record = TouchJob(aBook, task.mJob, aNow).mTasks[task.mIndex];
  if (aResult.mEnd == core::task_end::Failed) {
    record.mFailedTry = aResult.mTry;
  }
  aBook.mResultBytes += aResult.mPayload.size();
  aBook.mKeptResults.push_back({ task, aResult.mTry });
  record.mStarted = { core::record_state::Finished, std::move(aResult) };
  DropOldestResults(aBook, aMaxBytes);
}

void
RecordRefusal(record_book& aBook,
              const placement_key& aKey,
              core::start_verdict aVerdict,
              std::optional<core::instant> aUntil)
{
  aBook.mRefusals[aKey] = { aVerdict, aUntil };
  if (aUntil) {
    aBook.mRefusalExpiries.push_back({ aKey, *aUntil });
  }
}

void
ReleaseRefusal(record_book& aBook,
               const placement_key& aKey,
               core::instant aUntil)
{
  if (const auto found = aBook.mRefusals.find(aKey);
      found != aBook.mRefusals.end()) {
    found->second.mUntil = aUntil;
    aBook.mRefusalExpiries.push_back({ aKey, aUntil });
  }
}

std::optional<core::start_verdict>
FindRefusal(const record_book& aBook, const placement_key& aKey)
{
  const auto found = aBook.mRefusals.find(aKey);
  return found == aBook.mRefusals.end() ? std::nullopt
                                        : std::optional(found->second.mVerdict);
}

void
Expire(record_book& aBook, core::instant aNow, core::duration aWindow)
{
  ExpireJobs(aBook, aNow, aWindow);
  ExpireRefusals(aBook, aNow);
}

std::vector<core::ballot_promise>
FenceNotes(const record_book& aBook)
{
  std::vector<core::ballot_promise> notes;
  for (const auto& [name, job] : aBook.mJobs) {
    if (job.mFenced) {
      notes.push_back({ name, job.mBallot, job.mHolder.mAddress });
    }
  }
  std::sort(
    notes.begin(), notes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mJob < aRight.mJob;
    });
  return notes;
}

} // namespace gooseberry::agent
