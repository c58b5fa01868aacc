#include "libgooseberry/entry/entry_control.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: a burst, with callers spread unevenly over the entries. */
namespace {

constexpr std::uint32_t kSlots = 12;

/** An entry with two peers, and one target all of whose slots are taken. */
struct share_fixture
{
  core::instant mNow{ 1000s };
  entry::effects mEffects;
  entry::entry_control mControl;

  share_fixture()
    : mControl(entry::MakeEntry(Options(), 5, 1, mNow, mEffects))
  {
    const entry::configuration_row row{
      { 1,
        "[state]\nformat = 1\nname = x\n[failure_domain d]\nregion = r\n"
        "state = in\n[service plans]\ntargets = *\n" },
      "",
      "",
      1
    };
    entry::OnConfigurationRead(mControl, row, mNow, mNow, mEffects);
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

  static entry::entry_options Options()
  {
    entry::entry_options options;
    options.mName = "a";
    options.mAddress = "a:1";
    options.mLeasedRuns = true;
    options.mOrder.mPolicy = job::order_policy::Objective;
    return options;
  }

  /** Two peers that run and keep waiting so many tasks each. */
  void HearPeers(std::uint32_t aTasks, bool aLeaving = false)
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

  /** Jobs of a burst that are taken in. */
  std::size_t Admitted()
  {
    constexpr int kBurst = 200;
    for (int i = 0; i < kBurst; ++i) {
      job::submission submission;
      submission.mKey = "j" + std::to_string(i);
      submission.mService = "plans";
      submission.mTeam = "q";
      submission.mAttempt = job::kFirstAttempt;
      submission.mDeadline = 5s;
      submission.mObjective = { 150, 200ms };
      submission.mTasks.assign(1, { "kind", 100ms, "", {} });
      entry::OnSubmit(mControl, 1, submission, mNow, mEffects);
    }
    return mControl.mLedger.mJobs.size();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_share)

BOOST_AUTO_TEST_CASE(an_entry_whose_peers_are_idle_counts_on_most_slots)
{
  share_fixture alone;
  alone.HearPeers(0);
  share_fixture among;
  among.HearPeers(20);
  const std::size_t most = alone.Admitted();
  const std::size_t part = among.Admitted();
  BOOST_TEST_MESSAGE("peers idle " << most << ", busy " << part);
  BOOST_TEST(most >= 2 * part);
  BOOST_TEST(part > 0U);
}

BOOST_AUTO_TEST_CASE(peers_that_leave_need_no_slots)
{
  share_fixture staying;
  staying.HearPeers(20);
  share_fixture leaving;
  leaving.HearPeers(20, true);
  BOOST_TEST(leaving.Admitted() > staying.Admitted());
}

BOOST_AUTO_TEST_SUITE_END()
