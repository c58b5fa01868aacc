#pragma once

#include "load/mix.h"
#include "load/timeline.h"
#include "load/work.h"

#include <map>

namespace gooseberry::tools::load {

/**
 * What the slots allow: each task, in order of arrival, starts at once on the
 * slot that is free first, at no cost. A slot whose failure domain is out
 * starts nothing until it is back in. Times are wall clock, in microseconds;
 * the run started at `aOriginUs`.
 */
std::vector<work_span>
ReferenceSchedule(const std::vector<job_plan>& aJobs,
                  const std::map<std::string, std::uint32_t>& aSlotsByDomain,
                  const absences& aDomains,
                  std::int64_t aOriginUs);

} // namespace gooseberry::tools::load
