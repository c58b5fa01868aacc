#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <string>

/** What follows each event: results and announces that are due. */
namespace gooseberry::agent {

/** Sends what may be sent now. Every input ends with it. */
void
SendPending(agent_control& aControl, core::instant aNow, effects& aOut);

/** Logs an event that concerns the agent as a whole or a peer. */
void
LogEvent(agent_event aEvent,
         const std::string& aPeer,
         const std::string& aDetail,
         effects& aOut);

/** Opens the agent where joining is complete. */
void
OpenIfJoined(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
