#include "libgooseberry/quota/shedding.h"

#include <algorithm>

namespace gooseberry::quota {

std::vector<std::size_t>
HopelessJobs(const std::vector<waiting_job>& aJobs, std::uint32_t aSlots)
{
  std::vector<std::size_t> hopeless;
  const double slots = std::max(aSlots, 1U);
  core::duration ahead{};
  for (std::size_t i = 0; i < aJobs.size(); ++i) {
    const waiting_job& job = aJobs[i];
    const core::duration before = ahead + job.mWork - job.mLastTask;
    const double wait = static_cast<double>(before.count()) / slots;
    if (!job.mHasStarted &&
        wait > static_cast<double>(job.mLongestUsefulWait.count())) {
      hopeless.push_back(i);
    } else {
      ahead += job.mWork;
    }
  }
  return hopeless;
}

} // namespace gooseberry::quota
