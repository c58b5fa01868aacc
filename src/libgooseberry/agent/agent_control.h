#pragma once

#include "libgooseberry/agent/control_settings.h"
#include "libgooseberry/agent/delivery.h"
#include "libgooseberry/agent/effects.h"
#include "libgooseberry/agent/freshness.h"
#include "libgooseberry/agent/grant.h"
#include "libgooseberry/agent/joining.h"
#include "libgooseberry/agent/known_entries.h"
#include "libgooseberry/agent/record.h"
#include "libgooseberry/agent/target_queue.h"
#include "libgooseberry/configuration/adoption.h"
#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/lease/leased_target.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/**
 * Control state and decisions of the agent. Each function handles one event at
 * the time `aNow` of the process's clock, updates the state and appends the
 * resulting effects to `aOut`. No function blocks, and the same events give the
 * same effects.
 */
namespace gooseberry::agent {

/** A target of this host. */
struct agent_target
{
  std::string mAddress; ///< `ip:port` of its HTTP server.
  std::vector<std::string> mServices;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  core::resources mCapacity;   ///< All zero: bounded by slots only.
  core::resources mUsed;       ///< By tasks that run or are being stopped.
  double mMeanCpu = 0;         ///< Mean of started tasks; zero: none yet.
  std::uint64_t mSequence = 0; ///< Of the latest registration.
  std::uint64_t mSequenceIncarnation = 0; ///< Incarnation of that registration.
  std::uint32_t mConsecutiveFailures = 0;
  /** Set if the target runs tasks under leases. */
  std::optional<lease::leased_target> mLeased;
  /** See `target_registration::mResendAfter`. */
  std::optional<core::duration> mResendAfter;
  bool mLeaving = false;
  /** Set when the target refuses a connection or unregisters, until it
   * registers again. */
  bool mSuspect = false;
  core::instant mLeaseEnd{};
  target_queue mQueue;
  slot_grants mGrants;
};

/** Where the agent gets newer configurations from, under leases. */
struct configuration_source
{
  std::optional<core::instant> mLastRead; ///< From the table service.
  /** An entry has a newer one, which is to be read. */
  bool mIsBehind = false;
  bool mHasReadFailed = false; ///< The last read.
  /** Entry that is asked instead; empty: none. */
  std::string mAskedEntry;
  core::instant mAskedAt{};
};

struct agent_control
{
  control_settings mSettings;
  record_store mRecordStore;
  freshness mFreshness;
  std::map<std::string, agent_target> mTargets;
  /** Highest id of a start call to a target that has been forgotten. Its answer
   * may yet arrive. */
  std::uint64_t mLastForgottenCall = 0;
  /** Highest token of calls to such a target, which may yet be carried out. */
  std::uint64_t mLastForgottenToken = 0;
  /** Tasks of ended runs there of which a start call may yet be carried out,
   * and until when. */
  std::map<core::task_ref, core::instant> mLateStarts;
  /** The target at which each queued task waits. */
  std::unordered_map<core::task_ref, std::string> mQueuedAt;
  delivery mDelivery;
  known_entries mEntries;
  join_state mJoin;
  core::versioned_configuration mConfiguration;
  /** Version of the last own read that returned the configuration in force,
   * where configurations are numbered by reads. */
  core::generation mConfirmedGeneration = 0;
  std::uint64_t mDigest = 0; ///< Of the configuration in force.
  configuration::desired_state mDesired;
  configuration_source mSource;
  std::optional<core::instant> mLastRowWrite;
  std::optional<core::instant> mLastRowsRead;
  bool mLeaving = false;
  bool mLeft = false;
};

/** A target registers, or renews its lease. */
struct target_registration
{
  std::string mName;
  std::string mAddress;
  std::vector<std::string> mServices;
  std::uint32_t mSlots = 0;
  core::duration mLease{};
  /**
   * Time without an answer after which a call is sent again over a new
   * connection. Only for targets that run a task and try once, and answer each
   * copy of the call with the result of that run.
   */
  std::optional<core::duration> mResendAfter = std::nullopt;
  core::resources mCapacity{};
};

/** The end of a call to a target. */
struct task_report
{
  core::task_ref mTask;
  std::uint32_t mTry = 1;
  /** `Returned` only if the connection was refused before any byte was sent;
   * `Unknown` if the call ended without a definite answer. */
  core::task_end mEnd = core::task_end::Succeeded;
  core::duration mRunTime{};
  std::string mPayload;
  /** Reason of `Returned`: `NoTarget` if the target could not be reached. */
  core::start_verdict mReturnReason = core::start_verdict::NoTarget;
};

agent_control
MakeControl(control_settings aSettings);

/** Returns whether the lease state of a target allows starts. With leased runs,
 * a target without a lease state does not allow them. */
bool
IsLeaseReady(const agent_control& aControl,
             const agent_target& aTarget,
             core::instant aNow);

/** Returns the agent's state as sent to the entry at `aReceiver`, `ip:port`. */
core::agent_state
StateOf(const agent_control& aControl,
        std::string_view aReceiver,
        core::instant aNow);

core::start_reply
OnStart(agent_control& aControl,
        const core::start_batch& aBatch,
        core::instant aNow,
        effects& aOut);

void
OnCancel(agent_control& aControl,
         const core::cancel_batch& aBatch,
         core::instant aNow,
         effects& aOut);

core::fence_reply
OnFence(agent_control& aControl,
        const core::fence_request& aRequest,
        core::instant aNow,
        effects& aOut);

core::copy_fences_reply
OnCopyFences(const agent_control& aControl);

/** Handles the answer to `copy_fences_from`; `aAskedPeer` is the agent
 * incarnation that was asked. */
void
OnCopiedFences(agent_control& aControl,
               const core::peer_ref& aAskedPeer,
               const core::copy_fences_reply& aReply,
               core::instant aNow,
               effects& aOut);

void
OnRowWritten(agent_control& aControl, core::instant aNow, effects& aOut);

/** Handles all rows of the table `members`. */
void
OnRows(agent_control& aControl,
       const std::vector<membership::member_row>& aRows,
       core::instant aNow,
       effects& aOut);

/** Registers a target or renews its lease. Returns false if there are too many
 * targets. */
bool
OnTargetRegistered(agent_control& aControl,
                   const target_registration& aTargetRegistration,
                   core::instant aNow,
                   effects& aOut);

/** Marks a target as leaving. Returns false if there is no such target. */
bool
OnTargetLeaving(agent_control& aControl,
                const std::string& aName,
                core::instant aNow,
                effects& aOut);

void
OnTaskEnded(agent_control& aControl,
            task_report aReport,
            core::instant aNow,
            effects& aOut);

/** Handles an entry's answer to `send_load_report`, sent at `aSentAt`. */
void
OnLoadReportAnswered(agent_control& aControl,
                     const std::string& aAddress,
                     const core::entry_reply& aReply,
                     core::instant aSentAt,
                     core::instant aNow,
                     effects& aOut);

void
OnLoadReportFailed(agent_control& aControl,
                   const std::string& aAddress,
                   core::instant aNow,
                   effects& aOut);

/** Handles an entry's answer to `send_finish`, sent at `aSentAt`. */
void
OnFinishAnswered(agent_control& aControl,
                 std::uint64_t aBatch,
                 const std::string& aAddress,
                 const core::entry_reply& aReply,
                 core::instant aSentAt,
                 core::instant aNow,
                 effects& aOut);

void
OnFinishFailed(agent_control& aControl,
               std::uint64_t aBatch,
               core::instant aNow,
               effects& aOut);

/** Adopts a configuration if it is newer than the current one. Returns the
 * generation in force. */
core::generation
OnConfiguration(agent_control& aControl,
                const core::versioned_configuration& aConfiguration,
                core::instant aNow,
                effects& aOut);

/** Handles the configuration as read from the table service by a call sent at
 * `aSentAt`. */
void
OnConfigurationRead(agent_control& aControl,
                    const core::versioned_configuration& aRead,
                    configuration::numbering aNumbering,
                    core::instant aSentAt,
                    core::instant aNow,
                    effects& aOut);

/** Handles that the table service did not return the configuration. */
void
OnConfigurationReadFailed(agent_control& aControl);

/** Handles the passage of time; call it every few milliseconds. */
void
Tick(agent_control& aControl, core::instant aNow, effects& aOut);

/** Accepts nothing new from now on; the effect `left` follows when all tasks
 * have ended and all results are acknowledged. */
void
Leave(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
