#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: a burst, with callers spread unevenly over the entries. Guards
 * against an entry that refuses jobs while its peers leave slots unused. */
namespace {

constexpr std::uint32_t kSlots = 12;

/** An entry with two peers and one target without free slots. */
struct share_fixture : entry::test::leased_entry
{
  share_fixture()
  {
    core::agent_state agent;
    agent.mAgent = { "w", 1 };
    agent.mFailureDomain = "d";
    agent.mOpen = true;
    core::target_load load;
    load.mName = "t";
    load.mServices = { "plans" };
    load.mSlots = kSlots;
    load.mRunning = kSlots;
    agent.mTargets = { load };
    static_cast<void>(entry::OnAnnounce(mControl, agent, mNow, mEffects));
  }

  /** Delivers heartbeats of two peers with `aTasks` running tasks each. */
  void ReceivePeerHeartbeats(std::uint32_t aTasks, bool aLeaving = false)
  {
    for (const auto* name : { "b", "c" }) {
      core::heartbeat beat;
      beat.mEntry = { name, 6 };
      beat.mAddress = std::string(name) + ":1";
      beat.mLeaving = aLeaving;
      beat.mTeams["q"] = { aTasks, 0 };
      static_cast<void>(entry::OnHeartbeat(mControl, beat, mNow, mEffects));
    }
  }

  /** Submits a burst of jobs; returns how many are admitted. */
  std::size_t SubmitBurst()
  {
    constexpr int kBurst = 200;
    for (int i = 0; i < kBurst; ++i) {
      entry::OnSubmit(
        mControl,
        1,
        entry::test::MakeSubmission("j" + std::to_string(i), 200ms),
        mNow,
        mEffects);
    }
    return mControl.mLedger.mJobs.size();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_share)

BOOST_AUTO_TEST_CASE(an_entry_with_idle_peers_gets_most_slots)
{
  share_fixture idlePeers;
  idlePeers.ReceivePeerHeartbeats(0);
  share_fixture busyPeers;
  busyPeers.ReceivePeerHeartbeats(20);
  const std::size_t most = idlePeers.SubmitBurst();
  const std::size_t part = busyPeers.SubmitBurst();
  BOOST_TEST_MESSAGE("peers idle " << most << ", busy " << part);
  BOOST_TEST(most >= 2 * part);
  BOOST_TEST(part > 0U);
}

BOOST_AUTO_TEST_CASE(peers_that_leave_need_no_slots)
{
  share_fixture staying;
  staying.ReceivePeerHeartbeats(20);
  share_fixture leaving;
  leaving.ReceivePeerHeartbeats(20, true);
  BOOST_TEST(leaving.SubmitBurst() > staying.SubmitBurst());
}

BOOST_AUTO_TEST_SUITE_END()
