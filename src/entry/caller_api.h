#pragma once

#include "entry/control_loop.h"
#include "entry/effect_runner.h"
#include "libgooseberry/core/error.h"
#include "libgooseberry/job/submission.h"
#include "libgooseberryio/http_server.h"

#include <string>

namespace gooseberry::entry_program {

/** Bounds on what a caller may ask for. */
struct caller_limits
{
  std::size_t mMaxTasks = 870;
  std::size_t mMaxPayloadBytes = 1 << 20; ///< Of one task.
  core::duration mDefaultDeadline = std::chrono::seconds(30);
  core::duration mMaxDeadline = std::chrono::seconds(60);
};

/** Reads the body of `POST /v1/jobs`; errors say which field, and why. */
core::result<job::submission>
ParseSubmission(const std::string& aBody, const caller_limits& aLimits);

/** JSON of an answer to a caller. */
std::string
FormatAnswer(const core::job_answer& aAnswer);

/** Adds the routes that callers use: submit, look up and cancel jobs. */
void
AddCallerRoutes(io::http_server& aServer,
                control_loop& aLoop,
                caller_waiters& aCallers,
                const caller_limits& aLimits);

} // namespace gooseberry::entry_program
