#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** Calls to a target that runs tasks under leases, and their answers. */
namespace gooseberry::lease {

/** A reading of a target's own steady clock. */
using target_time = std::chrono::milliseconds;

/** Whom a call is for, and by what right. */
struct call_header
{
  std::string mTarget;  ///< Name of the target that is to answer.
  std::string mAddress; ///< `ip:port` of its HTTP server.
  /** The target ignores calls with a lower token than it has seen. */
  std::uint64_t mFencingToken = 0;
  std::uint64_t mTargetIncarnation =
    0;                        ///< Of the target, as known when it was made.
  core::duration mDeadline{}; ///< Of the whole call.
};

/** Start a run; the answer goes to `OnStartAnswer`. */
struct start_call
{
  call_header mHeader;
  core::task_ref mTask;
  std::uint32_t mRun = 0; ///< Rises with each start of the task at a target.
  std::string mPayload;
  target_time mValidUntil{}; ///< Refused later; also extends the lease.
};

/** Stop a run, or refuse it should it still arrive; `OnStopAnswer`. */
struct stop_call
{
  call_header mHeader;
  core::task_ref mTask;
  std::uint32_t mRun = 0;
};

/** Extend the lease of all runs and ask what runs; `OnRenewal`. */
struct renew_call
{
  call_header mHeader;
  target_time mLeaseUntil{};  ///< Zero: the lease stays as it is.
  std::uint64_t mLastEnd = 0; ///< Ends up to this number may be forgotten.
  core::duration mWait{};     ///< For an end, where there is none yet.
};

using call = std::variant<start_call, stop_call, renew_call>;

/** What became of a start call. */
enum class start_answer : std::uint8_t
{
  Accepted,    ///< The run is there.
  Fenced,      ///< A higher fencing token has been seen.
  Superseded,  ///< This or a higher run of the task ended there.
  Late,        ///< Its validity had passed.
  NoRoom,      ///< The target has not enough room.
  Invalid,     ///< The target does not understand it.
  Unhealthy,   ///< The target takes nothing now.
  OtherTarget, ///< Another target answers at this address.
  NotSent,     ///< No connection was made: it never left.
  NoAnswer,    ///< It may still be carried out.
};
inline constexpr core::enum_names<start_answer, 10> kStartAnswerNames{
  { "accepted",
    "fenced",
    "superseded",
    "late",
    "no_room",
    "invalid",
    "unhealthy",
    "other_target",
    "not_sent",
    "no_answer" }
};

/** A run that the target lists as present. */
struct listed_run
{
  core::task_ref mTask;
  std::uint32_t mRun = 0;
};

/** A run that the target lists as ended. */
struct listed_end
{
  std::uint64_t mNumber = 0; ///< From 1 in each life of the target.
  core::task_ref mTask;
  std::uint32_t mRun = 0;
  core::task_end mEnd = core::task_end::Lost;
  std::string mReason; ///< The target's word for the end.
};

/** Answer to a renewal. */
struct target_report
{
  target_time mClock{};
  std::uint64_t mTargetIncarnation = 0; ///< Start of this life; zero: not told.
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnded;
};

/** Why a renewal gave no report. */
enum class renewal_failure : std::uint8_t
{
  Fenced,
  OtherTarget,
  Refused,  ///< Nobody listens there: no process of the target is left.
  NoAnswer, ///< Also where no connection was made in time.
};
inline constexpr core::enum_names<renewal_failure, 4> kRenewalFailureNames{
  { "fenced", "other_target", "refused", "no_answer" }
};

} // namespace gooseberry::lease
