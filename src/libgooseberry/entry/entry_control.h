#pragma once

#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/entry/cancellations.h"
#include "libgooseberry/entry/counters.h"
#include "libgooseberry/entry/effects.h"
#include "libgooseberry/entry/options.h"
#include "libgooseberry/job/ledger.h"
#include "libgooseberry/job/ready_queue.h"
#include "libgooseberry/membership/members.h"
#include "libgooseberry/quota/admission.h"
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

/** A start call that has not been settled. */
struct start_call
{
  core::peer_ref mAgent;
  std::string mAddress;
  core::start_batch mBatch;
  std::uint32_t mSends = 1;
  bool mMaybeDelivered = false;
  std::optional<core::instant> mRepeatAt; ///< Set between sends.
};

/** A configuration that operators wait for. */
struct pending_apply
{
  std::uint64_t mToken = 0;
  std::string mText;
  std::string mRequest;
  std::optional<core::generation> mExpected;
  bool mWriting = false;
  bool mWritten = false;
  core::generation mGeneration = 0; ///< Once written.
  core::instant mWaitingSince{};
};

/** What an agent was told of this entry's backlog. */
struct sent_backlog
{
  std::int64_t mPriority = 0; ///< Of the first waiting task.
  core::instant mSentAt{};
};

/** Stage of joining; see docs/PROTOCOL.md, R6. */
enum class join_stage : std::uint8_t
{
  Registering, ///< The row is not known to stand.
  ReadingRows, ///< It stands; the others' rows are read after it.
  Copying,     ///< Notes of an open entry are asked for.
  Open,
};
inline constexpr core::enum_names<join_stage, 4> kJoinStageNames{
  { "registering", "reading_rows", "copying", "open" }
};

/** Whether an entry asks the balancer for callers. */
enum class traffic_state : std::uint8_t
{
  Accepting, ///< It does.
  Busy,      ///< Its processor is used up, and others have time.
  Standby,   ///< Much stronger entries can take all.
};
inline constexpr core::enum_names<traffic_state, 3> kTrafficStateNames{
  { "takes", "busy", "standby" }
};

struct joining
{
  join_stage mStage = join_stage::Registering;
  core::instant mJoiningSince{};
  core::instant mRowWrittenAt{};
  std::set<std::string> mAsked;  ///< Names that were asked in this round.
  std::set<std::string> mCopied; ///< Names of joining entries that answered.
  core::instant mNextRound{};
  /** No open entry had notes to copy: every attempt takes the careful path
   * until then. */
  std::optional<core::instant> mRecoveryPathUntil;
};

/** All that one entry decides on. One thread owns it. */
struct entry_control
{
  entry_options mOptions;
  core::peer_ref mSelf;
  target::random_source mRandom;

  membership::members mMembers;
  joining mJoining;
  core::instant mStartedAt{};
  /** Send time of the last call that proves touch with the store or a peer. */
  std::optional<core::instant> mLastContact;
  bool mLeaving = false;

  configuration_row mRow;
  configuration::desired_state mDesired;
  std::vector<pending_apply> mApplies;

  target::target_table mTargets;
  job::ledger mLedger;
  job::ready_queue mReady;
  std::multimap<core::instant, std::string> mDeadlines;
  /** When late jobs of which nothing has started are refused. */
  std::multimap<core::instant, std::string> mLateRefusals;
  std::map<std::string, core::team_use> mTeams;
  std::map<std::string, std::uint32_t> mTeamShares;
  quota::retry_budget mRetryBudget;
  quota::offered_load mOfferedLoad;
  quota::queue_delay mQueueDelay; ///< Of this entry's own inputs.
  traffic_state mTrafficState =
    traffic_state::Accepting; ///< As last said in the log.

