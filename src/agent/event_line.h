#pragma once

#include "libgooseberry/agent/effects.h"

namespace gooseberry::agentd {

/** Whether there is such an event for each task. */
bool
IsPerTask(agent::agent_event aEvent);

/** Writes the event's line to the log. */
void
WriteLine(const agent::log_event& aEvent);

} // namespace gooseberry::agentd
