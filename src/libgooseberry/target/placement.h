#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/resources.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/target/settings.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace gooseberry::target {

struct target_table;

/** Why a target was chosen. */
enum class placement_reason : std::uint8_t
{
  FreeSlot,
  Prefetch, ///< Queued at the target; no slot is free anywhere.
  Probe,    ///< Tests an ejected target.
  Random,
  Preferred, ///< Many free slots where another task of the job goes.
};
inline constexpr core::enum_names<placement_reason, 5> kPlacementReasonNames{
  { "free_slot", "prefetch", "probe", "random", "beside" }
};

/** Why no target was chosen. */
enum class placement_refusal : std::uint8_t
{
  NoService,       ///< The configuration has no such service.
  NoTarget,        ///< No known target may run it.
  NothingFree,     ///< All targets that may run it are full.
  NothingEligible, ///< Those that may run it are out, stale or ejected.
};
inline constexpr core::enum_names<placement_refusal, 4> kPlacementRefusalNames{
  { "no_service", "no_target", "nothing_free", "nothing_eligible" }
};

struct placement_request
{
  std::string_view mService;
  std::string_view mKind;
  /** Caller's estimate; used until run times are learned. */
  core::duration mDeclared{};
  bool mIdempotent = false;
  core::resources mNeeds;
  /** Slots that the task must leave free at its target. */
  std::uint32_t mHeadroom = 0;
  /** Targets where earlier tries of the task failed; avoided if possible. */
  const std::vector<target_index>* mAvoid = nullptr;
  /** Target of another task of the job in the same message, if any. */
  std::optional<target_index> mPreferredTarget;
};

struct placement_choice
{
  target_index mTarget = 0;
  placement_reason mReason = placement_reason::FreeSlot;
  core::duration mExpectedFinish{}; ///< From now.
  std::uint32_t mConsidered = 0;    ///< Targets compared.
};

using placement = std::variant<placement_choice, placement_refusal>;

/**
 * Chooses the target of a task; reserves nothing. Prefers a free slot, then the
 * queue of the target with the earliest expected finish, within the prefetch
 * limit. Only the random policy and entries without an affinity use `aRandom`.
 */
placement
Place(target_table& aTable,
      const placement_request& aRequest,
      random_source& aRandom,
      core::instant aNow);

} // namespace gooseberry::target
