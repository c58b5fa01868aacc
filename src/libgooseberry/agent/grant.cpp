#include "libgooseberry/agent/grant.h"

#include <algorithm>

namespace gooseberry::agent {

namespace {

/** Long enough for a load report and the start that answers it. */
constexpr core::duration kGrantTime = std::chrono::milliseconds(8);

bool
HasGrant(const slot_grants& aGrants, const std::string& aEntryAddress)
{
  return std::any_of(aGrants.mGrants.begin(),
                     aGrants.mGrants.end(),
                     [&](const slot_grant& aGrant) {
                       return aGrant.mEntryAddress == aEntryAddress;
                     });
}

} // namespace

std::uint32_t
CountHeldForOthers(const slot_grants& aGrants,
                   std::string_view aEntryAddress,
                   core::instant aNow)
{
  return static_cast<std::uint32_t>(std::count_if(
    aGrants.mGrants.begin(),
    aGrants.mGrants.end(),
    [&](const slot_grant& aGrant) {
      return aGrant.mEntryAddress != aEntryAddress && aGrant.mExpiry > aNow;
    }));
}

void
UseGrant(slot_grants& aGrants, std::string_view aEntryAddress)
{
  const auto found =
    std::find_if(aGrants.mGrants.begin(),
                 aGrants.mGrants.end(),
                 [&](const slot_grant& aGrant) {
                   return aGrant.mEntryAddress == aEntryAddress;
                 });
  if (found != aGrants.mGrants.end()) {
    aGrants.mGrants.erase(found);
  }
}

void
GrantFreeSlots(slot_grants& aGrants,
               known_entries& aEntries,
               std::uint32_t aFree,
               std::int64_t aPriorityLimit,
               core::instant aNow)
{
  DropExpired(aGrants, aNow);
  while (aGrants.mGrants.size() < aFree) {
    auto first = aEntries.mByAddress.end();
    for (auto at = aEntries.mByAddress.begin(); at != aEntries.mByAddress.end();
         ++at) {
      const known_entry& entry = at->second;
      if (!HasBacklog(entry, aNow) ||
          entry.mBacklogPriority >= aPriorityLimit ||
          HasGrant(aGrants, at->first)) {
        continue;
      }
      if (first == aEntries.mByAddress.end() ||
          entry.mBacklogPriority < first->second.mBacklogPriority) {
        first = at;
      }
    }
    if (first == aEntries.mByAddress.end()) {
      return;
    }
    aGrants.mGrants.push_back({ first->first, aNow + kGrantTime });
    first->second.mReportDue = true;
  }
}

bool
DropExpired(slot_grants& aGrants, core::instant aNow)
{
  return std::erase_if(aGrants.mGrants, [aNow](const slot_grant& aGrant) {
           return aGrant.mExpiry <= aNow;
         }) > 0;
}

} // namespace gooseberry::agent
