#pragma once

#include "libgooseberry/core/time.h"

#include <array>
#include <cstdint>

namespace gooseberry::quota {

/** Number of distinct priorities; larger values count as the last one. */
inline constexpr std::size_t kPriorities = 8;

/**
 * Offered load by priority, whether admitted or not: a moving average over
 * about one second, in slots that the work would keep busy.
 */
struct offered_load
{
  std::array<double, kPriorities> mSlots{};
  core::instant mUpdatedAt{}; ///< Time of the latest arrival.
};

/** Records the work of an arriving job; smaller priorities are more urgent. */
void
RecordArrival(offered_load& aLoad,
              std::uint32_t aPriority,
              core::duration aWork,
              core::instant aNow);

/** Returns the slots kept busy by arrivals of smaller priority values. */
double
HigherPriorityLoad(const offered_load& aLoad,
                   std::uint32_t aPriority,
                   core::instant aNow);

/** Returns the slots kept busy by all arrivals. */
double
TotalLoad(const offered_load& aLoad, core::instant aNow);

} // namespace gooseberry::quota
