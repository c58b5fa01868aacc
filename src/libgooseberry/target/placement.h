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
  Prefetch, ///< Waits at the target; nothing was free anywhere.
  Probe,    ///< Tries an ejected target again.
  Random,
  Preferred, ///< Much is free where another task of the job goes.
};
inline constexpr core::enum_names<placement_reason, 5> kPlacementReasonNames{
  { "free_slot", "prefetch", "probe", "random", "beside" }
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

struct placement_request
{
  std::string_view mService;
  std::string_view mKind;
  /** Caller's own estimate; used until run times were learned. */
  core::duration mDeclared{};
  bool mIdempotent = false;
  core::resources mNeeds;
  /** Targets where earlier tries of the task have failed. */
  const std::vector<target_index>* mAvoid = nullptr;
  /** Where another task of the job goes in the same message, if any. */
  std::optional<target_index> mPreferredTarget;
};

struct placement_choice
{
  target_index mTarget = 0;
  placement_reason mReason = placement_reason::FreeSlot;
  core::duration mExpectedFinish{}; ///< From now.
  std::uint32_t mConsidered = 0;    ///< Targets weighed.
};

using placement = std::variant<placement_choice, placement_refusal>;

/**
 * Chooses where a task goes; reserves nothing. Takes a free slot if there is
 * one, else a place in the queue of the target with the earliest expected
 * finish, within the prefetch. `aRandom` is drawn from only by the random
 * policy and by an entry without an affinity.
 */
placement
Place(target_table& aTable,
      const placement_request& aRequest,
      random_source& aRandom,
      core::instant aNow);

} // namespace gooseberry::target
