#pragma once

#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/target/health.h"
#include "libgooseberry/target/name_map.h"
#include "libgooseberry/target/placement.h"
#include "libgooseberry/target/run_time.h"
#include "libgooseberry/target/service_view.h"
#include "libgooseberry/target/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::target {

/** Without a report for longer, a target counts as gone for good. */
inline constexpr core::duration kTargetRetention = std::chrono::minutes(1);

/** Where a target stands in the list of one service. */
struct membership
{
  std::uint32_t mService = 0; ///< Index in `target_table::mServices`.
  std::uint32_t mPosition = 0;
};

/** What is known of one target. */
struct target_view
{
  std::string mName;
  std::string mAgent; ///< Name of the agent that announced it.
  std::uint64_t mAgentIncarnation = 0;
  std::string mFailureDomain;
  std::string mRack;
  core::target_load mLoad; ///< As last reported by the agent.
  core::instant mReportedAt{};
  std::uint32_t mOwnOutstanding = 0; ///< Sent by this entry, not yet ended.
  /** Of these, sent after the agent made its last report. */
  std::uint32_t mSentSinceReport = 0;
  /** Needs of the starts that its agent has not answered. */
  core::resources mUnanswered;
  bool mAgentOpen = false;

  bool mExpired = false;           ///< Left out of lists: long gone.
  bool mKnown = false;             ///< Its agent reports it.
  bool mDomainIn = false;          ///< The configuration allows starts there.
  bool mStartable = false;         ///< May get a start.
  bool mPrefetchable = false;      ///< Startable, with room for a prefetch.
  std::uint32_t mCountedSlots = 0; ///< Its slots in the sums of its services.
  std::uint32_t mFree = 0;         ///< Slots that this entry takes to be free.
  std::uint64_t mAffinity = 0;     ///< Smaller is preferred by this entry.
  std::optional<core::instant> mRampStart; ///< While slots are coming back.
  speed_factor mSpeed;
  run_time_mean mRunTime; ///< Of the tasks that this target was given.
  target_health mHealth;
  std::vector<membership> mMemberships;
};

/** One agent as last heard. */
struct agent_view
{
  std::uint64_t mIncarnation = 0;
  core::instant mStamp{}; ///< The agent's own clock at its last report.
  std::vector<target_index> mTargets;
  /** Ended runs, newest last; late messages of these are dropped. */
  std::vector<std::uint64_t> mEndedIncarnations;
};

/** The targets as one entry sees them, and all that it learned of them. */
struct target_table
{
  placement_settings mSettings; ///< Set before the first call.
  std::vector<target_view> mTargets;
  name_map<target_index> mTargetByName;
  std::vector<service_view> mServices;
  name_map<std::uint32_t> mServiceByName;
  name_map<agent_view> mAgents;
  configuration::desired_state mConfiguration;
  bool mConfigured = false;
  /** When domains that were out came back in. */
  name_map<core::instant> mDomainReturns;
  std::vector<target_index> mEjected;
  std::vector<target_index> mRamping;
  core::instant mNextStepAt = core::instant::max(); ///< Of those ramping.
  core::instant mNextSweepAt{}; ///< For agents that have gone silent.
  core::instant mNow{};         ///< The latest time that any call was given.
};

/**
 * Recomputes who may serve what. A domain that goes out gets no more starts at
 * once; the slots of one that comes back return in steps.
 */
void
SetConfiguration(target_table& aTable,
                 const configuration::desired_state& aState,
                 core::instant aNow);

/**
 * Takes an agent's report. A new incarnation replaces the old one; targets that
 * are no longer reported get no more starts; reports that are older than one
 * already taken, or come from an ended incarnation, change nothing. Returns the
 * targets whose capacity for this entry may have grown.
 */
std::vector<target_index>
Observe(target_table& aTable,
        const core::agent_state& aState,
        core::instant aNow);

/**
 * The agent does not answer or its run has ended: its targets get nothing until
 * it reports again. They stay known for `kTargetRetention`.
 */
void
MarkAgentUnavailable(target_table& aTable,
                     std::string_view aAgentName,
                     core::instant aNow);

/** Counts a task that is being sent to the target. */
void
Reserve(target_table& aTable, target_index aTarget);

/** Counts what a start needs until the target's agent answers it. */
void
AddUnanswered(target_table& aTable,
              target_index aTarget,
              const core::resources& aNeeds);

/** The agent has answered the start, or will never: reports tell of it. */
void
RemoveUnanswered(target_table& aTable,
                 target_index aTarget,
                 const core::resources& aNeeds);

/** The target has refused for want of a slot: full until its next report. */
void
MarkFull(target_table& aTable, target_index aTarget);

/** Counts out a task that was refused, returned or has ended. */
void
Release(target_table& aTable, target_index aTarget);

/**
 * Learns from how a task ended: run times from successes, health from
 * successes and failures. Does not release. `aDeclared`: the caller's estimate
 * of the task, which shows how far such estimates are to be trusted.
 */
void
RecordEnd(target_table& aTable,
          target_index aTarget,
          std::string_view aService,
          std::string_view aKind,
          core::task_end aEnd,
          core::duration aRunTime,
          core::instant aNow,
          core::duration aDeclared = {});

/** Run time to expect at the mean of all targets; see `Expected`. */
core::duration
ExpectedRunTime(const target_table& aTable,
                std::string_view aService,
                std::string_view aKind,
                core::duration aDeclared);

std::optional<target_index>
Find(const target_table& aTable, std::string_view aName);

/** Slots of the targets that may get a start of the service. */
std::uint32_t
TotalSlots(const target_table& aTable, std::string_view aService);

/** Of these, the ones that this entry takes to be free. */
std::uint32_t
FreeSlots(const target_table& aTable,
          std::string_view aService,
          core::instant aNow);

/**
 * Whether the configuration has the service and a target that may take it,
 * though out, silent or ejected now, was heard of within `kTargetRetention`.
 */
bool
CanEverRun(const target_table& aTable, std::string_view aService);

/**
 * When capacity may next grow without a report: the next step of a returning
 * target, or the next probe of an ejected one. Nothing when neither is due.
 */
std::optional<core::instant>
NextChange(const target_table& aTable);

} // namespace gooseberry::target
