#pragma once

#include "libgooseberry/core/time.h"

#include <string>

namespace gooseberry::core {

/** `aValue` with one decimal, as log lines show figures. */
std::string
FormatDecimal(double aValue);

/** Milliseconds with one decimal. */
std::string
FormatMilliseconds(duration aDuration);

} // namespace gooseberry::core
