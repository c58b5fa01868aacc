#pragma once

#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * What was started and what was refused here: the truth on which exactly-once
 * rests (R4, R5).
 */
namespace gooseberry::agent {

/** One placement of one task by one entry; its copies are the same. */
struct placement_key
{
  core::task_ref mTask;
  core::ballot mBallot;
  std::uint32_t mTry = 0;
  std::uint32_t mPlacement = 0;

  auto operator<=>(const placement_key&) const = default;
};

placement_key
KeyOf(const core::task_start& aStart);

/** The latest try of one task that was started here. */
struct task_record
{
  core::started_task mStarted;
  core::ballot mBallot;         ///< Under which it was started.
  std::uint32_t mFailedTry = 0; ///< Last try that failed here; 0: none.
  core::resources mNeeds{};
};

/** The entry process that the results of a job go to. */
struct job_holder
{
  std::string mAddress;
  std::uint64_t mIncarnation = 0; ///< Another may follow it at the address.
  /**
   * The job was wanted there then, by this agent's clock: the time of sending
   * of the latest of its messages that the entry had when it said so. Dated by
   * when the entry was heard, a silence would begin later here than there.
   */
  core::instant mConfirmedAt{};
};

/** Whether both mean the same run of the same entry. */
bool
IsSameProcess(const job_holder& aLeft, const job_holder& aRight);

/** All that is known of one job. */
struct job_record
{
  core::ballot mBallot; ///< Highest of all starts and fences.
  bool mFenced = false; ///< A fence raised it: joining agents copy it.
  job_holder mHolder;   ///< The entry behind the ballot.
  /** The entry process that cancelled it last; zero: none has. */
  std::uint64_t mCancelledBy = 0;
  core::instant mCancelledAt{};
  core::instant mLastChange{};
  std::map<std::uint32_t, task_record> mTasks;
};

struct refusal
{
  core::start_verdict mVerdict = core::start_verdict::Busy;
  /** None: held until the entry has acknowledged the return. */
  std::optional<core::instant> mExpiry;
};

struct job_expiry
{
  std::string mJob;
  core::instant mAt{};
};

struct refusal_expiry
{
  placement_key mKey;
  core::instant mAt{};
};

/** A finished try whose result is kept. */
struct kept_result
{
  core::task_ref mTask;
  std::uint32_t mTry = 0;
};

struct record_store
{
  std::unordered_map<std::string, job_record> mJobs;
  std::deque<job_expiry> mJobExpiries;
  std::map<placement_key, refusal> mRefusals;
  std::deque<refusal_expiry> mRefusalExpiries;
  std::deque<kept_result> mKeptResults; ///< Oldest first.
  std::size_t mResultBytes = 0;
};

const job_record*
FindJob(const record_store& aStore, const std::string& aJob);

const task_record*
FindTask(const record_store& aStore, const core::task_ref& aTask);

/** The job's record, made where there was none; its window starts anew. */
job_record&
RefreshJob(record_store& aStore, const std::string& aJob, core::instant aNow);

/** Records a start before the target is called. */
void
RecordStart(record_store& aStore,
            const core::task_start& aStart,
            core::instant aNow);

/** Takes back a start that never reached its target; an earlier failed try
 * stays on record. */
void
RemoveStart(record_store& aStore, const core::task_ref& aTask);

/** Records the end of a running try, and drops the oldest results over
 * `aMaxBytes`. */
void
RecordEnd(record_store& aStore,
          core::task_result aResult,
          core::instant aNow,
          std::size_t aMaxBytes);

/** Refuses this placement until `aUntil`; none: until `ReleaseRefusal`. */
void
RecordRefusal(record_store& aStore,
              const placement_key& aKey,
              core::start_verdict aVerdict,
              std::optional<core::instant> aUntil);

/** The entry knows of the refusal; copies on their way are still refused. */
void
ReleaseRefusal(record_store& aStore,
               const placement_key& aKey,
               core::instant aUntil);

std::optional<core::start_verdict>
FindRefusal(const record_store& aStore, const placement_key& aKey);

/** Forgets jobs a window after their last change, and refusals past their
 * time. Jobs with running tasks stay. */
void
Expire(record_store& aStore, core::instant aNow, core::duration aWindow);

/** Every fence in force, for a joining agent. */
std::vector<core::fence_note>
BallotPromises(const record_store& aStore);

} // namespace gooseberry::agent
