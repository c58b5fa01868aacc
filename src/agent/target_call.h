#pragma once

#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/agent/effects.h"
#include "libgooseberryio/http_client.h"

#include <cstddef>

namespace gooseberry::agentd {

/** Calls the target once, and waits for its answer. */
agent::task_report
CallTarget(io::http_client& aClient,
           const agent::run_task& aTask,
           std::size_t aMaxResult);

} // namespace gooseberry::agentd
