#pragma once

#include "libgooseberry/core/time.h"

namespace gooseberry::lease {

using namespace std::chrono_literals;

/** Longest time after which a call without an answer may be carried out, also
 * by a later process of the target. */
inline constexpr core::duration kCallLifetime = 30s;

/** Time limits of the leases under which a target runs tasks. */
struct lease_settings
{
  /**
   * Longest lease requested; the target ends its runs when the lease expires.
   * With a shorter lease, a run may start on an older confirmation by its
   * entry.
   */
  core::duration mLease = 754ms;
  /** Longest lease that the target grants to anyone; it shortens longer ones.
   */
  core::duration mLongestLease = 1'000ms;
  /** The target answers a renewal after this time if no task has ended. */
  core::duration mRenewWait = 100ms;
  /** A renewal unanswered for its wait plus this time counts as lost and is
   * replaced, as no end of a task is seen until one is answered. */
  core::duration mRenewOverdue = 40ms;
  /**
   * For this time after a lost call, the target is taken to leave more calls
   * unanswered: renewals wait for `mShortRenewWait` only, and lost calls are
   * replaced after `mShortOverdue`.
   */
  core::duration mLossMemory = 3'000ms;
  core::duration mShortRenewWait = 20ms;
  core::duration mShortOverdue = 15ms;
  /** Pause after a failed renewal. */
  core::duration mRenewRetry = 50ms;
  /** The target rejects a start that reaches it later than this. */
  core::duration mStartValidity = 400ms;
  /** A start without an answer for this time is sent again. */
  core::duration mStartOverdue = 40ms;
  /** Longest pause between two sends of a start; it doubles with each. */
  core::duration mMaxResendPause = 320ms;
  /** Deadline of a call; a renewal adds its wait. */
  core::duration mCallDeadline = 250ms;
  /** Pause between two stop calls for the same run. */
  core::duration mStopRetry = 150ms;
  /**
   * Longest time a run may continue after its entry was last known to require
   * it. No lease is extended beyond that, so the run ends even if all stop
   * calls are lost.
   */
  core::duration mRunHold = 1'196ms;
  /** Added to the computed end of a lease, as timers fire late. */
  core::duration mExpiryMargin = 30ms;
};

/** Fraction by which a target's clock may run slower than the agent's. */
inline constexpr double kMaxClockDrift = 0.02;

} // namespace gooseberry::lease
