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

/** Results that an entry has not acknowledged yet. */
namespace gooseberry::agent {

/** One try that ended, or one placement that was returned. */
using result_key = placement_key;

/** A queued task that never started. */
struct returned_task
{
  core::task_result mResult;
  core::ballot mBallot;
  std::string mEntryAddress; ///< Of the entry that sent it.
  core::instant mReturnedAt{};
};

/** Results waiting for one entry. */
struct entry_lane
{
  std::deque<result_key> mWaiting;
  std::uint32_t mInFlight = 0;
  std::uint32_t mFailures = 0; ///< In a row.
  core::instant mNotBefore{};
};

/** A finish call that was not answered yet. */
struct batch_in_flight
{
  std::string mEntryAddress;
  std::vector<result_key> mKeys;
};

struct delivery
{
  /** Unacknowledged: of a started task none, its record has the result. */
  std::map<result_key, std::optional<returned_task>> mPending;
  std::map<std::string, entry_lane> mLanes; ///< By the entry's address.
  std::map<std::uint64_t, batch_in_flight> mBatches;
  std::uint64_t mLastBatch = 0;
};

/** The started task has ended, or its result is wanted once more. */
void
QueueResult(delivery& aDelivery,
            const record_store& aStore,
            const core::task_ref& aTask);

void
QueueReturned(delivery& aDelivery, returned_task aReturned);

/** A batch made up for one entry. */
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
  core::duration mWindow{}; ///< Returned tasks are forgotten after it.
};

/** Every batch that may be sent now; each result goes to its job's holder. */
std::vector<next_batch>
CollectBatches(delivery& aDelivery,
               record_store& aStore,
               core::instant aNow,
               const delivery_limits& aLimits);

/** The entry has the batch; its returned placements stay refused until
 * `aRefuseUntil`. Gives the number of results. */
std::size_t
Acknowledge(delivery& aDelivery,
            record_store& aStore,
            std::uint64_t aBatch,
            core::instant aRefuseUntil);

/** The batch was not answered; it is sent again after `aRetryAt`. */
void
Requeue(delivery& aDelivery,
        const record_store& aStore,
        std::uint64_t aBatch,
        core::instant aRetryAt);

/** Failed calls in a row towards an entry. */
std::uint32_t
ConsecutiveFailures(const delivery& aDelivery, std::uint64_t aBatch);

} // namespace gooseberry::agent
