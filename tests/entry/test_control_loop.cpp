#include "entry/control_loop.h"
#include "libgooseberryio/clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

entry::entry_control
MakeControl()
{
  entry::effects effects;
  return entry::MakeEntry({}, 1, 1, io::Now(), effects);
}

/** A loop whose effects go nowhere. */
struct loop_fixture
{
  entry_program::control_loop mLoop{ MakeControl(),
                                     [](const entry::effects&) {} };

  loop_fixture() { mLoop.Start({}); }

  std::uint64_t Heartbeats()
  {
    return mLoop.Ask([](auto& aControl, auto, auto&) {
      return aControl.mCounters.mHeartbeats;
    });
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

void
CountOne(entry::entry_control& aControl, core::instant, entry::effects&)
{
  ++aControl.mCounters.mHeartbeats;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(control_loops, loop_fixture)

/** SHORT, tabcraft-sched-large: each message to an entry woke two threads more
 * than the one that had received it. */
BOOST_AUTO_TEST_CASE(an_input_of_an_idle_entry_costs_no_switch_of_threads)
{
  constexpr int kInputs = 2000;
  const long before = ContextSwitches();
  for (int i = 0; i < kInputs; ++i) {
    static_cast<void>(Heartbeats());
  }
  BOOST_TEST(ContextSwitches() - before < kInputs / 4);
}

BOOST_AUTO_TEST_CASE(inputs_of_many_threads_run_one_at_a_time)
{
  constexpr int kThreads = 4;
  constexpr int kInputs = 1000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([this] {
      for (int j = 0; j < kInputs; ++j) {
        static_cast<void>(mLoop.Post(CountOne));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  BOOST_TEST(Heartbeats() == std::uint64_t(kThreads) * kInputs);
}

BOOST_AUTO_TEST_CASE(an_input_that_is_posted_by_another_runs_after_it)
{
  std::vector<int> order;
  const bool posted = mLoop.Post([&](auto&, auto, auto&) {
    static_cast<void>(
      mLoop.Post([&](auto&, auto, auto&) { order.push_back(2); }));
    order.push_back(1);
  });
  BOOST_TEST(posted);
  const auto count = [&](auto&, auto, auto&) { return order.size(); };
  while (mLoop.Ask(count) < 2) {
    std::this_thread::yield();
  }
  BOOST_TEST((order == std::vector<int>{ 1, 2 }));
}

BOOST_AUTO_TEST_CASE(ticks_run_while_inputs_keep_coming)
{
  const auto ticks = [this] {
    return mLoop.Ask(
      [](auto& aControl, auto, auto&) { return aControl.mLastDispatch; });
  };
  const core::instant before = ticks();
  const core::instant end = io::Now() + 200ms;
  while (io::Now() < end) {
    static_cast<void>(mLoop.Post(CountOne));
  }
  BOOST_TEST((ticks() - before > 100ms));
}

/** Soak, seed 2 at a load above 20: an entry without work was not ready for 15
 * s after its host had stalled it twice. */
BOOST_AUTO_TEST_CASE(a_stall_without_submissions_refuses_no_callers)
{
  for (int i = 0; i < 5; ++i) {
    static_cast<void>(mLoop.Post(
      [](auto&, auto, auto&) { std::this_thread::sleep_for(150ms); }));
    std::this_thread::sleep_for(30ms);
  }
  const int share = mLoop.Ask([](auto& aControl, auto, auto&) {
    return quota::SharePercent(aControl.mQueueDelay);
  });
  BOOST_TEST(share == 100);
}

BOOST_AUTO_TEST_CASE(a_stall_with_submissions_refuses_callers)
{
  for (int i = 0; i < 5; ++i) {
    static_cast<void>(mLoop.Post([](auto& aControl, auto, auto&) {
      ++aControl.mCounters.mSubmissions;
      std::this_thread::sleep_for(150ms);
    }));
    std::this_thread::sleep_for(30ms);
  }
  const int share = mLoop.Ask([](auto& aControl, auto, auto&) {
    return quota::SharePercent(aControl.mQueueDelay);
  });
  BOOST_TEST(share < 100);
}

BOOST_AUTO_TEST_CASE(who_waits_when_the_loop_stops_gets_an_answer)
{
  std::atomic<bool> isBusy = false;
  std::atomic<bool> mayEnd = false;
  std::thread busy([&] {
    static_cast<void>(mLoop.Post([&](auto&, auto, auto&) {
      isBusy = true;
      while (!mayEnd) {
        std::this_thread::yield();
      }
    }));
  });
  while (!isBusy) {
    std::this_thread::yield();
  }
  std::atomic<bool> isAnswered = false;
  std::thread asker([&] {
    static_cast<void>(Heartbeats());
    isAnswered = true;
  });
  std::this_thread::sleep_for(20ms);
  std::thread stopper([this] { mLoop.Stop(); });
  mayEnd = true;
  busy.join();
  asker.join();
  stopper.join();
  BOOST_TEST(isAnswered);
  BOOST_TEST(!mLoop.Post(CountOne));
}

BOOST_AUTO_TEST_SUITE_END()
