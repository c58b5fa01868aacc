#pragma once

#include "libgooseberry/core/message.h"
#include "libgooseberry/job/submission.h"
#include "libgooseberry/target/target_table.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberry::job {

/** Where a task is, as its job's home entry knows. */
enum class task_state : std::uint8_t
{
  Waiting, ///< To be placed.
  Sent,    ///< A start is on its way; its answer is not known.
  Running, ///< The agent has accepted it.
  Ended,   ///< Its final result is here.
};
inline constexpr core::enum_names<task_state, 4> kTaskStateNames{
  { "waiting", "sent", "running", "ended" }
};

/** One task of a job at its home entry. */
struct task
{
  task_state mState = task_state::Waiting;
  std::uint32_t mTry = 1;
  std::uint32_t mFailures = 0; ///< Definite ones, seen by this entry.
  std::uint32_t mPlacement = 0;
  std::optional<target::target_index> mTarget;
  core::peer_ref mAgent;
  /** A send of the present placement ended without an answer. */
  bool mMaybeDelivered = false;
  bool mEverStarted = false; ///< Or may have been.
  core::duration mExpected{};
  std::vector<target::target_index> mAvoid; ///< Failed there before.
  std::string mResult;
};

/** Stage of a job at one entry. */
enum class phase : std::uint8_t
{
  Locating,   ///< Asking the other entries who has it.
  Recovering, ///< Asking the agents what of it was started.
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
  std::set<core::peer_ref> mUnavailable; ///< Cannot answer any more.
  core::instant mStartedAt{};
  /** All answers were in at this time; rows read later settle it. */
  std::optional<core::instant> mAnsweredAt;
  std::vector<core::started_task> mFoundStarts; ///< By agents.
  std::uint32_t mRounds = 0;
  /** An entry that may have the outcome did not answer. */
  bool mEntryUnresponsive = false;
};

/** A job as one entry knows it. */
struct job
{
  submission mSubmission;
  phase mPhase = phase::Locating;
  core::ballot mBallot;
  core::instant mArrived{};
  core::instant mDeadline{};
  std::vector<task> mTasks;
  std::vector<std::uint32_t> mWaiting; ///< Indices; the next one is last.
  std::uint32_t mEnded = 0;
  /** It was given up here undecided, by an earlier attempt. */
  bool mMayHaveStartedBefore = false;
  core::duration mRemainingWork{};
  core::duration mWaitingWork{}; ///< Expected, of the waiting tasks.
  core::duration mObjective{};   ///< From arrival; zero: none is set.
  core::instant mLatestStart{};  ///< To end by its objective.
  bool mLate = false;            ///< Had waiting tasks after that.
  bool mIsDemoted = false;       ///< Late, and nothing had run before.
  std::int64_t mPriority = 0;    ///< Its key in the ready queue.
  bool mQueued = false;          ///< Stands in the ready queue.
  inquiry mInquiry;
  core::peer_ref mHome;                   ///< While attached.
  core::instant mHomeAskedAt{};           ///< Last time it was asked.
  std::vector<std::uint64_t> mWaiters;    ///< Tokens of callers.
  std::set<std::string> mAttachedEntries; ///< Names.
  core::job_answer mAnswer;
  core::instant mEndedAt{};
  core::duration mIdeal{}; ///< Expected response time on idle slots.
};

/** Whether any task was or may have been started, here or before. */
bool
MayHaveStarted(const job& aJob);

/** Time from arrival to end that meets the objective, for this expected run
 * time of the longest task; zero where there is no objective. */
core::duration
ObjectiveOf(const submission& aSubmission, core::duration aLongestTask);

/** Wait after which the longest task cannot end by the objective any more, or
 * where there is none by the deadline. */
core::duration
LongestWait(const submission& aSubmission, core::duration aLongestTask);

/** As `LongestWait`, for an end that is late but still of use. */
core::duration
LongestUsefulWait(const submission& aSubmission, core::duration aLongestTask);

/** Sum of the expected run times of all tasks that have not ended. */
core::duration
RemainingWork(const job& aJob);

/**
 * Longest expected task, or all the expected work spread over the slots,
 * whichever is longer. Zero slots count as one.
 */
core::duration
IdealResponse(const job& aJob, std::uint32_t aSlots);

/** Fills `mWaiting` with the waiting tasks, the longest expected one last. */
void
QueueWaitingTasks(job& aJob);

} // namespace gooseberry::job
