#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>

/**
 * Load pattern: for some seconds, targets are full of long tasks of low
 * urgency. Each slot that becomes free is taken by another of them, and the
 * tasks of urgent short jobs wait until they are late.
 */
namespace gooseberry::quota {

/** Input of one decision about headroom, as known to this entry. */
struct headroom_request
{
  double mHigherPriorityLoad = 0; ///< Slots kept busy by more urgent arrivals.
  std::uint32_t mSlots = 0;       ///< Slots that this entry can count on.
  core::duration mRunTime{};      ///< Expected, of the task.
  core::duration mMeanRunTime{};  ///< Of all tasks of its service.
};

/**
 * Returns how many slots a task must leave free at its target for more urgent
 * arrivals. Zero where few or no more urgent jobs arrive, and for tasks that
 * are not long: they return their slots soon.
 */
std::uint32_t
HeadroomSlots(const headroom_request& aRequest);

} // namespace gooseberry::quota
