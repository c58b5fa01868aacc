#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <vector>

/** Takes reports of agents apart. */
namespace gooseberry::target {

/**
 * Takes note of the agent's run and stamp. False for a report that is older
 * than one already taken, or that comes from an ended run.
 */
bool
AcceptReport(target_table& aTable, const core::agent_state& aState);

/** What a report has changed beyond the load of its targets. */
struct report_change
{
  std::vector<std::uint32_t> mServices; ///< Their lists are out of date.
  bool mDropped = false;                ///< A target is no longer reported.
};

/**
 * Updates the targets that the report names and drops those that only the same
 * agent's last report named.
 */
report_change
ApplyReport(target_table& aTable, const core::agent_state& aState);

} // namespace gooseberry::target
