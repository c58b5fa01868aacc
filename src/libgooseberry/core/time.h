#pragma once

#include <chrono>

namespace gooseberry::core {

/** A length of time; the unit of all computations in the library. */
using duration = std::chrono::microseconds;

/**
 * Tag of the monotonic clock of a process. The clock keeps counting while the
 * process or its host is suspended. Readings of different processes are never
 * compared. The library itself reads no clock: callers pass `now`.
 */
struct process_clock
{
  using duration = core::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};

/** A reading of the monotonic clock of the process. */
using instant = process_clock::time_point;

using namespace std::chrono_literals;

/** Converts to milliseconds, for logs and metrics. */
constexpr double
ToMilliseconds(duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1000.0;
}

} // namespace gooseberry::core
