#pragma once

#include "libgooseberry/agent/record.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Results that entries have not acknowledged yet. */
namespace gooseberry::agent {

/** One try that has ended, or one placement that was returned. */
using result_key = placement_key;

/** A queued task that never started. */
struct returned_task
{
  core::task_result mResult;
  std::string mEntryAddress; ///< Of the sending entry.
  core::instant mReturnedAt{};
};

/** Results waiting for one entry. */
struct entry_lane
{
  std::deque<result_key> mWaiting;
  std::uint32_t mInFlight = 0;
  std::uint32_t mFailures = 0; ///< Consecutive.
  core::instant mNotBefore{};
};

/** A finish call without an answer so far. */
struct batch_in_flight
{
  std::string mEntryAddress;
  std::vector<result_key> mKeys;
};

struct delivery
{
  /** Unacknowledged results. Only returned tasks have a value; the result of a
   * started task is in its record. */
  std::map<result_key, std::optional<returned_task>> mPending;
  std::map<std::string, entry_lane> mLanes; ///< By the entry's address.
  std::map<std::uint64_t, batch_in_flight> mBatches;
  std::uint64_t mLastBatch = 0;
};

/** Queues the result of a started task when it has ended, or when the result is
 * requested again. */
void
QueueResult(delivery& aDelivery,
            const record_store& aStore,
            const core::task_ref& aTask);

void
QueueReturned(delivery& aDelivery, returned_task aReturned);

/** A batch to send to one entry. */
struct next_batch
{
  std::uint64_t mId = 0;
  std::string mEntryAddress;
  std::vector<core::task_result> mResults;
};

struct delivery_limits
{
  std::size_t mMaxResultsPerBatch = 0;
  std::uint32_t mMaxBatchesInFlight = 0;
  core::duration mWindow{}; ///< Returned tasks are dropped after this time.
};

/** Returns all batches that may be sent now and marks them as in flight. Each
 * result goes to the holder of its job. */
std::vector<next_batch>
CollectBatches(delivery& aDelivery,
               record_store& aStore,
               core::instant aNow,
               const delivery_limits& aLimits);

/** Records that the entry has received the batch; its returned placements stay
 * refused until `aRefuseUntil`. Returns the number of results. */
std::size_t
Acknowledge(delivery& aDelivery,
            record_store& aStore,
            std::uint64_t aBatch,
            core::instant aRefuseUntil);

/** Requeues the results of a batch that was not answered, to be sent after
 * `aRetryAt`. */
void
Requeue(delivery& aDelivery,
        const record_store& aStore,
        std::uint64_t aBatch,
        core::instant aRetryAt);

/** Returns the number of consecutive failed calls to the entry of a batch. */
std::uint32_t
ConsecutiveFailures(const delivery& aDelivery, std::uint64_t aBatch);

} // namespace gooseberry::agent
