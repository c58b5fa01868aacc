#include "libgooseberry/agent/known_entries.h"

#include <algorithm>

namespace gooseberry::agent {

known_entry&
FindOrAddEntry(known_entries& aEntries,
               const std::string& aName,
               const std::string& aAddress,
               core::instant aNow)
{
  const auto [at, isNew] = aEntries.mByAddress.try_emplace(aAddress);
  if (isNew) {
    at->second.mLastSeen = aNow;
    at->second.mReportDue = true;
  }
  at->second.mName = aName;
  return at->second;
}

bool
HasBacklog(const known_entry& aEntry, core::instant aNow)
{
  constexpr core::duration kBacklogTime = std::chrono::seconds(1);
  return aEntry.mBacklog && aNow - aEntry.mBacklogAt < kBacklogTime;
}

void
RequestReportsForBacklogs(known_entries& aEntries)
{
  for (auto& [address, entry] : aEntries.mByAddress) {
    entry.mReportDue |= entry.mBacklog;
  }
}

void
RequestAllReports(known_entries& aEntries)
{
  for (auto& [address, entry] : aEntries.mByAddress) {
    entry.mReportDue = true;
  }
}

void
RecordReportSent(known_entries& aEntries,
                 const std::string& aAddress,
                 core::instant aNow)
{
  if (const auto found = aEntries.mByAddress.find(aAddress);
      found != aEntries.mByAddress.end()) {
    found->second.mReportDue = false;
    found->second.mLastSent = aNow;
  }
}

std::vector<std::string>
CollectDueReports(known_entries& aEntries,
                  core::instant aNow,
                  const load_report_limits& aLimits)
{
  std::erase_if(aEntries.mByAddress, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return entry.mFailures > 0 && !entry.mInFlight &&
           aNow - entry.mLastSeen > aLimits.mForgetAfter;
  });
  std::vector<std::string> due;
  for (auto& [address, entry] : aEntries.mByAddress) {
    // A failing entry gets no reports beyond those of the interval.
    const bool isUrgent = entry.mReportDue && entry.mFailures == 0;
    const auto gap = isUrgent ? aLimits.mMinGap : aLimits.mInterval;
    if (!entry.mInFlight && entry.mLastSent + gap <= aNow) {
      entry.mInFlight = true;
      entry.mReportDue = false;
      entry.mLastSent = aNow;
      due.push_back(address);
    }
  }
  return due;
}

void
RecordReportEnd(known_entries& aEntries,
                const std::string& aAddress,
                bool aIsAnswered,
                core::instant aNow)
{
  const auto found = aEntries.mByAddress.find(aAddress);
  if (found == aEntries.mByAddress.end()) {
    return;
  }
  auto& entry = found->second;
  entry.mInFlight = false;
  if (aIsAnswered) {
    entry.mFailures = 0;
    entry.mLastSeen = aNow;
  } else {
    ++entry.mFailures;
  }
}

} // namespace gooseberry::agent
