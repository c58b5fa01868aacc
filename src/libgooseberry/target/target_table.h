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

/** A target without a report for longer expires. */
inline constexpr core::duration kTargetRetention = std::chrono::minutes(1);

/** Position of a target in the member list of one service. */
struct membership
{
  std::uint32_t mService = 0; ///< Index in `target_table::mServices`.
  std::uint32_t mPosition = 0;
};

/** State of one target as this entry knows it. */
struct target_view
{
  std::string mName;
  std::string mAgent; ///< Name of the agent that reports it.
  std::uint64_t mAgentIncarnation = 0;
  std::string mFailureDomain;
  std::string mRack;
  core::target_load mLoad; ///< As last reported by the agent.
  core::instant mReportedAt{};
  std::uint32_t mOwnOutstanding = 0; ///< Sent by this entry, not ended yet.
  /** Tasks of this entry sent after the last report arrived. */
  std::uint32_t mSentSinceReport = 0;
  /** Resource needs of the starts that its agent has not answered. */
  core::resources mUnanswered;
  bool mAgentOpen = false;

  bool mExpired = false;           ///< Without a report for `kTargetRetention`.
  bool mKnown = false;             ///< Its agent reports it.
  bool mDomainIn = false;          ///< The configuration allows starts there.
  bool mStartable = false;         ///< May get a start.
  bool mPrefetchable = false;      ///< Startable, with capacity for a prefetch.
  std::uint32_t mCountedSlots = 0; ///< Included in the sums of its services.
  std::uint32_t mFree = 0;         ///< Slots assumed free by this entry.
  std::uint64_t mAffinity = 0;     ///< Smaller is preferred by this entry.
  std::optional<core::instant> mRampStart; ///< During a slow start.
  speed_factor mSpeed;
  run_time_mean mRunTime; ///< Of the tasks run on this target.
  target_health mHealth;
  std::vector<membership> mMemberships;
};

/** One agent as of its last report. */
struct agent_view
{
  std::uint64_t mIncarnation = 0;
  core::instant mTimestamp{}; ///< Agent's clock at its last report.
  std::vector<target_index> mTargets;
  /** Newest last; late reports of these are dropped. */
  std::vector<std::uint64_t> mEndedIncarnations;
};

/** All targets as one entry knows them, with the learned run times. */
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
  /** Times at which failure domains that were out came back in. */
  name_map<core::instant> mDomainReturns;
  std::vector<target_index> mEjected;
  std::vector<target_index> mRamping;
  core::instant mNextStepAt =
    core::instant::max();       ///< Of targets in a slow start.
  core::instant mNextSweepAt{}; ///< Next check for agents without reports.
  core::instant mNow{};         ///< Latest time passed to any call.
};

/**
 * Recomputes the members of services. A failure domain that goes out gets no
 * more starts at once; one that comes back begins a slow start.
 */
void
SetConfiguration(target_table& aTable,
                 const configuration::desired_state& aState,
                 core::instant aNow);

/**
 * Applies an agent's load report. A new incarnation replaces the old one.
 * Targets that are no longer reported get no more starts. Reports that are
 * older than one already applied or come from an ended incarnation are ignored.
 * Returns the targets whose capacity for this entry may have grown.
 */
std::vector<target_index>
Observe(target_table& aTable,
        const core::agent_state& aState,
        core::instant aNow);

/**
 * Records that the agent does not answer or has ended: its targets get no
 * starts until it reports again. They stay known for `kTargetRetention`.
 */
void
MarkAgentUnavailable(target_table& aTable,
                     std::string_view aAgentName,
                     core::instant aNow);

/** Counts a task that is being sent to the target. */
void
Reserve(target_table& aTable, target_index aTarget);

/** Adds the needs of a start until the target's agent answers it. */
void
AddUnanswered(target_table& aTable,
              target_index aTarget,
              const core::resources& aNeeds);

/** Removes the needs of a start that the agent has answered or will never
 * answer; later load reports include them. */
void
RemoveUnanswered(target_table& aTable,
                 target_index aTarget,
                 const core::resources& aNeeds);

/** Treats a target that refused for lack of capacity as full until its next
 * report. */
void
MarkFull(target_table& aTable, target_index aTarget);

/** Removes a task that was refused, returned or has ended. */
void
Release(target_table& aTable, target_index aTarget);

/**
 * Learns from the end of a task: run times from successes, health from
 * successes and failures. Does not release the task. `aDeclared` is the
 * caller's estimate, from which the accuracy of such estimates is learned.
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

/** Returns the expected run time at the mean of all targets; see `Expected`. */
core::duration
ExpectedRunTime(const target_table& aTable,
                std::string_view aService,
                std::string_view aKind,
                core::duration aDeclared);

std::optional<target_index>
Find(const target_table& aTable, std::string_view aName);

/** Returns the slots of all targets that may get a start of the service. */
std::uint32_t
TotalSlots(const target_table& aTable, std::string_view aService);

/** Returns how many of these slots this entry assumes to be free. */
std::uint32_t
FreeSlots(const target_table& aTable,
          std::string_view aService,
          core::instant aNow);

/**
 * Returns whether the configuration has the service and a target that may run
 * it reported within `kTargetRetention`, even if it is out, stale or ejected
 * now.
 */
bool
CanEverRun(const target_table& aTable, std::string_view aService);

/**
 * Returns when capacity may next grow without a report: the next slow-start
 * step or the next probe of an ejected target. Empty if there is neither.
 */
std::optional<core::instant>
NextChange(const target_table& aTable);

} // namespace gooseberry::target
