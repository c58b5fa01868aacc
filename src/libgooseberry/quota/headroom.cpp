#include "libgooseberry/quota/headroom.h"

namespace gooseberry::quota {

namespace {

/**
 * Below this share of the slots, urgent arrivals find a slot soon enough as
 * running tasks end.
 */
constexpr double kMinLoadShare = 0.05;
/** A task is long if it takes more than this many times the mean. */
constexpr std::int64_t kLongFactor = 2;

} // namespace

std::uint32_t
HeadroomSlots(const headroom_request& aRequest)
{
  const bool isLong = aRequest.mRunTime > kLongFactor * aRequest.mMeanRunTime;
  const bool hasUrgentLoad =
    aRequest.mHigherPriorityLoad > kMinLoadShare * aRequest.mSlots;
  return isLong && hasUrgentLoad ? 1 : 0;
}

} // namespace gooseberry::quota
