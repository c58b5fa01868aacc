#pragma once

#include <chrono>

namespace gooseberry::core {

/** Length of time; the unit of every computation in the library. */
using duration = std::chrono::microseconds;

/**
 * Tag of a process's own monotonic clock. It goes on counting while the
 * process or its host is suspended. Readings of two processes are never
 * compared; the library itself reads no clock: callers pass `now`.
 */
struct process_clock
{
  using duration = core::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};

/** A reading of the process's own monotonic clock. */
using instant = process_clock::time_point;

using namespace std::chrono_literals;

/** Milliseconds as a double, for logs and metrics. */
constexpr double
ToMilliseconds(duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1000.0;
}

} // namespace gooseberry::core
