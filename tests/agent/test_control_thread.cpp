#include "agent/control_thread.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** An agent's control whose effects go nowhere. */
struct control_fixture
{
  agentd::control_thread mControl{ agent::MakeControl({}), 1'024 };

  control_fixture()
  {
    mControl.Start([](const agent::effect&) {
      return std::optional<agentd::control_event>();
    });
  }

  bool IsLeaving()
  {
    return mControl.Ask<bool>([](agent::agent_control& aState,
                                 core::instant,
                                 agent::effects&) { return aState.mLeaving; });
  }
};

/** Times that threads of this process have waited. */
long
ContextSwitches()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_nvcsw;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(control_threads, control_fixture)

/** SHORT, tabcraft-sched-large: each message to an agent woke two threads more
 * than the one that had received it. */
BOOST_AUTO_TEST_CASE(an_event_of_an_idle_agent_costs_no_switch_of_threads)
{
  constexpr int kEvents = 2000;
  const long before = ContextSwitches();
  for (int i = 0; i < kEvents; ++i) {
    static_cast<void>(IsLeaving());
  }
  BOOST_TEST(ContextSwitches() - before < kEvents / 4);
}

BOOST_AUTO_TEST_CASE(an_event_that_is_posted_by_another_is_handled_after_it)
{
  std::vector<int> order;
  mControl.Post([&](auto&, auto, auto&) {
    mControl.Post([&](auto&, auto, auto&) { order.push_back(2); });
    order.push_back(1);
  });
  const auto count = [&](auto&, auto, auto&) { return order.size(); };
  while (mControl.Ask<std::size_t>(count) < 2) {
    std::this_thread::yield();
  }
  BOOST_TEST((order == std::vector<int>{ 1, 2 }));
}

BOOST_AUTO_TEST_CASE(an_event_before_the_start_is_handled_at_the_start)
{
  agentd::control_thread control(agent::MakeControl({}), 1'024);
  bool isHandled = false;
  control.Post([&](auto&, auto, auto&) { isHandled = true; });
  BOOST_TEST(!isHandled);
  control.Start([](const agent::effect&) {
    return std::optional<agentd::control_event>();
  });
  control.Stop();
  BOOST_TEST(isHandled);
}

BOOST_AUTO_TEST_SUITE_END()
