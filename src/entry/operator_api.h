#pragma once

#include "entry/control_loop.h"
#include "entry/effect_runner.h"
#include "libgooseberryio/http_server.h"

namespace gooseberry::entry_program {

/** Adds the routes that operators use: configuration and status. */
void
AddOperatorRoutes(io::http_server& aServer,
                  control_loop& aLoop,
                  operator_waiters& aOperators);

} // namespace gooseberry::entry_program
