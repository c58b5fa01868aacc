#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace gooseberry::quota {

struct admission_settings
{
  /** Longest wait before its first start that a job is taken in with. */
  core::duration mMaxWait = std::chrono::seconds(2);
  /** Tasks that may wait at the entry; bounds its memory. */
  std::uint64_t mMaxWaitingTasks = 100'000;
  /** Shortest time after which a refused caller is asked back. */
  core::duration mMinRetryAfter = std::chrono::milliseconds(200);
};

/** What an objective adds: jobs are taken in only if they can meet it, or can
 * be late and of use. Times are from now. */
struct objective_request
{
  core::duration mLongestWait{};       ///< Of the last task, to be in time.
  core::duration mLongestUsefulWait{}; ///< Of the last task, to be of use.
  std::uint32_t mFreeSlots = 0;        ///< Now, whoever may get them.
  core::duration mWaitingWork{};       ///< Run times of all waiting tasks.
  double mHigherPriorityLoad =
    0;                   ///< Slots kept busy by arrivals that matter more.
  double mTotalLoad = 0; ///< Slots kept busy by all arrivals.
};

/** A job at the door, and what waits before it. */
struct admission_request
{
  /** Run times of the tasks that go before this job's, running ones' rest. */
  core::duration mWorkAhead{};
  std::uint64_t mWaitingTasks = 0; ///< At this entry, without this job's.
  std::uint32_t mSlots = 0;        ///< That this entry can count on.
  std::uint32_t mTasks = 0;        ///< Of this job.
  core::duration mWork{};          ///< Run times of this job's tasks.
  core::duration mLongestTask{};
  /** From now; none: the caller waits as long as it takes. */
  std::optional<core::duration> mDeadline;
  std::optional<objective_request> mObjective;
};

enum class admission_reason : std::uint8_t
{
  Wait,      ///< Its first start would come too late.
  Deadline,  ///< It would end in time if it had not to wait.
  QueueFull, ///< Too many tasks wait here.
  Late,      ///< It would end too late to be of use.
};
inline constexpr core::enum_names<admission_reason, 4> kAdmissionReasonNames{
  { "wait", "deadline", "room", "late" }
};

struct admitted
{
  core::duration mExpectedWait{};
  core::duration mExpectedFinish{}; ///< From now, the wait included.
};

struct refused
{
  admission_reason mReason = admission_reason::Wait;
  core::duration mRetryAfter{};
};

using admission_decision = std::variant<admitted, refused>;

/**
 * Whether to take a job in. Refuses early what would wait too long, so that
 * the caller can go elsewhere while there is time. A job that finds nothing
 * before it is taken in, whatever its size; one that could not meet its
 * deadline on an idle system is not refused for that.
 *
 * Load pattern of the objective: for some seconds more arrives than the targets
 * can do. Jobs that wait until it is certain that they are late take up
 * callers' time, and slots that later ones need. So a job is refused on arrival
 * unless it can start in time beside what goes before it and what arrives
 * meanwhile and matters more; or the rest of a short burst leaves it late but
 * of use.
 */
admission_decision
Admit(const admission_settings& aSettings, const admission_request& aRequest);

} // namespace gooseberry::quota
