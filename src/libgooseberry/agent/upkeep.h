#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <string>

/** Work that follows each event: results and load reports that are due. */
namespace gooseberry::agent {

/** Sends all results and load reports that may be sent now. Event handlers end
 * with it. */
void
SendPending(agent_control& aControl, core::instant aNow, effects& aOut);

/** Logs an event that concerns the agent as a whole or a peer. */
void
LogEvent(agent_event aEvent,
         const std::string& aPeer,
         const std::string& aDetail,
         effects& aOut);

/** Opens the agent if joining is complete. */
void
OpenIfJoined(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
