#pragma once

#include "agent/control_thread.h"
#include "libgooseberry/core/error.h"
#include "libgooseberryio/http_server.h"

#include <string>

/** The HTTP interface that targets use (docs/TARGETS.md). */
namespace gooseberry::agentd {

/** Reads `PUT /v1/targets/NAME`; errors say what was expected. */
core::result<agent::target_registration>
ParseAnnouncement(const std::string& aName, const std::string& aBody);

/** Adds the routes under /v1/targets; to be called before the start. No lease
 * is longer than `aMaxLease`. */
void
RouteTargets(io::http_server& aServer,
             control_thread& aControl,
             core::duration aMaxLease);

/** A response with `{"error": ...}`. */
io::http_response
ErrorResponse(unsigned aStatus, const std::string& aReason);

} // namespace gooseberry::agentd
