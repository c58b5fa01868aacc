#pragma once

#include "libgooseberry/core/time.h"

#include <array>
#include <cstdint>

namespace gooseberry::quota {

/** Priorities told apart; larger numbers count as the last of them. */
inline constexpr std::size_t kPriorities = 8;

/**
 * How much work arrives, by priority, accepted or not: the mean of about the
 * last second. In slots that it would keep busy all the time.
 */
struct offered_load
{
  std::array<double, kPriorities> mSlots{};
  core::instant mUpdatedAt{}; ///< Of the latest arrival.
};

/** Takes note of a job's work at its arrival; smaller priorities matter more.
 */
void
RecordArrival(offered_load& aLoad,
              std::uint32_t aPriority,
              core::duration aWork,
              core::instant aNow);

/** Slots that arrivals of smaller priority numbers keep busy. */
double
HigherPriorityLoad(const offered_load& aLoad,
                   std::uint32_t aPriority,
                   core::instant aNow);

/** Slots that all arrivals keep busy. */
double
TotalLoad(const offered_load& aLoad, core::instant aNow);

} // namespace gooseberry::quota
