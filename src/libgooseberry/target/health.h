#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/target/settings.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gooseberry::target {

/** How one target's last task of a kind ended. */
struct kind_outcome
{
  target_index mTarget = 0;
  bool mFailed = false;
  core::instant mAt{};
};

/**
 * The last ends of one kind of task, one for each target: tells a target that
 * fails from a kind that fails everywhere. The oldest makes room.
 */
struct kind_outcomes
{
  static constexpr std::size_t kTargets = 16;
  std::array<kind_outcome, kTargets> mOutcomes{};
  std::size_t mCount = 0;
};

/** Whether a target is kept in use. */
struct target_health
{
  /** Failures in a row, seen by this entry, that peers did not share. */
  std::uint32_t mOwnFailures = 0;
  bool mEjected = false;
  core::instant mProbeAt{};     ///< While ejected: not tried before.
  core::duration mProbeAfter{}; ///< While ejected: the last wait.
};

/** Notes how a task of the kind ended. */
void
Note(kind_outcomes& aOutcomes,
     target_index aTarget,
     bool aFailed,
     core::instant aNow);

/**
 * Whether the kind fails on most of the other targets too. Without a recent
 * end on another target it does not.
 */
bool
FailsElsewhere(const kind_outcomes& aOutcomes,
               target_index aTarget,
               core::instant aNow);

/** Whether the kind fails on most of two or more targets. */
bool
FailsEverywhere(const kind_outcomes& aOutcomes, core::instant aNow);

/** Ejects a target; each further time doubles the wait up to the limit. */
void
Eject(target_health& aHealth,
      const placement_settings& aSettings,
      core::instant aNow);

/** Puts a target back into use with a clean record. */
void
Reinstate(target_health& aHealth);

/** Whole targets of `aTargets` that may be ejected at once. */
std::size_t
MaxEjected(const placement_settings& aSettings, std::size_t aTargets);

} // namespace gooseberry::target
