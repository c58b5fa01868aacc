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
 * The agent's control state and its decisions. Each function takes one event
 * and `aNow` of the process's clock, changes the state and appends what is to
 * be done to `aOut`. Nothing here blocks, and the same events give the same
 * effects.
 */
namespace gooseberry::agent {

/** A target of this host. */
struct agent_target
{
  std::string mAddress; ///< `ip:port` of its HTTP server.
  std::vector<std::string> mServices;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  core::resources mCapacity;   ///< All zero: only the slots bound it.
  core::resources mUsed;       ///< By what runs or is being stopped.
  double mMeanCpu = 0;         ///< Of the tasks started lately; zero: none yet.
  std::uint64_t mSequence = 0; ///< Of the latest registration.
  std::uint64_t mSequenceIncarnation =
    0; ///< The target's life that it counts in.
  std::uint32_t mConsecutiveFailures = 0;
  /** Set where the target runs tasks under leases. */
  std::optional<lease::leased_target> mLeased;
  /** See `target_registration::mResendAfter`. */
  std::optional<core::duration> mResendAfter;
  bool mLeaving = false;
  /** It refused a connection, and has not renewed its lease since. */
  bool mSuspect = false;
  core::instant mLeaseEnd{};
  target_queue mQueue;
  slot_grants mGrants;
};

struct agent_control
{
  control_settings mSettings;
  record_store mRecordStore;
  freshness mFreshness;
  std::map<std::string, agent_target> mTargets;
  /** The target at which each queued task waits. */
  std::unordered_map<core::task_ref, std::string> mQueuedAt;
  delivery mDelivery;
  known_entries mEntries;
  join_state mJoin;
  core::versioned_configuration mConfiguration;
  configuration::desired_state mDesired;
  std::optional<core::instant> mLastRowWrite;
  std::optional<core::instant> mLastRowsRead;
  bool mLeaving = false;
  bool mLeft = false;
};

/** A target says that it is there, or renews its lease. */
struct target_registration
{
  std::string mName;
  std::string mAddress;
  std::vector<std::string> mServices;
  std::uint32_t mSlots = 0;
  core::duration mLease{};
  /**
   * Time after which a call that was not answered is sent again over a new
   * connection. Only for targets that run a task and try once, and answer
   * each copy of the call with that run's result.
   */
  std::optional<core::duration> mResendAfter = std::nullopt;
  core::resources mCapacity{};
};

/** A target's call has ended. */
struct task_report
{
  core::task_ref mTask;
  std::uint32_t mTry = 1;
  /** `Returned` only where the connection was refused before any byte was
   * sent; `Unknown` where the call ended without a definite answer. */
  core::task_end mEnd = core::task_end::Succeeded;
  core::duration mRunTime{};
  std::string mPayload;
  /** Of a `Returned` one: `NoTarget` where the target could not be reached. */
  core::start_verdict mWhy = core::start_verdict::NoTarget;
};

agent_control
MakeControl(control_settings aSettings);

/** Whether the lease state of a target allows starts; where targets run tasks
 * under leases, one that has none yet does not. */
bool
IsLeaseReady(const agent_control& aControl,
             const agent_target& aTarget,
             core::instant aNow);

/** What the agent tells of itself to the entry at `aReceiver`, `ip:port`. */
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

/** A joining agent's question was answered; `aAskedPeer` is whom it meant. */
void
OnCopiedFences(agent_control& aControl,
               const core::peer_ref& aAskedPeer,
               const core::copy_fences_reply& aReply,
               core::instant aNow,
               effects& aOut);

void
OnRowWritten(agent_control& aControl, core::instant aNow, effects& aOut);

/** All rows of the table `members`. */
void
OnRows(agent_control& aControl,
       const std::vector<membership::member_row>& aRows,
       core::instant aNow,
       effects& aOut);

/** False: too many targets. */
bool
OnTargetRegistered(agent_control& aControl,
                   const target_registration& aAnnouncement,
                   core::instant aNow,
                   effects& aOut);

/** False: no such target. */
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

/** An entry answered `send_load_report`; `aSentAt` is when it was sent. */
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

/** An entry answered `send_finish`. */
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

/** Adopts a newer configuration, never an older one. Gives the generation in
 * force. */
core::generation
OnConfiguration(agent_control& aControl,
                const core::versioned_configuration& aConfiguration,
                core::instant aNow,
                effects& aOut);

/** Whatever time alone brings about; call it every few milliseconds. */
void
Tick(agent_control& aControl, core::instant aNow, effects& aOut);

/** Takes nothing new from now on; the effect `left` follows once done. */
void
Leave(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
