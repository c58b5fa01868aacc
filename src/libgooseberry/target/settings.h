#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <random>

namespace gooseberry::target {

using random_source = std::mt19937_64;

/** Index of a target in a `target_table`; never reused. */
using target_index = std::uint32_t;

/** How a target is chosen. */
enum class placement_policy : std::uint8_t
{
  ExpectedFinish,
  Random, ///< Baseline: any eligible target, regardless of load.
};
inline constexpr core::enum_names<placement_policy, 2> kPlacementPolicyNames{
  { "expected_finish", "random" }
};

struct placement_settings
{
  placement_policy mPolicy = placement_policy::ExpectedFinish;
  /** Tasks that this entry may queue at one target beyond its slots. */
  std::uint32_t mPrefetch = 1;
  /** A target whose agent has not reported for longer gets no start. */
  core::duration mAgentFreshness = std::chrono::milliseconds(1500);
  /** Consecutive failures after which a target is ejected. */
  std::uint32_t mEjectAfterFailures = 3;
  /** Greatest share of a service's targets that may be ejected at once. */
  double mMaxEjectedShare = 0.34;
  core::duration mFirstProbeAfter = std::chrono::seconds(1);
  core::duration mMaxProbeAfter = std::chrono::seconds(30);
  /** Duration of a slow start, over which the slots return in steps. */
  core::duration mRampTime = std::chrono::seconds(2);
  std::uint32_t mRampSteps = 4;
  /**
   * Seed of the entry's order of preference; it spreads entries over targets.
   * With 0 the entry has no order and searches from a random target.
   */
  std::uint64_t mAffinitySeed = 0;
};

} // namespace gooseberry::target
