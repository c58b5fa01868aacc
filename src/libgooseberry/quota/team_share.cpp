#include "libgooseberry/quota/team_share.h"

#include <algorithm>
#include <utility>

namespace gooseberry::quota {

namespace {

/** Use and share of one entry. */
struct entry_share
{
  std::uint64_t mRunning = 0;
  std::uint64_t mDemand = 0;
  std::uint64_t mShare = 0;
};

struct split
{
  std::vector<entry_share> mEntries; ///< Ordered by the entries' names.
  std::uint64_t mDemand = 0;
  std::uint64_t mWithDemand = 0; ///< Number of entries with demand.
  std::size_t mFirst = 0; ///< Index of the entry that gets a remainder first.
  std::uint64_t mUnassigned = 0; ///< Slots not assigned yet.
};

/**
 * Returns the entry that gets the remainder of the division first. All entries
 * that see the same figures compute the same result.
 */
std::size_t
FirstEntry(const std::vector<core::team_use>& aUses)
{
  std::uint64_t hash = 0;
  for (const core::team_use& use : aUses) {
    hash = (hash ^ use.mRunning) * 0x9e3779b97f4a7c15ULL;
    hash = (hash ^ use.mWaiting ^ (hash >> 29)) * 0xbf58476d1ce4e5b9ULL;
  }
  return static_cast<std::size_t>((hash >> 32) % aUses.size());
}

split
Prepare(std::uint32_t aQuota, const std::vector<core::team_use>& aUses)
{
  split prepared;
  prepared.mUnassigned = aQuota;
  prepared.mFirst = FirstEntry(aUses);
  for (const core::team_use& use : aUses) {
    const std::uint64_t demand = std::uint64_t(use.mRunning) + use.mWaiting;
    prepared.mEntries.push_back({ use.mRunning, demand, 0 });
    prepared.mDemand += demand;
    prepared.mWithDemand += demand > 0 ? 1 : 0;
  }
  return prepared;
}

void
Assign(split& aSplit, entry_share& aEntry, std::uint64_t aSlots)
{
  aEntry.mShare += aSlots;
  aSplit.mUnassigned -= aSlots;
}

/**
 * Assigns one slot to each entry in turn while slots remain, up to its demand
 * unless `aBeyondDemand`.
 */
void
AssignRemainder(split& aSplit, bool aBeyondDemand)
{
  const std::size_t count = aSplit.mEntries.size();
  for (std::size_t i = 0; i < count && aSplit.mUnassigned > 0; ++i) {
    entry_share& next = aSplit.mEntries[(aSplit.mFirst + i) % count];
    if (aBeyondDemand || next.mShare < next.mDemand) {
      Assign(aSplit, next, 1);
    }
  }
}

void
SplitSurplus(split& aSplit)
{
  const std::uint64_t spare =
    (aSplit.mUnassigned - aSplit.mDemand) / aSplit.mEntries.size();
  for (entry_share& entry : aSplit.mEntries) {
    Assign(aSplit, entry, entry.mDemand + spare);
  }
  AssignRemainder(aSplit, true);
}

void
SplitShortage(split& aSplit)
{
  if (aSplit.mUnassigned < aSplit.mWithDemand) {
    AssignRemainder(aSplit, false);
    return;
  }
  const std::uint64_t quota = aSplit.mUnassigned - aSplit.mWithDemand;
  const std::uint64_t demand = aSplit.mDemand - aSplit.mWithDemand;
  for (entry_share& entry : aSplit.mEntries) {
    if (entry.mDemand > 0) {
      const std::uint64_t more = entry.mDemand - 1;
      Assign(aSplit, entry, 1 + (demand > 0 ? quota * more / demand : 0));
    }
  }
  AssignRemainder(aSplit, false);
}

/** Returns the slots of the share that the entry does not use yet. */
std::uint64_t
HeadroomOf(const entry_share& aEntry)
{
  return aEntry.mShare - std::min(aEntry.mShare, aEntry.mRunning);
}

/**
 * Where some entries run more than their shares, limits the others together to
 * the idle slots, split by their headroom.
 */
void
LimitToIdleSlots(split& aSplit, std::uint64_t aQuota)
{
  std::uint64_t running = 0;
  std::uint64_t headroom = 0;
  for (const entry_share& entry : aSplit.mEntries) {
    running += entry.mRunning;
    headroom += HeadroomOf(entry);
  }
  const std::uint64_t idle = aQuota - std::min(aQuota, running);
  if (headroom <= idle) {
    return;
  }
  std::vector<entry_share> limited = aSplit.mEntries;
  aSplit.mUnassigned = idle;
  for (entry_share& entry : limited) {
    if (HeadroomOf(entry) > 0) {
      entry.mDemand = entry.mShare;
      entry.mShare = entry.mRunning;
      Assign(aSplit, entry, idle * (entry.mDemand - entry.mRunning) / headroom);
    } else {
      entry.mDemand = 0;
    }
  }
  aSplit.mEntries = std::move(limited);
  AssignRemainder(aSplit, false);
}

} // namespace

std::uint32_t
TeamShare(std::uint32_t aQuota,
          const core::team_use& aOwn,
          const std::vector<core::team_use>& aPeers,
          std::size_t aRank)
{
  if (aQuota == 0) {
    return kUnlimited;
  }
  const std::size_t rank = std::min(aRank, aPeers.size());
  std::vector<core::team_use> uses = aPeers;
  uses.insert(uses.begin() + static_cast<std::ptrdiff_t>(rank), aOwn);
  split shares = Prepare(aQuota, uses);
  if (shares.mDemand <= shares.mUnassigned) {
    SplitSurplus(shares);
  } else {
    SplitShortage(shares);
  }
  LimitToIdleSlots(shares, aQuota);
  return static_cast<std::uint32_t>(shares.mEntries[rank].mShare);
}

} // namespace gooseberry::quota
