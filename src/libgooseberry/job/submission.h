#pragma once

#include "libgooseberry/core/resources.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gooseberry::job {

/** An unchanging text; copies share its memory. */
class shared_text
{
public:
  shared_text() = default;
  shared_text(std::string aText) // NOLINT: a text where one is expected
    : mText(std::make_shared<const std::string>(std::move(aText)))
  {
  }

  shared_text(const char* aText) // NOLINT: likewise
    : shared_text(std::string(aText))
  {
  }

  const std::string& Get() const
  {
    static const std::string kEmpty;
    return mText ? *mText : kEmpty;
  }

private:
  std::shared_ptr<const std::string> mText;
};

/** One task as described by the caller. */
struct task_description
{
  std::string mKind;
  core::duration mDeclared{}; ///< Run time estimated by the caller; zero: none.
  shared_text mPayload; ///< One copy for the tasks of a job, where they agree.
  core::resources mNeeds{};
};

/** Latency that operators promise for a job, from its arrival. */
struct latency_objective
{
  /** In percent of the longest task's run time. */
  std::uint32_t mRunTimePercent = 0;
  core::duration mAllowance{}; ///< Added to that.
};

/** Attempt number where the submission does not state one. */
inline constexpr std::uint32_t kAttemptUnknown = 0;
/** Attempt number of the first submission of a job. */
inline constexpr std::uint32_t kFirstAttempt = 1;

/** A job as submitted by a caller. */
struct submission
{
  std::string mKey; ///< `team/name`.
  std::string mService;
  std::string mTeam;
  std::uint32_t mAttempt = kAttemptUnknown;
  bool mIdempotent = false;
  /** Starts allowed per task; 0: the limit of the service. */
  std::uint32_t mMaxTries = 0;
  core::duration mDeadline{};   ///< From arrival; always set.
  latency_objective mObjective; ///< All zero: no objective.
  std::uint32_t mPriority = 0;  ///< Smaller values are more urgent.
  std::vector<task_description> mTasks;
  /**
   * Hash of service, idempotence and tasks. Submissions with the same name must
   * have the same hash.
   */
  std::uint64_t mContentHash = 0;
};

} // namespace gooseberry::job
