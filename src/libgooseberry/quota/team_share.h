#pragma once

#include "libgooseberry/core/message.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace gooseberry::quota {

/** Share of a team without a quota. */
inline constexpr std::uint32_t kUnlimited =
  std::numeric_limits<std::uint32_t>::max();

/**
 * Returns the number of tasks of a team that this entry may run at once.
 *
 * If the demand of the team is below its quota, each entry gets its demand and
 * an equal part of the rest, so that new tasks need not wait for a heartbeat
 * from peers. If the demand is above the quota, the quota is split by demand.
 * Each entry with demand gets at least one slot while there are enough. Slots
 * that remain after the division go to varying entries as the figures change.
 * Tasks that some entries still run beyond their shares reduce the shares of
 * the others.
 *
 * While all entries see the same figures, the shares add up to at most the
 * quota. So do the running tasks, once each entry has started what its share
 * allows.
 *
 * @param aQuota Quota of the team over all entries; 0: no limit.
 * @param aPeers The other live entries, ordered by name.
 * @param aRank Number of peers that come before this entry in that order.
 */
std::uint32_t
TeamShare(std::uint32_t aQuota,
          const core::team_use& aOwn,
          const std::vector<core::team_use>& aPeers,
          std::size_t aRank);

} // namespace gooseberry::quota
