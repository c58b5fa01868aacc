#include "load/work.h"

#include <algorithm>

namespace gooseberry::tools::load {

namespace {

constexpr std::int64_t kUsPerSecond = 1'000'000;

} // namespace

std::vector<work_span>
SucceededWork(const std::vector<common::run_record>& aRecords)
{
  std::vector<work_span> work;
  for (const common::run_record& record : aRecords) {
    if (record.mState == common::run_state::Succeeded) {
      work.push_back({ record.mStartUs, record.mEndUs });
    }
  }
  return work;
}

std::vector<double>
WorkPerSecond(const std::vector<work_span>& aWork,
              std::int64_t aOriginUs,
              std::size_t aSeconds)
{
  std::vector<double> perSecond(aSeconds, 0.0);
  const std::int64_t limit = static_cast<std::int64_t>(aSeconds) * kUsPerSecond;
  for (const work_span& span : aWork) {
    const std::int64_t end = std::min(span.mEndUs - aOriginUs, limit);
    std::int64_t at = std::max<std::int64_t>(span.mStartUs - aOriginUs, 0);
    while (at < end) {
      const std::int64_t second = at / kUsPerSecond;
      const std::int64_t next = std::min((second + 1) * kUsPerSecond, end);
      perSecond[static_cast<std::size_t>(second)] +=
        static_cast<double>(next - at) / kUsPerSecond;
      at = next;
    }
  }
  return perSecond;
}

} // namespace gooseberry::tools::load
