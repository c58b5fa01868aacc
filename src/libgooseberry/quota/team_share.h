#pragma once

#include "libgooseberry/core/message.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace gooseberry::quota {

/** Share of a team that has no limit. */
inline constexpr std::uint32_t kUnlimited =
  std::numeric_limits<std::uint32_t>::max();

/**
 * Tasks of a team that this entry may have running at once.
 *
 * Where the team asks for less than its quota, each entry gets what it asks for
 * and an equal part of the rest, so that an arrival need not wait for the
 * peers. Where it asks for more, the quota is split by demand, with one slot
 * at least for each entry that has demand while there are enough; slots that
 * do not divide go round as the figures change. What some still run beyond
 * their shares is held back from the others.
 *
 * While all entries see the same figures, the shares add up to the quota at
 * most, and so do the tasks that run once each has started what it may.
 *
 * @param aQuota Of the team over all entries; 0: no limit.
 * @param aPeers The other live entries in the order of their names.
 * @param aRank How many of the peers come before this entry in that order.
 */
std::uint32_t
TeamShare(std::uint32_t aQuota,
          const core::team_use& aOwn,
          const std::vector<core::team_use>& aPeers,
          std::size_t aRank);

} // namespace gooseberry::quota
