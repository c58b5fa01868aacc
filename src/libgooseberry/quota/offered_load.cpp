#include "libgooseberry/quota/offered_load.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::quota {

namespace {

/** Short enough to follow the start and end of a burst of a few seconds. */
constexpr std::chrono::duration<double> kTimeConstant = std::chrono::seconds(1);

/** Returns the share of the averages that remains at `aNow`. */
double
Decay(const offered_load& aLoad, core::instant aNow)
{
  const std::chrono::duration<double> age =
    std::max(aNow - aLoad.mUpdatedAt, core::duration::zero());
  return std::exp(-age / kTimeConstant);
}

double
SumBelow(const offered_load& aLoad, std::size_t aEnd, core::instant aNow)
{
  double sum = 0;
  for (std::size_t i = 0; i < std::min(aEnd, kPriorities); ++i) {
    sum += aLoad.mSlots[i];
  }
  return sum * Decay(aLoad, aNow);
}

} // namespace

void
RecordArrival(offered_load& aLoad,
              std::uint32_t aPriority,
              core::duration aWork,
              core::instant aNow)
{
  const double decay = Decay(aLoad, aNow);
  for (double& slots : aLoad.mSlots) {
    slots *= decay;
  }
  aLoad.mUpdatedAt = std::max(aLoad.mUpdatedAt, aNow);
  const std::size_t index = std::min<std::size_t>(aPriority, kPriorities - 1);
  aLoad.mSlots[index] += std::chrono::duration<double>(aWork) / kTimeConstant;
}

double
HigherPriorityLoad(const offered_load& aLoad,
                   std::uint32_t aPriority,
                   core::instant aNow)
{
  return SumBelow(aLoad, aPriority, aNow);
}

double
TotalLoad(const offered_load& aLoad, core::instant aNow)
{
  return SumBelow(aLoad, kPriorities, aNow);
}

} // namespace gooseberry::quota
