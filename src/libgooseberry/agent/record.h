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

/** Records of started and refused tasks. Exactly-once starts rest on them (R4,
 * R5). */
namespace gooseberry::agent {

/** One placement of one task by one entry; equal for copies of a start. */
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

/** Returns the key of the start that the result answers. */
placement_key
KeyOf(const core::task_result& aResult);

/** The latest try of one task that was started here. */
struct task_record
{
  core::started_task mStarted;
  /** Starts that the result answered before `RebindStart`. */
  std::vector<placement_key> mEarlierStarts{};
  std::uint32_t mFailedTry = 0; ///< Last try that failed here; 0: none.
  core::resources mNeeds{};
};

/** The entry process that gets the results of a job. */
struct job_holder
{
  std::string mAddress;
  std::uint64_t mIncarnation = 0; ///< A restarted entry has another one.
  /**
   * Lower bound, on this agent's clock, of the time at which the entry last
   * confirmed the job: when the agent sent the latest message that the entry
   * had received before it confirmed the job. With the time at which the
   * confirmation arrived, the contact timeout would start later here than at
   * the entry.
   */
  core::instant mConfirmedAt{};
};

/** Returns whether both are the same incarnation of the same entry. */
bool
IsSameProcess(const job_holder& aLeft, const job_holder& aRight);

/** All records of one job. */
struct job_record
{
  core::ballot mBallot; ///< Highest of all starts and fences.
  bool mFenced = false; ///< Raised by a fence: joining agents copy it.
  job_holder mHolder;   ///< Of the last applied start or fence.
  /** Incarnation of the entry that cancelled the job last; zero: none. */
  std::uint64_t mCancelledBy = 0;
  core::instant mCancelledAt{};
  core::instant mLastChange{};
  std::map<std::uint32_t, task_record> mTasks;
};

struct refusal
{
  core::start_verdict mVerdict = core::start_verdict::Busy;
  /** None: refused until the entry acknowledges the return. */
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

/** Returns the job's record, created if it is missing, and restarts its
 * deduplication window. */
job_record&
RefreshJob(record_store& aStore, const std::string& aJob, core::instant aNow);

/** Records a start; called before the target is called. */
void
RecordStart(record_store& aStore,
            const core::task_start& aStart,
            core::instant aNow);

/**
 * Has the result of a started task answer this start from now on, unless the
 * same entry sent it before the one answered so far.
 */
void
RebindStart(record_store& aStore, const core::task_start& aStart);

/** Removes a start that never reached its target; an earlier failed try stays
 * on record. */
void
RemoveStart(record_store& aStore, const core::task_ref& aTask);

/** Records the end of a running try, and drops the oldest results beyond
 * `aMaxBytes`. */
void
RecordEnd(record_store& aStore,
          core::task_result aResult,
          core::instant aNow,
          std::size_t aMaxBytes);

/** Refuses the placement until `aUntil`; if none, until `ReleaseRefusal`. */
void
RecordRefusal(record_store& aStore,
              const placement_key& aKey,
              core::start_verdict aVerdict,
              std::optional<core::instant> aUntil);

/** Sets the expiry of a refusal that the entry knows of; until then, copies in
 * transit are still refused. */
void
ReleaseRefusal(record_store& aStore,
               const placement_key& aKey,
               core::instant aUntil);

std::optional<core::start_verdict>
FindRefusal(const record_store& aStore, const placement_key& aKey);

/** Removes jobs whose last change is older than the window, and expired
 * refusals. Jobs with running tasks stay. */
void
Expire(record_store& aStore, core::instant aNow, core::duration aWindow);

/** Returns the ballot promises of all fenced jobs, for a joining agent. */
std::vector<core::ballot_promise>
BallotPromises(const record_store& aStore);

} // namespace gooseberry::agent
