#include "libgooseberry/quota/team_share.h"

#include <algorithm>
#include <utility>

namespace gooseberry::quota {

namespace {

/** One entry's part in the split. */
struct part
{
  std::uint64_t mRunning = 0;
  std::uint64_t mDemand = 0;
  std::uint64_t mShare = 0;
};

struct split
{
  std::vector<part> mParts; ///< In the order of the entries' names.
  std::uint64_t mDemand = 0;
  std::uint64_t mWith = 0;  ///< Entries that have demand.
  std::size_t mTurn = 0;    ///< The entry that is served first.
  std::uint64_t mQuota = 0; ///< Not shared out yet.
};

/** Who is first for what does not divide; the same at all that see the same. */
std::size_t
TurnOf(const std::vector<core::team_use>& aUses)
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
  prepared.mQuota = aQuota;
  prepared.mTurn = TurnOf(aUses);
  for (const core::team_use& use : aUses) {
    const std::uint64_t demand = std::uint64_t(use.mRunning) + use.mWaiting;
    prepared.mParts.push_back({ use.mRunning, demand, 0 });
    prepared.mDemand += demand;
    prepared.mWith += demand > 0 ? 1 : 0;
  }
  return prepared;
}

void
Give(split& aSplit, part& aPart, std::uint64_t aSlots)
{
  aPart.mShare += aSlots;
  aSplit.mQuota -= aSlots;
}

/** Gives one slot to each in turn while there are any, up to its demand. */
void
GiveRemainder(split& aSplit, bool aBeyondDemand)
{
  const std::size_t count = aSplit.mParts.size();
  for (std::size_t i = 0; i < count && aSplit.mQuota > 0; ++i) {
    part& next = aSplit.mParts[(aSplit.mTurn + i) % count];
    if (aBeyondDemand || next.mShare < next.mDemand) {
      Give(aSplit, next, 1);
    }
  }
}

void
ShareAbundance(split& aSplit)
{
  const std::uint64_t spare =
    (aSplit.mQuota - aSplit.mDemand) / aSplit.mParts.size();
  for (part& one : aSplit.mParts) {
    Give(aSplit, one, one.mDemand + spare);
  }
  GiveRemainder(aSplit, true);
}

void
ShareShortage(split& aSplit)
{
  if (aSplit.mQuota < aSplit.mWith) {
    GiveRemainder(aSplit, false);
    return;
  }
  const std::uint64_t quota = aSplit.mQuota - aSplit.mWith;
  const std::uint64_t demand = aSplit.mDemand - aSplit.mWith;
  for (part& one : aSplit.mParts) {
    if (one.mDemand > 0) {
      const std::uint64_t more = one.mDemand - 1;
      Give(aSplit, one, 1 + (demand > 0 ? quota * more / demand : 0));
    }
  }
  GiveRemainder(aSplit, false);
}

/** Slots between what an entry runs and its share. */
std::uint64_t
RoomOf(const part& aPart)
{
  return aPart.mShare - std::min(aPart.mShare, aPart.mRunning);
}

/**
 * Where some run more than their shares, the others together get no more than
 * the slots that nobody runs on; these are split by the room each has.
 */
void
HoldBack(split& aSplit, std::uint64_t aQuota)
{
  std::uint64_t running = 0;
  std::uint64_t room = 0;
  for (const part& one : aSplit.mParts) {
    running += one.mRunning;
    room += RoomOf(one);
  }
  const std::uint64_t idle = aQuota - std::min(aQuota, running);
  if (room <= idle) {
    return;
  }
  std::vector<part> held = aSplit.mParts;
  aSplit.mQuota = idle;
  for (part& one : held) {
    if (RoomOf(one) > 0) {
      one.mDemand = one.mShare;
      one.mShare = one.mRunning;
      Give(aSplit, one, idle * (one.mDemand - one.mRunning) / room);
    } else {
      one.mDemand = 0;
    }
  }
  aSplit.mParts = std::move(held);
  GiveRemainder(aSplit, false);
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
  if (shares.mDemand <= shares.mQuota) {
    ShareAbundance(shares);
  } else {
    ShareShortage(shares);
  }
  HoldBack(shares, aQuota);
  return static_cast<std::uint32_t>(shares.mParts[rank].mShare);
}

} // namespace gooseberry::quota
