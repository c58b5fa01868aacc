#pragma once

#include "libgooseberry/agent/known_entries.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Free slots that are held for the entry whose waiting task goes first. */
namespace gooseberry::agent {

/** One free slot of a target, held for a short time. */
struct slot_grant
{
  std::string mEntryAddress;
  core::instant mExpiry{};
};

/** The grants of one target; those past their time do not count. */
struct slot_grants
{
  std::vector<slot_grant> mGrants;
};

/** Slots held for entries other than the one at that address. */
std::uint32_t
CountHeldForOthers(const slot_grants& aGrants,
                   std::string_view aEntryAddress,
                   core::instant aNow);

/** The entry has used one of its grants, if it had any. */
void
UseGrant(slot_grants& aGrants, std::string_view aEntryAddress);

/**
 * Holds up to `aFree` slots, one after the other, for the entries with the
 * first waiting tasks by priority; each entry gets one at a time. Only
 * tasks whose priority is below `aPriorityLimit` count. These entries are to be
 * told at once. Slots that nobody waits for stay free.
 */
void
GrantFreeSlots(slot_grants& aGrants,
               known_entries& aEntries,
               std::uint32_t aFree,
               std::int64_t aPriorityLimit,
               core::instant aNow);

/** Drops grants past their time; true if there were any. */
bool
DropExpired(slot_grants& aGrants, core::instant aNow);

} // namespace gooseberry::agent
