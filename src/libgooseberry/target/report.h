#pragma once

#include "libgooseberry/target/target_table.h"

#include <string_view>
#include <vector>

/** Takes reports of agents apart. */
namespace gooseberry::target {

/**
 * Takes note of the agent's run and stamp. False for a report that is older
 * than one already taken, or that comes from an ended run.
 */
bool
AcceptReport(target_table& aTable, const core::agent_state& aState);

/**
 * Updates the targets that the report names and drops those that the same agent
 * reported before. Returns the services whose members have changed.
 */
std::vector<std::uint32_t>
ApplyReport(target_table& aTable, const core::agent_state& aState);

/** Drops all the agent's targets; returns the services that lost members. */
std::vector<std::uint32_t>
DropTargets(target_table& aTable, std::string_view aAgent);

} // namespace gooseberry::target
