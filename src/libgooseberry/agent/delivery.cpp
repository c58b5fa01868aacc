#include "libgooseberry/agent/delivery.h"

#include <utility>

namespace gooseberry::agent {

namespace {

/** Returns the address to send a pending result to; empty if its job was
 * removed from the records. */
std::string
DestinationOf(const delivery& aDelivery,
              const record_store& aStore,
              const result_key& aKey)
{
  if (const auto& returned = aDelivery.mPending.at(aKey); returned) {
    return returned->mEntryAddress;
  }
  const auto* job = FindJob(aStore, aKey.mTask.mJob);
  return job == nullptr ? std::string() : job->mHolder.mAddress;
}

/** Returns the result to send; none if it is superseded, removed or too old. */
std::optional<core::task_result>
ResultOf(const delivery& aDelivery,
         const record_store& aStore,
         const result_key& aKey,
         core::instant aOldest)
{
  if (const auto& returned = aDelivery.mPending.at(aKey); returned) {
    return returned->mReturnedAt >= aOldest ? std::optional(returned->mResult)
                                            : std::nullopt;
  }
  const auto* record = FindTask(aStore, aKey.mTask);
  if (record == nullptr || record->mStarted.mResult.mTry != aKey.mTry ||
      record->mStarted.mState == core::record_state::Running) {
    return std::nullopt;
  }
  auto result = record->mStarted.mResult;
  if (record->mStarted.mState == core::record_state::ResultDropped &&
      result.mEnd == core::task_end::Succeeded) {
    result.mEnd = core::task_end::Unknown;
    result.mPayload = "the result was dropped to make room";
  }
  return result;
}

void
RemovePending(delivery& aDelivery,
              record_store& aStore,
              const result_key& aKey,
              core::instant aRefuseUntil)
{
  const auto found = aDelivery.mPending.find(aKey);
  if (found == aDelivery.mPending.end()) {
    return;
  }
  if (found->second) {
    ReleaseRefusal(aStore, aKey, aRefuseUntil);
  }
  aDelivery.mPending.erase(found);
}

/** Removes one batch from a lane; results of jobs with a new holder move to the
 * lane of that holder. */
next_batch
CollectBatch(delivery& aDelivery,
             record_store& aStore,
             const std::string& aAddress,
             core::instant aNow,
             const delivery_limits& aLimits)
{
  next_batch batch{ 0, aAddress, {} };
  batch_in_flight inFlight{ aAddress, {} };
  auto& waiting = aDelivery.mLanes[aAddress].mWaiting;
  while (!waiting.empty() &&
         batch.mResults.size() < aLimits.mMaxResultsPerBatch) {
    result_key key = std::move(waiting.front());
    waiting.pop_front();
    if (!aDelivery.mPending.contains(key)) {
      continue;
    }
    auto destination = DestinationOf(aDelivery, aStore, key);
    auto result = ResultOf(aDelivery, aStore, key, aNow - aLimits.mWindow);
    if (!result || destination.empty()) {
      RemovePending(aDelivery, aStore, key, aNow);
    } else if (destination != aAddress) {
      aDelivery.mLanes[destination].mWaiting.push_back(std::move(key));
    } else {
      batch.mResults.push_back(std::move(*result));
      inFlight.mKeys.push_back(std::move(key));
    }
  }
  if (!batch.mResults.empty()) {
    batch.mId = ++aDelivery.mLastBatch;
    aDelivery.mBatches.emplace(batch.mId, std::move(inFlight));
    ++aDelivery.mLanes[aAddress].mInFlight;
  }
  return batch;
}

} // namespace

void
QueueResult(delivery& aDelivery,
            const record_store& aStore,
            const core::task_ref& aTask)
{
  const auto* record = FindTask(aStore, aTask);
  const result_key key = KeyOf(record->mStarted.mResult);
  if (aDelivery.mPending.try_emplace(key, std::nullopt).second) {
    const auto destination = DestinationOf(aDelivery, aStore, key);
    aDelivery.mLanes[destination].mWaiting.push_back(key);
  }
}

void
QueueReturned(delivery& aDelivery, returned_task aReturned)
{
  const result_key key = KeyOf(aReturned.mResult);
  aDelivery.mLanes[aReturned.mEntryAddress].mWaiting.push_back(key);
  aDelivery.mPending.insert_or_assign(key, std::move(aReturned));
}

std::vector<next_batch>
CollectBatches(delivery& aDelivery,
               record_store& aStore,
               core::instant aNow,
               const delivery_limits& aLimits)
{
  std::vector<std::string> addresses;
  for (const auto& [address, lane] : aDelivery.mLanes) {
    if (!lane.mWaiting.empty() && lane.mNotBefore <= aNow) {
      addresses.push_back(address);
    }
  }
  std::vector<next_batch> batches;
  for (const auto& address : addresses) {
    const auto& lane = aDelivery.mLanes[address];
    while (!lane.mWaiting.empty() &&
           lane.mInFlight < aLimits.mMaxBatchesInFlight) {
      auto batch = CollectBatch(aDelivery, aStore, address, aNow, aLimits);
      if (!batch.mResults.empty()) {
        batches.push_back(std::move(batch));
      }
    }
  }
  return batches;
}

std::size_t
Acknowledge(delivery& aDelivery,
            record_store& aStore,
            std::uint64_t aBatch,
            core::instant aRefuseUntil)
{
  const auto found = aDelivery.mBatches.find(aBatch);
  if (found == aDelivery.mBatches.end()) {
    return 0;
  }
  const auto batch = std::move(found->second);
  aDelivery.mBatches.erase(found);
  for (const auto& key : batch.mKeys) {
    RemovePending(aDelivery, aStore, key, aRefuseUntil);
  }
  auto& lane = aDelivery.mLanes[batch.mEntryAddress];
  --lane.mInFlight;
  lane.mFailures = 0;
  lane.mNotBefore = {};
  if (lane.mWaiting.empty() && lane.mInFlight == 0) {
    aDelivery.mLanes.erase(batch.mEntryAddress);
  }
  return batch.mKeys.size();
}

void
Requeue(delivery& aDelivery,
        const record_store& aStore,
        std::uint64_t aBatch,
        core::instant aRetryAt)
{
  const auto found = aDelivery.mBatches.find(aBatch);
  if (found == aDelivery.mBatches.end()) {
    return;
  }
  const auto batch = std::move(found->second);
  aDelivery.mBatches.erase(found);
  auto& lane = aDelivery.mLanes[batch.mEntryAddress];
  --lane.mInFlight;
  ++lane.mFailures;
  lane.mNotBefore = aRetryAt;
  for (const auto& key : batch.mKeys) {
    if (!aDelivery.mPending.contains(key)) {
      continue;
    }
    auto destination = DestinationOf(aDelivery, aStore, key);
    if (destination.empty()) {
      destination = batch.mEntryAddress;
    }
    aDelivery.mLanes[destination].mWaiting.push_back(key);
  }
}

std::uint32_t
ConsecutiveFailures(const delivery& aDelivery, std::uint64_t aBatch)
{
  const auto batch = aDelivery.mBatches.find(aBatch);
  if (batch == aDelivery.mBatches.end()) {
    return 0;
  }
  const auto lane = aDelivery.mLanes.find(batch->second.mEntryAddress);
  return lane == aDelivery.mLanes.end() ? 0 : lane->second.mFailures;
}

} // namespace gooseberry::agent
