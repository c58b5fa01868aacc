#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>

/** Load pattern: more submissions than the entry's own processor can handle. */
namespace gooseberry::quota {

/**
 * Delay of threads before the processor, and the share of submissions that is
 * admitted as a result. If the processor is overloaded, each step of each job
 * has this delay, and callers wait until their deadline for answers that come
 * too late. Periodic ticks sample it.
 */
struct queue_delay
{
  core::instant mWindowEnd{};
  core::duration mSum{}; ///< Sum of the delays in the window.
  std::int64_t mSamples = 0;
  double mShare = 1.0; ///< Share of submissions admitted, at least `kMinShare`.
  core::instant mBusyUntil{};
  core::duration mMean{}; ///< Moving average over about a second.
};

/**
 * Enough admitted submissions to measure the delay again, however long the
 * share was low.
 */
inline constexpr double kMinShare = 0.05;

/** Records how long after its due time a tick has begun. */
void
RecordDelay(queue_delay& aDelay, core::duration aWaited, core::instant aNow);

/**
 * Returns whether many submissions are, or recently were, refused because of
 * the delay.
 */
bool
IsBusy(const queue_delay& aDelay, core::instant aNow);

/**
 * Returns whether the mean delay of the last second is near the limit from
 * which submissions are refused.
 */
bool
IsNearLimit(const queue_delay& aDelay);

/** Returns the share of admitted submissions in percent, for logs. */
int
SharePercent(const queue_delay& aDelay);

/** Returns whether to admit a submission; `aDraw` is uniform in [0, 1). */
bool
AdmitsSubmission(const queue_delay& aDelay, double aDraw);

} // namespace gooseberry::quota
