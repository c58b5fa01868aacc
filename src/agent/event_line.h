#pragma once

#include "libgooseberry/agent/effects.h"

namespace gooseberry::agentd {

/** Writes the event's line to the log. */
void
WriteLine(const agent::log_event& aEvent);

} // namespace gooseberry::agentd
