#pragma once

#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/entry/cancellations.h"
#include "libgooseberry/entry/counters.h"
#include "libgooseberry/entry/effects.h"
#include "libgooseberry/entry/options.h"
#include "libgooseberry/job/ledger.h"
#include "libgooseberry/job/ready_queue.h"
#include "libgooseberry/membership/caller_load.h"
#include "libgooseberry/membership/members.h"
#include "libgooseberry/quota/admission.h"
#include "libgooseberry/quota/job_meter.h"
#include "libgooseberry/quota/offered_load.h"
#include "libgooseberry/quota/queue_delay.h"
#include "libgooseberry/quota/retry_budget.h"
#include "libgooseberry/target/target_table.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberry::entry {

/** A start call without a final result. */
struct start_call
{
  core::peer_ref mAgent;
  std::string mAddress;
  core::start_batch mBatch;
  std::uint32_t mSends = 1;
  bool mMaybeDelivered = false;
  std::optional<core::instant> mRepeatAt; ///< Time of the next resend.
};

/** A change of the configuration whose operator waits for the result. */
struct pending_apply
{
  std::uint64_t mToken = 0;
  std::string mText;
  std::string mRequest;
  std::optional<core::generation> mExpected;
  bool mWriting = false;
  bool mWritten = false;
  core::generation mGeneration = 0; ///< Set once written.
  core::instant mWaitingSince{};
};

/** The backlog of this entry as last sent to an agent. */
struct sent_backlog
{
  std::int64_t mPriority = 0; ///< Of the first waiting job.
  core::instant mSentAt{};
};

/** Stage of joining the other entries; see docs/PROTOCOL.md, R6. */
enum class join_stage : std::uint8_t
{
  Registering, ///< The own row is not known to be stored.
  ReadingRows, ///< The row is stored; all rows are read again.
  Copying,     ///< Ballot promises of other entries are copied.
  Open,
};
inline constexpr core::enum_names<join_stage, 4> kJoinStageNames{
  { "registering", "reading_rows", "copying", "open" }
};

/** Whether an entry accepts traffic from the balancer. */
enum class traffic_state : std::uint8_t
{
  Accepting, ///< Accepts callers.
  Busy,      ///< Its processor is saturated, and other entries have capacity.
  Standby,   ///< Entries with much more capacity can serve all callers.
};
inline constexpr core::enum_names<traffic_state, 3> kTrafficStateNames{
  { "takes", "busy", "standby" }
};

struct joining
{
  join_stage mStage = join_stage::Registering;
  core::instant mRowWrittenAt{};
  std::set<std::string> mCopied; ///< Names of entries that have answered.
  core::instant mNextRound{};
  /** End of the time in which every attempt takes the recovery path, as no open
   * entry had ballot promises to copy. */
  std::optional<core::instant> mRecoveryPathUntil;
};

/** State of one entry. Owned by one thread. */
struct entry_control
{
  entry_options mOptions;
  core::peer_ref mSelf;
  target::random_source mRandom;

  membership::members mMembers;
  joining mJoining;
  core::instant mStartedAt{};
  /** Send time of the last answered call that confirms the configuration: to
   * the store, of this entry or of another one that has the same configuration,
   * or, without leases, to a majority of the entries. */
  std::optional<core::instant> mLastContact;
  /** Send time of this entry's last read that confirms the configuration. */
  std::optional<core::instant> mLastRead;
  bool mLeaving = false;

  configuration_row mRow;
  /** Version of the last read that returned the configuration in force, where
   * configurations are numbered by reads. */
  core::generation mConfirmedGeneration = 0;
  std::uint64_t mDigest = 0; ///< Of the configuration in force.
  configuration::desired_state mDesired;
  std::vector<pending_apply> mApplies;

  target::target_table mTargets;
  job::ledger mLedger;
  job::ready_queue mReady;
  std::multimap<core::instant, std::string> mDeadlines;
  /** Times at which late jobs without any start are refused. */
  std::multimap<core::instant, std::string> mLateRefusals;
  std::map<std::string, core::team_use> mTeams;
  std::map<std::string, std::uint32_t> mTeamShares;
  quota::retry_budget mRetryBudget;
  quota::offered_load mOfferedLoad;
  quota::queue_delay mQueueDelay; ///< Of this entry's inputs.
  quota::job_meter mJobMeter;
  membership::caller_load mCallerLoad;
  traffic_state mTrafficState = traffic_state::Accepting; ///< As last logged.

