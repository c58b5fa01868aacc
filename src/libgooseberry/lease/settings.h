#pragma once

#include "libgooseberry/core/time.h"

namespace gooseberry::lease {

using namespace std::chrono_literals;

/** Bounds of the leases under which a target runs tasks. */
struct lease_settings
{
  /**
   * Longest lease that is asked for; the target ends what runs when it lapses.
   * The shorter, the older the word of an entry may be for which a run starts.
   */
  core::duration mLease = 754ms;
  /** A renewal is answered after this time where no task has ended. */
  core::duration mRenewWait = 100ms;
  /** Not answered for longer than its wait and this, a renewal is taken for
   * lost and another is sent: meanwhile no end of a task would be seen. */
  core::duration mRenewOverdue = 40ms;
  /** Pause after a renewal that was not answered. */
  core::duration mRenewRetry = 50ms;
  /** A start that reaches the target later than this is refused there. */
  core::duration mStartValidity = 400ms;
  /** Deadline of a call, beyond the time that a renewal may wait. */
  core::duration mCallDeadline = 250ms;
  /** Pause between two calls that stop the same run. */
  core::duration mStopRetry = 150ms;
  /**
   * A run is over this long after its entry was last known to want it: no
   * lease is extended beyond that, whatever becomes of calls that stop it.
   */
  core::duration mRunHold = 1'196ms;
  /** Added to the computed end of a lease: timers fire late. */
  core::duration mLapseMargin = 30ms;
};

/** A target's clock may run this much slower than the agent's. */
inline constexpr double kMaxClockDrift = 0.02;

} // namespace gooseberry::lease
