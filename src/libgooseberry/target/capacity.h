#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/target/target_table.h"

#include <cstdint>

/** Capacity of targets, and the sets by which placement finds them. */
namespace gooseberry::target {

/** Returns whether the last report of the target's agent is recent enough for
 * a start. */
bool
IsFresh(const target_table& aTable,
        const target_view& aTarget,
        core::instant aNow);

/** Returns whether the target is known, allowed, open and not leaving. Ejected
 * targets and targets without recent reports count as in use. */
bool
IsInUse(const target_view& aTarget);

/**
 * Returns the number of occupied slots: the tasks that the agent reported plus
 * those that this entry sent since, at least this entry's own tasks there.
 */
std::uint32_t
UsedSlots(const target_view& aTarget);

/** Returns the resources free at the last report, less those of unanswered
 * starts. */
core::resources
FreeResources(const target_view& aTarget);

/** Returns whether a task with these needs fits now. A target that reports no
 * resources is limited by its slots alone. */
bool
HasCapacityFor(const target_view& aTarget, const core::resources& aNeeds);

/** Returns the slots that may be used now; fewer during a slow start. */
std::uint32_t
AllowedSlots(const target_table& aTable, const target_view& aTarget);

/** Updates a target's capacity and the sets and sums of its services. */
void
Refresh(target_table& aTable, target_index aTarget);

/** Begins a slow start: the target's slots return in steps from `aStart`. */
void
StartRamp(target_table& aTable, target_index aTarget, core::instant aStart);

/** Sets the table's time and applies the slow-start steps due until then. */
void
AdvanceTo(target_table& aTable, core::instant aNow);

} // namespace gooseberry::target
