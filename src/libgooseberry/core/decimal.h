#pragma once

#include "libgooseberry/core/time.h"

#include <string>

namespace gooseberry::core {

/** Formats `aValue` with one decimal, for log lines. */
std::string
FormatDecimal(double aValue);

/** Formats `aDuration` in milliseconds with one decimal. */
std::string
FormatMilliseconds(duration aDuration);

} // namespace gooseberry::core
