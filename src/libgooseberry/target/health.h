#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/target/settings.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace gooseberry::target {

/**
 * Time for which reported failures must persist before they count. Reports do
 * not name the kind of task; by then the reports of peers show whether the
 * peers fail too.
 */
inline constexpr core::duration kSuspectTime = std::chrono::milliseconds(250);

/**
 * An ejected target that was not probed for this long is reinstated. Without
 * idempotent tasks there are no probes, and the ejection would be permanent.
 */
inline constexpr core::duration kMaxUnprobedTime = std::chrono::minutes(5);

/** Older outcomes of a kind are ignored. */
inline constexpr core::duration kMaxOutcomeAge = std::chrono::seconds(10);

/** Outcome of the last task of a kind on one target. */
struct kind_outcome
{
  target_index mTarget = 0;
  bool mFailed = false;
  core::instant mEndedAt{};
};

/**
 * Latest outcomes of one kind of task, one per target. They distinguish a
 * failing target from a kind that fails everywhere. The oldest is evicted.
 */
struct kind_outcomes
{
  static constexpr std::size_t kTargets = 16;
  std::array<kind_outcome, kTargets> mOutcomes{};
  std::size_t mCount = 0;
};

/** Health record of one target. */
struct target_health
{
  /** Consecutive failures seen by this entry that peers did not share. */
  std::uint32_t mOwnFailures = 0;
  /** Kind of all these failures; 0 if they are of several kinds. */
  std::uint64_t mKind = 0;
  /** Failures reported when the record was last cleared; not counted. */
  std::uint32_t mIgnoredFailures = 0;
  /** Since when the agent reports enough failures for an ejection. */
  std::optional<core::instant> mSuspectSince;
  bool mEjected = false;
  core::instant mProbeAt{};     ///< While ejected: time of the next probe.
  core::duration mProbeAfter{}; ///< While ejected: the latest backoff.
};

/** Records the outcome of a task of the kind. */
void
RecordOutcome(kind_outcomes& aOutcomes,
              target_index aTarget,
              bool aFailed,
              core::instant aNow);

/**
 * Returns whether the kind fails on at least half of the other targets with a
 * recent outcome; false if there is none.
 */
bool
FailsElsewhere(const kind_outcomes& aOutcomes,
               target_index aTarget,
               core::instant aNow);

/** Returns whether the kind fails on two or more targets and on most of those
 * with a recent outcome. */
bool
FailsEverywhere(const kind_outcomes& aOutcomes, core::instant aNow);

/** Ejects a target. If it is ejected already, doubles the time to the next
 * probe up to the limit. */
void
Eject(target_health& aHealth,
      const placement_settings& aSettings,
      core::instant aNow);

/**
 * Clears a target's record and reinstates the target. The `aReported` failures
 * that its agent has reported so far no longer count.
 */
void
Reinstate(target_health& aHealth, std::uint32_t aReported);

/** Counts a failure that peers did not share. */
void
CountFailure(target_health& aHealth, std::uint64_t aKind);

/**
 * Records the consecutive failures that the agent reports. Returns true once
 * they have sufficed for an ejection for `kSuspectTime`.
 */
bool
UpdateSuspicion(target_health& aHealth,
                std::uint32_t aReported,
                const placement_settings& aSettings,
                core::instant aNow);

/** Returns how many of `aTargets` targets may be ejected at once. */
std::size_t
MaxEjected(const placement_settings& aSettings, std::size_t aTargets);

} // namespace gooseberry::target
