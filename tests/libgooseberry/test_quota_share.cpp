#include "libgooseberry/quota/team_share.h"
#include "property.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

using namespace gooseberry;
using namespace gooseberry::quota;
using gooseberry::test::Between;
using gooseberry::test::CheckProperty;

namespace {

/** Returns the share that each entry computes when all see the same figures. */
std::vector<std::uint32_t>
SharesOf(std::uint32_t aQuota, const std::vector<core::team_use>& aUses)
{
  std::vector<std::uint32_t> shares;
  for (std::size_t i = 0; i < aUses.size(); ++i) {
    std::vector<core::team_use> peers = aUses;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
    shares.push_back(TeamShare(aQuota, aUses[i], peers, i));
  }
  return shares;
}

std::uint64_t
Sum(const std::vector<std::uint32_t>& aShares)
{
  return std::accumulate(aShares.begin(), aShares.end(), std::uint64_t{ 0 });
}

std::vector<core::team_use>
AnyUses(std::uint32_t aQuota)
{
  std::vector<core::team_use> uses(Between(1, 7));
  std::uint32_t freeSlots = aQuota;
  for (core::team_use& use : uses) {
    use.mRunning = std::min<std::uint32_t>(freeSlots, Between(0, 20));
    use.mWaiting = Between(0, 40) * Between(0, 2);
    freeSlots -= use.mRunning;
  }
  return uses;
}

/**
 * Simulates rounds in which all entries start what their shares allow and all
 * running tasks end. Returns the starts of each entry.
 */
std::vector<std::uint32_t>
StartsIn(int aRounds, std::uint32_t aQuota, std::vector<core::team_use> aUses)
{
  std::vector<std::uint32_t> starts(aUses.size());
  for (int round = 0; round < aRounds; ++round) {
    const auto shares = SharesOf(aQuota, aUses);
    for (std::size_t i = 0; i < aUses.size(); ++i) {
      const auto more = shares[i] - std::min(shares[i], aUses[i].mRunning);
      starts[i] += std::min(more, aUses[i].mWaiting);
      aUses[i].mRunning = 0; // All started tasks have ended by then.
      aUses[i].mWaiting = aUses[i].mWaiting + round % 3 + (i == 0 ? 1 : 0);
    }
  }
  return starts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(team_share_suite)

BOOST_AUTO_TEST_CASE(no_quota_is_no_limit)
{
  BOOST_TEST(TeamShare(0, { 5, 5 }, { { 9, 9 } }, 0) == kUnlimited);
}

BOOST_AUTO_TEST_CASE(unused_share_is_lent)
{
  const auto shares = SharesOf(12, { { 0, 100 }, { 0, 0 }, { 0, 0 } });
  BOOST_TEST(shares == (std::vector<std::uint32_t>{ 12, 0, 0 }));
  const auto idle = SharesOf(12, { { 0, 0 }, { 0, 0 }, { 0, 0 } });
  BOOST_TEST(idle == (std::vector<std::uint32_t>{ 4, 4, 4 }));
}

BOOST_AUTO_TEST_CASE(shortage_is_split_by_demand)
{
  const auto shares = SharesOf(14, { { 0, 101 }, { 0, 201 }, { 0, 1 } });
  BOOST_TEST(Sum(shares) == 14);
  BOOST_TEST(shares[0] >= 4); // 14/3 and 28/3, less the third's slot.
  BOOST_TEST(shares[1] >= 8);
  BOOST_TEST(shares[2] == 1);
}

BOOST_AUTO_TEST_CASE(tasks_that_peers_still_run_reduce_the_share)
{
  BOOST_TEST(TeamShare(10, { 0, 50 }, { { 9, 0 } }, 0) == 1);
  BOOST_TEST(TeamShare(10, { 0, 50 }, { { 30, 0 } }, 0) == 0);
}

BOOST_AUTO_TEST_CASE(shares_never_add_up_to_more_than_the_quota)
{
  CheckProperty(
    [] {
      const std::uint32_t quota = Between(1, 60);
      const auto uses = AnyUses(quota);
      const auto shares = SharesOf(quota, uses);
      RC_ASSERT(Sum(shares) <= quota);
      std::uint64_t running = 0;
      for (std::size_t i = 0; i < uses.size(); ++i) {
        running +=
          std::max(uses[i].mRunning,
                   std::min(shares[i], uses[i].mRunning + uses[i].mWaiting));
      }
      RC_ASSERT(running <= quota);
    },
    2000);
}

BOOST_AUTO_TEST_CASE(nothing_is_left_idle_while_there_is_demand)
{
  CheckProperty(
    [] {
      const std::uint32_t quota = Between(1, 60);
      auto uses = AnyUses(quota);
      std::uint64_t demand = 0;
      for (core::team_use& use : uses) {
        use.mRunning = 0;
        demand += use.mWaiting;
      }
      const auto shares = SharesOf(quota, uses);
      std::uint64_t used = 0;
      for (std::size_t i = 0; i < uses.size(); ++i) {
        used += std::min(shares[i], uses[i].mWaiting);
      }
      RC_ASSERT(used == std::min<std::uint64_t>(quota, demand));
    },
    1000);
}

BOOST_AUTO_TEST_CASE(no_entry_with_demand_starves)
{
  for (const std::uint32_t quota : { 1U, 2U, 5U }) {
    const auto starts =
      StartsIn(300, quota, { { 0, 500 }, { 0, 1 }, { 0, 30 } });
    BOOST_TEST(*std::min_element(starts.begin(), starts.end()) >= 30U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
