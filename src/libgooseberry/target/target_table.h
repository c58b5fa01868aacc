#pragma once

#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberry::target {

using random_source = std::mt19937_64;

/** Index of a target in a `target_table`; stays the target's own for good. */
using target_index = std::uint32_t;

/** How a target is chosen. */
enum class placement_policy : std::uint8_t
{
  ExpectedFinish,
  Random, ///< Baseline: any target that may serve, load not looked at.
};
inline constexpr core::enum_names<placement_policy, 2> kPlacementPolicyNames{
  { "expected_finish", "random" }
};

/** Why a target was chosen. */
enum class placement_reason : std::uint8_t
{
  FreeSlot,
  Prefetch, ///< Waits at the target; nothing was free anywhere.
  Probe,    ///< Tries an ejected target again.
  Random,
};
inline constexpr core::enum_names<placement_reason, 4> kPlacementReasonNames{
  { "free_slot", "prefetch", "probe", "random" }
};

/** Why no target was chosen. */
enum class placement_refusal : std::uint8_t
{
  NoService,       ///< The configuration has no such service.
  NoTarget,        ///< No known target may take it: it can never run now.
  NothingFree,     ///< All that may take it are full.
  NothingEligible, ///< Those that may take it are out, silent or ejected.
};
inline constexpr core::enum_names<placement_refusal, 4> kPlacementRefusalNames{
  { "no_service", "no_target", "nothing_free", "nothing_eligible" }
};

struct placement_settings
{
  placement_policy mPolicy = placement_policy::ExpectedFinish;
  /** Tasks of this entry that may wait at one target beyond its slots. */
  std::uint32_t mPrefetch = 1;
  /** A target whose agent was not heard for longer gets no start. */
  core::duration mAgentFreshness = std::chrono::milliseconds(1500);
  /** Failures in a row after which a target is ejected. */
  std::uint32_t mEjectAfterFailures = 3;
  /** Greatest share of a service's targets that may be ejected at once. */
  double mMaxEjectedShare = 0.34;
  core::duration mFirstProbeAfter = std::chrono::seconds(1);
  core::duration mMaxProbeAfter = std::chrono::seconds(30);
  /** Time over which a returning target's slots come back, in steps. */
  core::duration mRampTime = std::chrono::seconds(2);
  std::uint32_t mRampSteps = 4;
  /** Spreads preferences of entries over targets; any number per entry. */
  std::uint64_t mAffinitySeed = 0;
};

struct placement_request
{
  std::string_view mService;
  std::string_view mKind;
  /** Caller's own estimate; used until run times were learned. */
  core::duration mDeclared{};
  bool mIdempotent = false;
  /** Targets where earlier tries of the task have failed. */
  const std::vector<target_index>* mAvoid = nullptr;
};

struct placement_choice
{
  target_index mTarget = 0;
  placement_reason mReason = placement_reason::FreeSlot;
  core::duration mExpectedFinish{}; ///< From now.
  std::uint32_t mConsidered = 0;    ///< Targets weighed.
};

using placement = std::variant<placement_choice, placement_refusal>;

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
  bool mAgentOpen = false;
};

} // namespace gooseberry::target
