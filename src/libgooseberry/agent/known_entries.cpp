#include "libgooseberry/agent/known_entries.h"

#include <algorithm>

namespace gooseberry::agent {

known_entry&
LearnEntry(known_entries& aEntries,
           const std::string& aName,
           const std::string& aAddress,
           core::instant aNow)
{
  const auto [at, isNew] = aEntries.mByAddress.try_emplace(aAddress);
  if (isNew) {
    at->second.mLastHeard = aNow;
    at->second.mWanted = true;
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
WantAnnounces(known_entries& aEntries)
{
  for (auto& [address, entry] : aEntries.mByAddress) {
    entry.mWanted |= entry.mBacklog;
  }
}

void
WantAllAnnounces(known_entries& aEntries)
{
  for (auto& [address, entry] : aEntries.mByAddress) {
    entry.mWanted = true;
  }
}

void
NoteSent(known_entries& aEntries,
         const std::string& aAddress,
         core::instant aNow)
{
  if (const auto found = aEntries.mByAddress.find(aAddress);
      found != aEntries.mByAddress.end()) {
    found->second.mWanted = false;
    found->second.mLastSent = aNow;
  }
}

std::vector<std::string>
TakeDueAnnounces(known_entries& aEntries,
                 core::instant aNow,
                 const announce_limits& aLimits)
{
  std::erase_if(aEntries.mByAddress, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return entry.mFailures > 0 && !entry.mInFlight &&
           aNow - entry.mLastHeard > aLimits.mForgetAfter;
  });
  std::vector<std::string> due;
  for (auto& [address, entry] : aEntries.mByAddress) {
    // An entry in trouble is not called more often than all others.
    const bool isUrgent = entry.mWanted && entry.mFailures == 0;
    const auto gap = isUrgent ? aLimits.mMinGap : aLimits.mInterval;
    if (!entry.mInFlight && entry.mLastSent + gap <= aNow) {
      entry.mInFlight = true;
      entry.mWanted = false;
      entry.mLastSent = aNow;
      due.push_back(address);
    }
  }
  return due;
}

void
NoteAnnounceEnd(known_entries& aEntries,
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
    entry.mLastHeard = aNow;
  } else {
    ++entry.mFailures;
  }
}

} // namespace gooseberry::agent
