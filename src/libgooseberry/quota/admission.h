#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace gooseberry::quota {

struct admission_settings
{
  /** Longest wait before the first start with which a job is admitted. */
  core::duration mMaxWait = std::chrono::seconds(2);
  /** Tasks that may wait at the entry; limits its memory use. */
  std::uint64_t mMaxWaitingTasks = 100'000;
  /** Shortest time after which a refused caller is asked to retry. */
  core::duration mMinRetryAfter = std::chrono::milliseconds(200);
};

/**
 * Input of admission by objective: a job is admitted only if it can meet the
 * objective, or ends late but still useful. Times are from now.
 */
struct objective_request
{
  /** Longest wait of the last task to be in time. */
  core::duration mLongestWait{};
  /** Longest wait of the last task to be useful. */
  core::duration mLongestUsefulWait{};
  std::uint32_t mFreeSlots = 0;  ///< Free now, for any job.
  core::duration mWaitingWork{}; ///< Run times of all waiting tasks.
  /** Slots kept busy by arrivals of higher urgency. */
  double mHigherPriorityLoad = 0;
  double mTotalLoad = 0; ///< Slots kept busy by all arrivals.
};

/** A job to be admitted, and the work that waits before it. */
struct admission_request
{
  /**
   * Run times of the tasks that go before this job; of running tasks, the
   * remaining time.
   */
  core::duration mWorkAhead{};
  std::uint64_t mWaitingTasks = 0; ///< At this entry, without this job's tasks.
  std::uint32_t mSlots = 0;        ///< Slots that this entry can count on.
  std::uint32_t mTasks = 0;        ///< Tasks of this job.
  core::duration mWork{};          ///< Run times of this job's tasks.
  core::duration mLongestTask{};
  /** From now; none: the caller waits without limit. */
  std::optional<core::duration> mDeadline;
  std::optional<objective_request> mObjective;
};

enum class admission_reason : std::uint8_t
{
  Wait,      ///< The first start would be too late.
  Deadline,  ///< The deadline would be missed because of the wait.
  QueueFull, ///< Too many tasks wait at this entry.
  Late,      ///< The end would be too late to be useful.
};
inline constexpr core::enum_names<admission_reason, 4> kAdmissionReasonNames{
  { "wait", "deadline", "room", "late" }
};

struct admitted
{
  core::duration mExpectedWait{};
  core::duration mExpectedFinish{}; ///< From now, including the wait.
};

struct refused
{
  admission_reason mReason = admission_reason::Wait;
  core::duration mRetryAfter{};
};

using admission_decision = std::variant<admitted, refused>;

/**
 * Decides whether to admit a job. Jobs that would wait too long are refused on
 * arrival, while the caller still has time to go elsewhere. A job is admitted
 * whatever its size if no work waits before it. A job that could not meet its
 * deadline on an idle system is not refused for its deadline.
 *
 * Load pattern of admission by objective: for some seconds, more work arrives
 * than the targets can process. Jobs that wait until they are certainly late
 * cost their callers time, and take slots from later jobs. So a job is refused
 * on arrival unless it can start in time after the work before it and more
 * urgent arrivals. After a short burst, a job is also admitted if it ends late
 * but still useful.
 */
admission_decision
Admit(const admission_settings& aSettings, const admission_request& aRequest);

} // namespace gooseberry::quota
