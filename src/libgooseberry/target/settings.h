#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <random>

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
  /**
   * Spreads preferences of entries over targets; any number per entry. With 0
   * the entry has none and starts its search at a random target.
   */
  std::uint64_t mAffinitySeed = 0;
};

} // namespace gooseberry::target
