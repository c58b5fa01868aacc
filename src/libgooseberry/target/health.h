#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/target/settings.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace gooseberry::target {

/**
 * Reports name no kinds, so they have to hold for this long before they count:
 * by then the peers' reports show whether these fail too.
 */
inline constexpr core::duration kSuspectTime = std::chrono::milliseconds(250);

/**
 * A target that nothing has probed for this long, since no idempotent task came
 * by, is put back: one fault must not cost it for good.
 */
inline constexpr core::duration kMaxUnprobedTime = std::chrono::minutes(5);

/** Ends older than this say nothing about a kind. */
inline constexpr core::duration kMaxOutcomeAge = std::chrono::seconds(10);

/** How one target's last task of a kind ended. */
struct kind_outcome
{
  target_index mTarget = 0;
  bool mFailed = false;
  core::instant mEndedAt{};
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
  /** The kind of all of these; 0 where they are of several. */
  std::uint64_t mKind = 0;
  /** What its agent reported when the record was last cleared. */
  std::uint32_t mIgnoredFailures = 0;
  /** Since when its agent reports failures enough for an ejection. */
  std::optional<core::instant> mSuspectSince;
  bool mEjected = false;
  core::instant mProbeAt{};     ///< While ejected: not tried before.
  core::duration mProbeAfter{}; ///< While ejected: the last wait.
};

/** Notes how a task of the kind ended. */
void
RecordOutcome(kind_outcomes& aOutcomes,
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

/**
 * Clears a target's record and puts it back into use; the failures that its
 * agent has reported so far, `aReported`, count no more.
 */
void
Reinstate(target_health& aHealth, std::uint32_t aReported);

/** Counts a failure that peers did not share. */
void
CountFailure(target_health& aHealth, std::uint64_t aKind);

/**
 * Takes the failures in a row that the agent reports. True once there have been
 * enough of them for `kSuspectTime`.
 */
bool
UpdateSuspicion(target_health& aHealth,
                std::uint32_t aReported,
                const placement_settings& aSettings,
                core::instant aNow);

/** Whole targets of `aTargets` that may be ejected at once. */
std::size_t
MaxEjected(const placement_settings& aSettings, std::size_t aTargets);

} // namespace gooseberry::target
