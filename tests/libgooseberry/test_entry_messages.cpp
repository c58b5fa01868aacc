#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: many jobs of several short tasks at entries with little
 * processor time. Guards against one message for each task. */
namespace {

constexpr std::uint32_t kAgents = 10;
constexpr std::uint32_t kSlots = 8;

/** An entry with ten agents, each with one target. */
struct message_fixture : entry::test::leased_entry
{
  explicit message_fixture(std::uint32_t aRunning = 0)
  {
    for (std::uint32_t i = 0; i < kAgents; ++i) {
      core::agent_state agent;
      agent.mAgent = { "w" + std::to_string(i), 1 };
      agent.mAddress = agent.mAgent.mName + ":1";
      agent.mFailureDomain = "d";
      agent.mOpen = true;
      core::target_load load;
      load.mName = "t" + std::to_string(i);
      load.mServices = { entry::test::kService };
      load.mSlots = kSlots;
      load.mRunning = aRunning;
      agent.mTargets = { load };
      entry::OnAnnounce(mControl, agent, mNow, mEffects);
    }
    mEffects.clear();
  }

  /** Submits a job of `aTasks` tasks; returns the starts in each message. */
  std::vector<std::size_t> StartsOf(std::size_t aTasks)
  {
    auto submission = entry::test::MakeSubmission("j", 500ms);
    submission.mTasks.assign(aTasks, submission.mTasks.front());
    entry::OnSubmit(mControl, 1, std::move(submission), mNow, mEffects);
    std::vector<std::size_t> starts;
    for (const auto& effect : mEffects) {
      if (const auto* start = std::get_if<entry::send_start>(&effect)) {
        starts.push_back(start->mBatch.mStarts.size());
      }
    }
    return starts;
  }
};

struct busy_fixture : message_fixture
{
  busy_fixture()
    : message_fixture(kSlots - 2)
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_messages)

BOOST_FIXTURE_TEST_CASE(a_job_of_many_tasks_takes_few_messages, message_fixture)
{
  const auto starts = StartsOf(9);
  BOOST_TEST(starts.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(an_agent_gets_no_more_than_it_can_hand_on_at_once,
                        message_fixture)
{
  const auto starts = StartsOf(24);
  BOOST_TEST(!starts.empty());
  for (const std::size_t count : starts) {
    BOOST_TEST(count <= 3U);
  }
}

BOOST_FIXTURE_TEST_CASE(where_little_is_free_tasks_are_spread, busy_fixture)
{
  const auto starts = StartsOf(8);
  BOOST_TEST(starts.size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
