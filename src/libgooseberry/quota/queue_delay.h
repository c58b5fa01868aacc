#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>

/** Load pattern: more submissions than the entry's own processor can carry. */
namespace gooseberry::quota {

/**
 * How long inputs wait for the control thread, and the share of submissions
 * that is taken in because of it. Where the processor is used up, each step of
 * each job waits like this: callers would wait until their deadline for answers
 * that come too late.
 */
struct queue_delay
{
  core::instant mWindowEnd{};
  core::duration mSum{}; ///< Of the window's inputs.
  std::int64_t mInputs = 0;
  double mShare = 1.0; ///< Of submissions, at least `kLeastShare`.
  core::instant mBusyUntil{};
};

/** Enough for the share to be tried again however long it was low. */
inline constexpr double kMinShare = 0.05;

/** Takes note of how long an input has waited. */
void
RecordDelay(queue_delay& aDelay, core::duration aWaited, core::instant aNow);

/** Whether much was refused for the delay, now or lately. */
bool
IsBusy(const queue_delay& aDelay, core::instant aNow);

/** The share of submissions that is taken, for logs. */
int
SharePercent(const queue_delay& aDelay);

/** Whether a submission is taken; `aDraw` is uniform in [0, 1). */
bool
AdmitsSubmission(const queue_delay& aDelay, double aDraw);

} // namespace gooseberry::quota
