#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/lease/call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Effects: what the agent's decisions ask the process to do. */
namespace gooseberry::agent {

/** Call the target now; report the end with `OnTaskEnded`. */
struct run_task
{
  std::string mTargetAddress;
  core::task_start mStart;
  core::duration mMaxTime{}; ///< After it the end is `Unknown`.
  /** Send the call again after each period of this length without an answer. */
  std::optional<core::duration> mResendAfter;
};

/** Call a target that runs tasks under leases; `lease/call.h` says what to
 * report. */
struct call_target
{
  lease::call mCall;
};

/** Report with `OnFinishAnswered` or `OnFinishFailed`. */
struct send_finish
{
  std::uint64_t mId = 0; ///< Identifies the batch in that report.
  std::string mEntryAddress;
  core::finish_batch mFinish;
};

/** Report with `OnLoadReportAnswered` or `OnLoadReportFailed`. */
struct send_load_report
{
  std::string mEntryAddress;
  core::agent_state mState;
};

/** Report an answer with `OnCopiedFences`; a failed call needs no report. */
struct copy_fences_from
{
  core::peer_ref mAgent;
  std::string mAddress;
};

/** Report with `OnRows`; a failed read needs no report. */
struct read_rows
{};

/** Report with `OnConfigurationRead` or `OnConfigurationReadFailed`. */
struct read_configuration
{};

/** Report success with `OnRowWritten`; a failed write needs no report. */
struct write_row
{};

/** The agent has left: nothing runs, and every result is acknowledged. */
struct left
{};

enum class agent_event : std::uint8_t
{
  Admission, ///< A start was decided.
  TaskStarted,
  TaskEnded,
  TaskReturned,
  TaskStopped,
  ResultsAcknowledged,
  Fence,
  Cancel,
  TargetJoined,
  TargetLeaving,
  TargetGone,
  TargetChanged,
  Configuration,
  ConfigurationRefused,
  Joining,
  Open,
  Leaving,
};
inline constexpr core::enum_names<agent_event, 17> kAgentEventNames{
  { "admission",
    "task_started",
    "task_ended",
    "task_returned",
    "task_stopped",
    "results_acknowledged",
    "fence",
    "cancel",
    "target_joined",
    "target_leaving",
    "target_gone",
    "target_changed",
    "configuration",
    "configuration_refused",
    "joining",
    "open",
    "leaving" }
};

/** One log line; fields that do not apply keep their defaults. */
struct log_event
{
  agent_event mEvent = agent_event::Admission;
  core::task_ref mTask; ///< The index is set only for a single task.
  std::uint32_t mTry = 0;
  std::uint32_t mPlacement = 0;
  core::start_verdict mVerdict = core::start_verdict::Accepted;
  bool mRepeat = false; ///< Copy of a start that was decided before.
  bool mQueued = false; ///< Accepted, and waits for a slot.
  core::task_end mEnd = core::task_end::Succeeded;
  core::duration mRunTime{};
  /** Of `TaskStopped`: time since the entry last confirmed the run. */
  core::duration mLastContactAge{};
  std::string mTarget;
  std::string mPeer;
  core::generation mGeneration = 0;
  std::uint32_t mCount = 0;
  std::string mDetail;
};

using effect = std::variant<run_task,
                            call_target,
                            send_finish,
                            send_load_report,
                            copy_fences_from,
                            read_rows,
                            read_configuration,
                            write_row,
                            left,
                            log_event>;

using effects = std::vector<effect>;

} // namespace gooseberry::agent
