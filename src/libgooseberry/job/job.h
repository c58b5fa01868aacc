#pragma once

#include "libgooseberry/core/message.h"
#include "libgooseberry/job/submission.h"
#include "libgooseberry/target/target_table.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberry::job {

/** State of a task as known to the job's home entry. */
enum class task_state : std::uint8_t
{
  Waiting, ///< Not placed yet.
  Sent,    ///< A start was sent; its answer is not known.
  Running, ///< The agent has accepted it.
  Ended,   ///< Its final result has arrived.
};
inline constexpr core::enum_names<task_state, 4> kTaskStateNames{
  { "waiting", "sent", "running", "ended" }
};

/** One task of a job at its home entry. */
struct task
{
  task_state mState = task_state::Waiting;
  std::uint32_t mTry = 1;
  std::uint32_t mFailures = 0; ///< Definite failures seen by this entry.
  std::uint32_t mPlacement = 0;
  std::optional<target::target_index> mTarget;
  core::peer_ref mAgent;
  /** A send of the current placement got no answer. */
  bool mMaybeDelivered = false;
  bool mEverStarted = false; ///< Was started, or may have been.
  /** Its agent is lost or replaced, and the target may yet carry its last start
   * out. */
  bool mIsInDoubt = false;
  core::duration mExpected{};
  std::vector<target::target_index> mAvoid; ///< Targets where it has failed.
  std::string mResult;
};

/** Stage of a job at one entry. */
enum class phase : std::uint8_t
{
  Locating,   ///< Asking the other entries for the home of the job.
  Recovering, ///< Asking the agents which of its tasks were started.
  Running,    ///< This entry is its home.
  Attached,   ///< Another entry is its home and will deliver the outcome.
  Ended,
};
inline constexpr core::enum_names<phase, 5> kPhaseNames{
  { "locating", "recovering", "running", "attached", "ended" }
};

/** Progress of asking entries or agents; see docs/PROTOCOL.md, R2 and R3. */
struct inquiry
{
  std::set<core::peer_ref> mPending;
  std::set<core::peer_ref> mAnswered;
  std::set<core::peer_ref> mUnavailable; ///< Can no longer answer.
  core::instant mStartedAt{};
  /**
   * Time when all answers had arrived; rows that are read later settle the
   * inquiry.
   */
  std::optional<core::instant> mAnsweredAt;
  std::vector<core::started_task> mFoundStarts; ///< Reported by agents.
  std::uint32_t mRounds = 0;
  /** An entry that may have the outcome did not answer. */
  bool mEntryUnresponsive = false;
};

/** A job as known to one entry. */
struct job
{
  submission mSubmission;
  phase mPhase = phase::Locating;
  core::ballot mBallot;
  core::instant mArrived{};
  core::instant mDeadline{};
  std::vector<task> mTasks;
  std::vector<std::uint32_t> mWaiting; ///< Indices; the next to start is last.
  std::uint32_t mEnded = 0;
  /** An earlier attempt was abandoned here in doubt. */
  bool mMayHaveStartedBefore = false;
  core::duration mRemainingWork{};
  core::duration mWaitingWork{}; ///< Expected run time of the waiting tasks.
  core::duration mObjective{};   ///< From arrival; zero: no objective.
  core::instant mLatestStart{};  ///< Latest start that meets the objective.
  bool mLate = false;            ///< Had waiting tasks after the latest start.
  bool mIsDemoted = false;       ///< Became late before any task had started.
  std::int64_t mPriority = 0;    ///< Key in the ready queue.
  bool mQueued = false;          ///< Is in the ready queue.
  inquiry mInquiry;
  core::peer_ref mHome;                ///< While attached.
  core::instant mHomeAskedAt{};        ///< When the home was last asked.
  std::vector<std::uint64_t> mWaiters; ///< Tokens of the waiting callers.
  /** Names of the entries that wait for the outcome from this one. */
  std::set<std::string> mAttachedEntries;
  core::job_answer mAnswer;
  core::instant mEndedAt{};
  core::duration mIdeal{}; ///< Expected response time on idle slots.
};

/**
 * Returns whether any task was or may have been started, here or by an earlier
 * attempt.
 */
bool
MayHaveStarted(const job& aJob);

/**
 * Returns the time from arrival to end that meets the objective, given the
 * expected run time of the longest task. Zero where there is no objective.
 */
core::duration
ObjectiveOf(const submission& aSubmission, core::duration aLongestTask);

/**
 * Returns the longest wait after which the longest task can still end by the
 * objective, or by the deadline where there is no objective.
 */
core::duration
LongestWait(const submission& aSubmission, core::duration aLongestTask);

/**
 * Like `LongestWait`, for an end that is late but still useful to the caller.
 */
core::duration
LongestUsefulWait(const submission& aSubmission, core::duration aLongestTask);

/**
 * Returns the sum of the expected run times of all tasks that have not ended.
 */
core::duration
RemainingWork(const job& aJob);

/**
 * Returns the expected run time of the longest task, or of all tasks spread
 * over the slots, whichever is longer. Zero slots count as one.
 */
core::duration
IdealResponse(const job& aJob, std::uint32_t aSlots);

/** Fills `mWaiting` with the waiting tasks, the longest expected one last. */
void
QueueWaitingTasks(job& aJob);

} // namespace gooseberry::job
