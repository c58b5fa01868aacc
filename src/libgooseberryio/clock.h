#pragma once

#include "libgooseberry/core/time.h"

namespace gooseberry::io {

/**
 * Reads the host's boot-time clock, which goes on counting while the process
 * is stopped or the host suspended.
 */
core::instant
Now();

/** Returns the processor time that all threads of this process have used. */
core::duration
ProcessorTime();

} // namespace gooseberry::io
