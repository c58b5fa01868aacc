#pragma once

#include "libgooseberry/core/resources.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry::job {

/** One task as the caller describes it. */
struct task_description
{
  std::string mKind;
  core::duration mDeclared{}; ///< Caller's estimate; zero: none.
  std::string mPayload;
  core::resources mNeeds{};
};

/** By when a job is to end, as its operators promise it. */
struct latency_objective
{
  std::uint32_t mRunTimePercent = 0; ///< Of the longest task's run time.
  core::duration mAllowance{};       ///< Beside that.
};

/** Attempt number of a submission that does not say which one it is. */
inline constexpr std::uint32_t kAttemptUnknown = 0;
/** Attempt number of a submission that no other preceded. */
inline constexpr std::uint32_t kFirstAttempt = 1;

/** A job as submitted by a caller. */
struct submission
{
  std::string mKey; ///< `team/name`.
  std::string mService;
  std::string mTeam;
  std::uint32_t mAttempt = kAttemptUnknown;
  bool mIdempotent = false;
  std::uint32_t mMaxTries = 0;  ///< Starts of a task; 0: as its service says.
  core::duration mDeadline{};   ///< From arrival; always set.
  latency_objective mObjective; ///< All zero: none is set.
  std::uint32_t mPriority = 0;  ///< Smaller ones matter more.
  std::vector<task_description> mTasks;
  /** Of service, idempotence and tasks: the same name must mean the same. */
  std::uint64_t mContentHash = 0;
};

} // namespace gooseberry::job
