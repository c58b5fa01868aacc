#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <vector>

/** Applies load reports of agents to the table. */
namespace gooseberry::target {

/**
 * Records the agent's incarnation and timestamp. Returns false for a report
 * that is older than one already applied or comes from an ended incarnation.
 */
bool
AcceptReport(target_table& aTable, const core::agent_state& aState);

/** Changes by a report beyond the load of its targets. */
struct report_change
{
  std::vector<std::uint32_t>
    mServices;           ///< Services whose members must be rebuilt.
  bool mDropped = false; ///< A target is no longer reported.
};

/**
 * Updates the targets in the report. Drops those that were in the same agent's
 * previous report but are not in this one.
 */
report_change
ApplyReport(target_table& aTable, const core::agent_state& aState);

} // namespace gooseberry::target
