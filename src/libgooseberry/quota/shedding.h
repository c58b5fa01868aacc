#pragma once

#include "libgooseberry/core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/**
 * Load pattern: a burst begins after jobs were admitted. Jobs of low urgency
 * wait while more urgent ones arrive, until an answer is of no use to their
 * callers, and are refused only then.
 */
namespace gooseberry::quota {

/** A waiting job, in the order in which jobs get slots. */
struct waiting_job
{
  core::duration mWork{};     ///< Run times of its waiting tasks.
  core::duration mLastTask{}; ///< Of these, the longest.
  /** From now; a later end is of no use to the caller. */
  core::duration mLongestUsefulWait{};
  bool mHasStarted = false; ///< Refused never: work was done for it.
};

/**
 * Returns the positions of the jobs that certainly cannot end in useful time:
 * the work that goes before them takes longer, even if nothing more urgent
 * arrives. Work of a job that is refused does not delay those behind it. So of
 * jobs of the same urgency, those that need more work are refused first.
 *
 * @param aSlots Slots that this entry can count on.
 */
std::vector<std::size_t>
HopelessJobs(const std::vector<waiting_job>& aJobs, std::uint32_t aSlots);

} // namespace gooseberry::quota
