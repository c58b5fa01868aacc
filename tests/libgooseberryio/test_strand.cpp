#include "libgooseberryio/strand.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

using gooseberry::io::strand;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(strands)

BOOST_AUTO_TEST_CASE(a_new_strand_runs_nothing_until_its_maker_has_ended)
{
  strand<int> events(4);
  BOOST_TEST(events.Push(1));
  BOOST_TEST(events.TryBegin().empty());
  events.End();
  BOOST_TEST((events.TryBegin() == std::deque<int>{ 1 }));
}

BOOST_AUTO_TEST_CASE(a_full_or_closed_strand_refuses_and_keeps_order)
{
  strand<int> events(2);
  events.End();
  BOOST_TEST(events.Push(1));
  BOOST_TEST(events.Push(2));
  BOOST_TEST(!events.Push(3));
  events.Close();
  BOOST_TEST(events.IsClosed());
  BOOST_TEST(!events.Push(4));
  BOOST_TEST((events.TryBegin() == std::deque<int>{ 1, 2 }));
  events.End();
  BOOST_TEST(events.TryBegin().empty());
}

BOOST_AUTO_TEST_CASE(what_arrives_while_events_run_is_handed_over_to_the_owner)
{
  strand<int> events(4);
  events.End();
  BOOST_TEST(events.Push(1));
  BOOST_TEST(events.TryBegin().size() == 1U);
  BOOST_TEST(events.Push(2));
  BOOST_TEST(events.TryBegin().empty()); // Another thread runs the strand.
  events.End();
  BOOST_TEST((events.Begin(1min) == std::deque<int>{ 2 })); // Returns at once.
  events.End();
  BOOST_TEST(events.Begin(1ms).empty());
}

BOOST_AUTO_TEST_CASE(the_owner_goes_before_threads_that_post)
{
  strand<int> events(4);
  std::atomic<bool> hasBegun = false;
  std::thread owner([&] {
    static_cast<void>(events.Begin(0ms));
    hasBegun = true;
  });
  while (events.Push(0)) {
    // Until the strand is full.
  }
  std::this_thread::sleep_for(20ms);
  events.End();
  BOOST_TEST(events.TryBegin().empty());
  owner.join();
  BOOST_TEST(hasBegun);
}

BOOST_AUTO_TEST_CASE(events_of_many_threads_run_one_at_a_time_and_none_is_lost)
{
  constexpr int kWriters = 4;
  constexpr int kEvents = 2000;
  strand<int> events(64);
  int sum = 0; // Guarded by the strand.
  const auto runAll = [&](const std::deque<int>& aEvents) {
    for (const int event : aEvents) {
      sum += event;
    }
  };
  std::thread owner([&] {
    while (!events.IsClosed()) {
      runAll(events.Begin(1ms));
      events.End();
    }
  });
  events.End();
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int i = 0; i < kWriters; ++i) {
    writers.emplace_back([&] {
      for (int j = 0; j < kEvents; ++j) {
        while (!events.Push(1)) {
          std::this_thread::yield();
        }
        if (const auto begun = events.TryBegin(); !begun.empty()) {
          runAll(begun);
          events.End();
        }
      }
    });
  }
  for (auto& writer : writers) {
    writer.join();
  }
  events.Close();
  owner.join();
  runAll(events.Begin(0ms));
  BOOST_TEST(sum == kWriters * kEvents);
}

BOOST_AUTO_TEST_SUITE_END()
