#include "load/reference.h"

#include <algorithm>

namespace gooseberry::tools::load {

namespace {

struct slot
{
  const std::string* mDomain = nullptr;
  std::int64_t mFreeUs = 0;
};

/** The first moment from `aAtUs` on at which the domain is in. */
std::int64_t
NextIn(const absences& aDomains, const std::string& aDomain, std::int64_t aAtUs)
{
  const auto it = aDomains.find(aDomain);
  if (it == aDomains.end()) {
    return aAtUs;
  }
  for (const absence& one : it->second) {
    if (aAtUs >= one.mFromUs && aAtUs < one.mUntilUs) {
      return one.mUntilUs;
    }
  }
  return aAtUs;
}

} // namespace

std::vector<work_span>
ReferenceSchedule(const std::vector<job_plan>& aJobs,
                  const std::map<std::string, std::uint32_t>& aSlotsByDomain,
                  const absences& aDomains,
                  std::int64_t aOriginUs)
{
  std::vector<slot> slots;
  for (const auto& [domain, count] : aSlotsByDomain) {
    slots.insert(slots.end(), count, slot{ &domain, 0 });
  }
  std::vector<work_span> work;
  for (const job_plan& job : aJobs) {
    const std::int64_t arrival = aOriginUs + job.mArrival.count();
    for (const task_plan& task : job.mTasks) {
      slot* best = nullptr;
      std::int64_t bestStart = 0;
      for (slot& one : slots) {
        const std::int64_t start =
          NextIn(aDomains, *one.mDomain, std::max(one.mFreeUs, arrival));
        if (best == nullptr || start < bestStart) {
          best = &one;
          bestStart = start;
        }
      }
      if (best == nullptr) {
        return work;
      }
      const auto length = static_cast<std::int64_t>(task.mRunMs * 1000);
      best->mFreeUs = bestStart + length;
      work.push_back({ bestStart, best->mFreeUs });
    }
  }
  return work;
}

} // namespace gooseberry::tools::load