  std::unordered_map<std::uint64_t, start_call> mCalls;
  std::uint64_t mNextCall = 1;
  std::uint32_t mNextPlacement = 1;
  std::map<std::string, sent_backlog> mSentBacklogs; ///< By name of the agent.
  /** Open tasks by agent, to fail them when its run has ended. */
  std::unordered_map<std::string, std::set<core::task_ref>> mAgentTasks;
  std::set<std::string> mInquiring; ///< Jobs that locate or recover.
  std::set<std::string> mAttached;  ///< Jobs that wait for another home.
  std::size_t mOpenJobs = 0;        ///< In the ledger and not ended.
  cancellations mCancellations;
  /** Gathered between ticks, by address, so that a wave costs few calls. */
  std::map<core::peer_ref, std::vector<core::fence_request>> mFenceOutbox;
  std::map<core::peer_ref, std::vector<core::locate_request>> mLocateOutbox;
  std::map<std::string, std::vector<core::job_answer>> mDeliverOutbox;
  std::set<core::peer_ref> mEndedRuns; ///< Agents' runs known to be over.
  /** Of the latest tick or input that looked for tasks to place. */
  core::instant mLastDispatch{};
  /** After a standstill: callers that left meanwhile are seen first. */
  core::instant mDispatchResumesAt{};
  bool mMembersReading = false;
  bool mMembersReadAgain = false; ///< Again, as soon as the present read ends.
  bool mStoreRead = false;        ///< The configuration row was read once.
  core::instant mNextMembers{};
  core::instant mNextHeartbeat{};
  core::instant mNextConfiguration{};

  entry_counters mCounters;
  std::vector<ended_sample> mSamples; ///< Taken and cleared by the process.
};

/** A new entry; `aIncarnation` must never have been used before. */
entry_control
MakeEntry(entry_options aOptions,
          std::uint64_t aIncarnation,
          std::uint64_t aSeed,
          core::instant aNow,
          effects& aEffects);

/** Whether the evidence of the newest configuration is within the bound. */
bool
IsFresh(const entry_control& aControl, core::instant aNow);

/** Whether agents may not have told this entry of their targets yet: it has
 * just started, and knows of none. */
bool
AwaitsTargets(const entry_control& aControl, core::instant aNow);

/** Whether callers are to be sent here. */
bool
IsReady(const entry_control& aControl, core::instant aNow);

// Callers -------------------------------------------------------------------

/** A caller submits; `aToken` names the caller in the answer. */
void
OnSubmit(entry_control& aControl,
         std::uint64_t aToken,
         job::submission aSubmission,
         core::instant aNow,
         effects& aEffects);

/**
 * A caller's connection ended before its answer. A job under leases that nobody
 * waits for any more is stopped and forgotten; others go on.
 */
void
OnCallerLeft(entry_control& aControl,
             std::uint64_t aToken,
             const std::string& aKey,
             core::instant aNow,
             effects& aEffects);

/** A caller cancels a job; false if this entry is not its home. */
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

/** `aDelivered` is false only if nothing can have reached the agent. */
void
OnStartFailed(entry_control& aControl,
              std::uint64_t aCall,
              bool aDelivered,
              core::instant aNow,
              effects& aEffects);

/** An agent has confirmed a cancellation. */
void
OnCancelAnswered(entry_control& aControl,
                 const std::string& aAgentAddress,
                 const std::vector<std::string>& aJobs);

/** A cancellation was not answered: it is sent again. */
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

/** An agent answered a pushed configuration with its generation. */
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

/** `aSentAt`: when the call that this answers was sent. */
void
OnHeartbeatReply(entry_control& aControl,
                 const core::heartbeat& aReply,
                 core::instant aSentAt,
                 core::instant aNow,
                 effects& aEffects);

core::copy_notes_reply
OnCopyPromises(const entry_control& aControl, const core::peer_ref& aJoiner);

void
OnPromisesCopied(entry_control& aControl,
                 const core::copy_notes_reply& aReply,
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

/** How the write of a configuration row ended. */
struct write_result
{
  apply_status mStatus = apply_status::Applied;
  configuration_row mRow; ///< Applied: as stored; conflict: the winner's.
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

/** Everything that is due; call it every few milliseconds. */
void
Tick(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Takes nothing new from now on; `drained` follows when all is answered. */
void
Leave(entry_control& aControl, core::instant aNow, effects& aEffects);

} // namespace gooseberry::entry
