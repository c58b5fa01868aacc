#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: many agents, each with results of many short tasks. Guards
 * against replies that all include the list of entries. */
namespace {

struct reply_fixture : entry::test::leased_entry
{
  core::agent_state mAgent;

  reply_fixture()
  {
    mAgent.mAgent = { "agent", 1 };
    mAgent.mAddress = "agent:1";
    mAgent.mOpen = true;
    mControl.mMembers.mEntries["b"].mAddress = "b:1";
  }

  std::size_t EntriesInNextReply()
  {
    mAgent.mTimestamp += 1ms;
    return entry::OnFinish(mControl, { mAgent, {} }, mNow, mEffects)
      .mEntries.size();
  }

  std::size_t AgentsInHeartbeat()
  {
    core::heartbeat beat;
    beat.mEntry = { "b", 1 };
    beat.mAddress = "b:1";
    return entry::OnHeartbeat(mControl, beat, mNow, mEffects).mAgents.size();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_replies)

BOOST_FIXTURE_TEST_CASE(the_first_reply_names_all_entries, reply_fixture)
{
  BOOST_TEST(EntriesInNextReply() == 2U);
}

BOOST_FIXTURE_TEST_CASE(replies_to_many_results_do_not_grow_with_the_entries,
                        reply_fixture)
{
  EntriesInNextReply();
  std::size_t named = 0;
  for (int i = 0; i < 100; ++i) {
    mNow += 1ms;
    named += EntriesInNextReply();
  }
  BOOST_TEST(named == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_agent_gets_the_entries_again_within_half_a_second,
                        reply_fixture)
{
  EntriesInNextReply();
  mNow += 500ms;
  BOOST_TEST(EntriesInNextReply() == 2U);
}

BOOST_FIXTURE_TEST_CASE(half_of_the_replies_to_periodic_reports_name_no_entries,
                        reply_fixture)
{
  constexpr auto kReportInterval = 300ms;
  std::size_t named = 0;
  for (int i = 0; i < 10; ++i) {
    mNow += kReportInterval;
    named += EntriesInNextReply() > 0 ? 1 : 0;
  }
  BOOST_TEST(named == 5U);
}

BOOST_FIXTURE_TEST_CASE(heartbeats_under_leases_do_not_grow_with_the_agents,
                        reply_fixture)
{
  EntriesInNextReply();
  BOOST_TEST(mControl.mMembers.mAgents.size() == 1U);
  BOOST_TEST(AgentsInHeartbeat() == 0U);
  mControl.mOptions.mLeasedRuns = false;
  BOOST_TEST(AgentsInHeartbeat() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_restarted_agent_gets_the_entries_at_once,
                        reply_fixture)
{
  EntriesInNextReply();
  mAgent.mAgent.mIncarnation = 2;
  BOOST_TEST(EntriesInNextReply() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
