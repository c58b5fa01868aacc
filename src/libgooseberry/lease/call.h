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

/** Addressee and authority of a call. */
struct call_header
{
  std::string mTarget;  ///< Name of the called target.
  std::string mAddress; ///< `ip:port` of its HTTP server.
  /** The target rejects calls with a lower token than it has seen. */
  std::uint64_t mFencingToken = 0;
  std::uint64_t mTargetIncarnation = 0; ///< As known when the call was made.
  core::duration mDeadline{};           ///< Of the whole call.
};

/** Starts a run; the answer goes to `OnStartAnswer`. */
struct start_call
{
  call_header mHeader;
  std::uint64_t mId = 0; ///< Of this call, among all starts at the target.
  core::task_ref mTask;
  std::uint32_t mRun = 0; ///< Rises with each start of the task at a target.
  std::string mPayload;
  target_time mValidUntil{}; ///< Rejected later; also extends the lease.
  /** Not sent later than that: it might reach the target's next process. */
  core::instant mSendBefore{};
};

/** Stops a run, or has the target reject it if its start arrives later; the
 * answer goes to `OnStopAnswer`. */
struct stop_call
{
  call_header mHeader;
  core::task_ref mTask;
  std::uint32_t mRun = 0;
};

/** Extends the lease of all runs and asks for a report; the answer goes to
 * `OnReport` or `OnRenewalFailed`. */
struct renew_call
{
  call_header mHeader;
  target_time mLeaseUntil{};  ///< Zero: the lease is not extended.
  std::uint64_t mLastEnd = 0; ///< Acknowledges ends up to this number.
  core::duration mWait{};     ///< Longest wait for an end to report.
  /** Not sent later than that: the next renewal takes its place. */
  core::instant mSendBefore = core::instant::max();
};

/** Withdraws a start call that was not sent yet. It is then answered with
 * `Withdrawn`; if it was sent, `OnStartSent` follows. */
struct withdraw_call
{
  std::string mTarget;        ///< Name of the called target.
  std::uint64_t mStartId = 0; ///< `start_call::mId`.
};

using call = std::variant<start_call, stop_call, renew_call, withdraw_call>;

/** Result of a start call. */
enum class start_answer : std::uint8_t
{
  Accepted,    ///< The run has started.
  Fenced,      ///< The target has seen a higher fencing token.
  Superseded,  ///< This or a later run of the task ended there.
  Late,        ///< The validity of the call had expired.
  NoRoom,      ///< The target lacks capacity.
  Invalid,     ///< The target cannot parse the call.
  Unhealthy,   ///< The target accepts no runs now.
  OtherTarget, ///< Another target answers at this address.
  NotSent,     ///< No connection; the call was not sent.
  Withdrawn,   ///< The agent itself did not send the call.
  NoAnswer,    ///< The call may still be carried out.
};
inline constexpr core::enum_names<start_answer, 11> kStartAnswerNames{
  { "accepted",
    "fenced",
    "superseded",
    "late",
    "no_room",
    "invalid",
    "unhealthy",
    "other_target",
    "not_sent",
    "withdrawn",
    "no_answer" }
};

/** A run that the target lists as running. */
struct listed_run
{
  core::task_ref mTask;
  std::uint32_t mRun = 0;
};

/** A run that the target lists as ended. */
struct listed_end
{
  std::uint64_t mNumber = 0; ///< From 1 in each incarnation of the target.
  core::task_ref mTask;
  std::uint32_t mRun = 0;
  core::task_end mEnd = core::task_end::Lost;
  std::string mReason; ///< The target's name for the kind of end.
};

/** Answer to a renewal. */
struct target_report
{
  target_time mClock{};
  std::uint64_t mTargetIncarnation = 0; ///< Its start time; zero: unknown.
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnded;
};

/** Why a renewal returned no report. */
enum class renewal_failure : std::uint8_t
{
  Fenced,
  OtherTarget,
  Refused,  ///< Connection refused: no process, or the target is cut off.
  NoAnswer, ///< Also if the connection timed out.
};
inline constexpr core::enum_names<renewal_failure, 4> kRenewalFailureNames{
  { "fenced", "other_target", "refused", "no_answer" }
};

} // namespace gooseberry::lease
