#pragma once

#include "libgooseberry/agent/known_entries.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Free slots held for the entries whose waiting tasks go first. */
namespace gooseberry::agent {

/** One free slot of a target, held for a short time. */
struct slot_grant
{
  std::string mEntryAddress;
  core::instant mExpiry{};
};

/** The grants of one target; expired grants do not count. */
struct slot_grants
{
  std::vector<slot_grant> mGrants;
};

/** Returns the number of slots held for entries other than `aEntryAddress`. */
std::uint32_t
CountHeldForOthers(const slot_grants& aGrants,
                   std::string_view aEntryAddress,
                   core::instant aNow);

/** Removes one grant of the entry, if it has any. */
void
UseGrant(slot_grants& aGrants, std::string_view aEntryAddress);

/**
 * Holds up to `aFree` slots for the entries whose first waiting tasks have the
 * smallest priorities; each entry holds one slot at most. Only tasks with a
 * priority below `aPriorityLimit` count. A load report to each of these entries
 * becomes due at once. Slots that no entry waits for stay free.
 */
void
GrantFreeSlots(slot_grants& aGrants,
               known_entries& aEntries,
               std::uint32_t aFree,
               std::int64_t aPriorityLimit,
               core::instant aNow);

/** Removes expired grants; returns whether there were any. */
bool
DropExpired(slot_grants& aGrants, core::instant aNow);

} // namespace gooseberry::agent