  std::unordered_map<std::uint64_t, start_call> mCalls;
  std::uint64_t mNextCall = 1;
  std::uint32_t mNextPlacement = 1;
  std::map<std::string, sent_backlog> mSentBacklogs; ///< By agent name.
  /** Open tasks by agent name, to end them with the agent's incarnation. */
  std::unordered_map<std::string, std::set<core::task_ref>> mAgentTasks;
  std::set<std::string> mInquiring; ///< Jobs being located or recovered.
  std::set<std::string> mAttached;  ///< Jobs whose home is another entry.
  std::size_t mOpenJobs = 0;        ///< In the ledger, not ended.
  cancellations mCancellations;
  /** Requests collected between ticks, by peer, to send them in few calls. */
  std::map<core::peer_ref, std::vector<core::fence_request>> mFenceOutbox;
  std::map<core::peer_ref, std::vector<core::locate_request>> mLocateOutbox;
  std::map<std::string, std::vector<core::job_answer>> mDeliverOutbox;
  std::set<core::peer_ref> mEndedRuns; ///< Ended incarnations of agents.
  core::instant mNextShed{}; ///< Next check for jobs that cannot be in time.
  /** Time of the last check for tasks to place. */
  core::instant mLastDispatch{};
  /** Start of dispatching after a stall of the process: callers that
   * disconnected meanwhile are handled first. */
  core::instant mDispatchResumesAt{};
  bool mMembersReading = false;
  bool mMembersReadAgain = false; ///< Once the current read has ended.
  bool mStoreRead = false;        ///< The configuration row has been read.
  core::instant mNextMembers{};
  core::instant mNextHeartbeat{};
  core::instant mNextConfiguration{};
  /** Time of the last request for another entry's configuration. */
  std::optional<core::instant> mConfigurationAskedAt;

  entry_counters mCounters;
  std::vector<ended_sample> mSamples; ///< Read and cleared by the process.
};

/** Creates an entry; `aIncarnation` must never have been used before. */
entry_control
MakeEntry(entry_options aOptions,
          std::uint64_t aIncarnation,
          std::uint64_t aSeed,
          core::instant aNow,
          effects& aEffects);

/** Returns whether the configuration was confirmed within the freshness bound;
 * under leases, whether there is one. */
bool
IsFresh(const entry_control& aControl, core::instant aNow);

/** Returns whether the first load reports of agents may still be missing: the
 * entry has just started and knows no target. */
bool
AwaitsTargets(const entry_control& aControl, core::instant aNow);

/** Returns whether the balancer should send callers to this entry. */
bool
IsReady(const entry_control& aControl, core::instant aNow);

// Callers -------------------------------------------------------------------

/** Handles a submission; `aToken` identifies the caller in the answer. */
void
OnSubmit(entry_control& aControl,
         std::uint64_t aToken,
         job::submission aSubmission,
         core::instant aNow,
         effects& aEffects);

/**
 * Handles the end of a caller's connection before its answer. Under leases, a
 * job without any waiting caller is stopped and removed; without leases, it
 * continues.
 */
void
OnCallerLeft(entry_control& aControl,
             std::uint64_t aToken,
             const std::string& aKey,
             core::instant aNow,
             effects& aEffects);

/** Cancels a job for its caller; returns false if the job is neither running
 * nor ended at this entry. */
bool
OnCancel(entry_control& aControl,
         const std::string& aKey,
         core::instant aNow,
         effects& aEffects);

// Agents --------------------------------------------------------------------

core::entry_reply
OnAnnounce(entry_control& aControl,
           const core::agent_state& aState,
           core::instant aNow,
           effects& aEffects);

core::entry_reply
OnFinish(entry_control& aControl,
         const core::finish_batch& aBatch,
         core::instant aNow,
         effects& aEffects);

void
OnStartReply(entry_control& aControl,
             std::uint64_t aCall,
             const core::start_reply& aReply,
             core::instant aNow,
             effects& aEffects);

/** Handles a failed start call. `aDelivered` is false only if nothing can have
 * reached the agent. */
void
OnStartFailed(entry_control& aControl,
              std::uint64_t aCall,
              bool aDelivered,
              core::instant aNow,
              effects& aEffects);

/** Handles the confirmation of cancellations by an agent. */
void
OnCancelAnswered(entry_control& aControl,
                 const std::string& aAgentAddress,
                 const std::vector<std::string>& aJobs);

/** Handles an unanswered cancel call; its jobs are sent again. */
void
OnCancelFailed(entry_control& aControl,
               const std::string& aAgentAddress,
               const std::vector<std::string>& aJobs);

