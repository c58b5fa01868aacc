#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/target/target_table.h"

#include <cstdint>

/** What a target can take now, and the sets by which it is found. */
namespace gooseberry::target {

/** Whether the target's agent was heard recently enough for a start. */
bool
IsFresh(const target_table& aTable,
        const target_view& aTarget,
        core::instant aNow);

/** Known, allowed, open and not leaving, whether ejected or silent or not. */
bool
IsInUse(const target_view& aTarget);

/**
 * Tasks that take up the target: what its agent reported and what this entry
 * sent since, and never less than this entry alone has there.
 */
std::uint32_t
UsedSlots(const target_view& aTarget);

/** What its last report leaves, less what is sent and not answered. */
core::resources
FreeResources(const target_view& aTarget);

/** Whether such a task fits now; a target without resources has room for any
 * task that gets one of its slots. */
bool
HasCapacityFor(const target_view& aTarget, const core::resources& aNeeds);

/** Slots that may be used now; fewer while the target is coming back. */
std::uint32_t
AllowedSlots(const target_table& aTable, const target_view& aTarget);

/** Brings a target's capacity and its services' sets up to date. */
void
Refresh(target_table& aTable, target_index aTarget);

/** Lets the target's slots come back in steps from `aStart` on. */
void
StartRamp(target_table& aTable, target_index aTarget, core::instant aStart);

/** Takes note of the time, and of the steps of returning targets till then. */
void
AdvanceTo(target_table& aTable, core::instant aNow);

} // namespace gooseberry::target
