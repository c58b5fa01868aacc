#include "libgooseberry/quota/headroom.h"

namespace gooseberry::quota {

namespace {

/**
 * Below this share of the slots, urgent arrivals find a slot soon enough as
 * running tasks end.
 */
constexpr double kMinLoadShare = 0.05;

} // namespace

std::uint32_t
HeadroomSlots(const headroom_request& aRequest)
{
  return aRequest.mHigherPriorityLoad > kMinLoadShare * aRequest.mSlots ? 1 : 0;
}

} // namespace gooseberry::quota