void
OnFenceReplies(entry_control& aControl,
               const core::peer_ref& aAsked,
               const std::vector<core::fence_reply>& aReplies,
               core::instant aNow,
               effects& aEffects);

void
OnFenceFailed(entry_control& aControl,
              const core::peer_ref& aAsked,
              const std::vector<core::fence_request>& aRequests,
              core::instant aNow,
              effects& aEffects);

/** Records the generation with which an agent answered a pushed
 * configuration. */
void
OnAgentGeneration(entry_control& aControl,
                  const std::string& aAgent,
                  core::generation aGeneration,
                  core::instant aNow,
                  effects& aEffects);

// Entries -------------------------------------------------------------------

std::vector<core::locate_reply>
OnLocate(entry_control& aControl,
         const std::vector<core::locate_request>& aRequests,
         core::instant aNow,
         effects& aEffects);

void
OnLocateReplies(entry_control& aControl,
                const core::peer_ref& aAsked,
                const std::vector<core::locate_reply>& aReplies,
                core::instant aNow,
                effects& aEffects);

void
OnLocateFailed(entry_control& aControl,
               const core::peer_ref& aAsked,
               const std::vector<core::locate_request>& aRequests,
               core::instant aNow,
               effects& aEffects);

void
OnDeliver(entry_control& aControl,
          const core::deliver_request& aRequest,
          core::instant aNow,
          effects& aEffects);

core::heartbeat
OnHeartbeat(entry_control& aControl,
            const core::heartbeat& aBeat,
            core::instant aNow,
            effects& aEffects);

/** Handles a reply to a heartbeat that was sent at `aSentAt`. */
void
OnHeartbeatReply(entry_control& aControl,
                 const core::heartbeat& aReply,
                 core::instant aSentAt,
                 core::instant aNow,
                 effects& aEffects);

core::copy_promises_reply
OnCopyPromises(const entry_control& aControl, const core::peer_ref& aJoiner);

void
OnPromisesCopied(entry_control& aControl,
                 const core::copy_promises_reply& aReply,
                 core::instant aNow,
                 effects& aEffects);

// Platform ------------------------------------------------------------------

void
OnMemberWritten(entry_control& aControl,
                bool aIsStored,
                core::instant aNow,
                effects& aEffects);

void
OnMembers(entry_control& aControl,
          std::vector<membership::member_row> aRows,
          core::instant aSentAt,
          core::instant aNow,
          effects& aEffects);

void
OnMembersFailed(entry_control& aControl, core::instant aNow, effects& aEffects);

void
OnConfigurationRead(entry_control& aControl,
                    const configuration_row& aRow,
                    core::instant aSentAt,
                    core::instant aNow,
                    effects& aEffects);

/** Handles a read of the configuration row, sent at `aSentAt`, that returned
 * none. */
void
OnConfigurationReadFailed(entry_control& aControl,
                          const core::error& aError,
                          core::instant aSentAt,
                          core::instant aNow,
                          effects& aEffects);

/** Time since the last answered call that confirms the configuration was sent;
 * since the start where there was none. */
core::duration
ConfigurationAge(const entry_control& aControl, core::instant aNow);

/**
 * Returns whether the configuration was confirmed within the freshness bound,
 * so that it may be used to deny a queue. Work goes on with an older one, as
 * the table service may be down; but what it lacks may have been added since,
 * and what it has may have been removed.
 */
bool
IsConfigurationRecent(const entry_control& aControl, core::instant aNow);

/** Result of writing the configuration row. */
struct write_result
{
  apply_status mStatus = apply_status::Applied;
  configuration_row mRow; ///< As stored; on a conflict, the other change.
  core::error mError;
};

void
OnConfigurationWritten(entry_control& aControl,
                       const std::string& aRequest,
                       const write_result& aResult,
                       core::instant aNow,
                       effects& aEffects);

// Operators -----------------------------------------------------------------

void
OnApply(entry_control& aControl,
        std::uint64_t aToken,
        std::string aText,
        std::string aRequest,
        std::optional<core::generation> aExpected,
        core::instant aNow,
        effects& aEffects);

// Time ----------------------------------------------------------------------

/** Runs all timers that are due. Call it every few milliseconds. */
void
Tick(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Refuses new jobs from now on; the effect `drained` follows once all jobs are
 * answered. */
void
Leave(entry_control& aControl, core::instant aNow, effects& aEffects);

} // namespace gooseberry::entry
