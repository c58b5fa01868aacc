#pragma once

#include "common/run_record.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberry::tools::load {

/** A piece of work: when it began and ended, in microseconds. */
struct work_span
{
  std::int64_t mStartUs = 0;
  std::int64_t mEndUs = 0;
};

/** Runs that succeeded, as pieces of work. */
std::vector<work_span>
SucceededWork(const std::vector<common::run_record>& aRecords);

/**
 * Slot-seconds of work in each second since `aOriginUs`; work before it or
 * after the last second is left out.
 */
std::vector<double>
WorkPerSecond(const std::vector<work_span>& aWork,
              std::int64_t aOriginUs,
              std::size_t aSeconds);

} // namespace gooseberry::tools::load
