#include "libgooseberryio/event_queue.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <thread>
#include <vector>

using gooseberry::io::event_queue;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(events)

BOOST_AUTO_TEST_CASE(a_full_queue_refuses_and_keeps_order)
{
  event_queue<int> queue(2);
  BOOST_TEST(queue.Push(1));
  BOOST_TEST(queue.Push(2));
  BOOST_TEST(!queue.Push(3));
  BOOST_TEST(queue.Pop(0ms).value() == 1);
  BOOST_TEST(queue.Push(4));
  const auto rest = queue.PopAll(0ms);
  BOOST_TEST((rest == std::deque<int>{ 2, 4 }));
  BOOST_TEST(!queue.Pop(1ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_closed_queue_refuses_but_hands_out_the_rest)
{
  event_queue<std::unique_ptr<int>> queue(2);
  BOOST_TEST(queue.Push(std::make_unique<int>(1)));
  queue.Close();
  BOOST_TEST(!queue.Push(std::make_unique<int>(2)));
  BOOST_TEST(queue.Pop(1min).has_value());
  BOOST_TEST(!queue.Pop(1min).has_value()); // Returns at once.
}

BOOST_AUTO_TEST_CASE(many_writers_lose_nothing)
{
  constexpr int kWriters = 4;
  constexpr int kEvents = 1000;
  event_queue<int> queue(64);
  std::vector<std::thread> writers;
  writers.reserve(kWriters);
  for (int i = 0; i < kWriters; ++i) {
    writers.emplace_back([&queue] {
      for (int j = 0; j < kEvents; ++j) {
        while (!queue.Push(1)) {
          std::this_thread::yield();
        }
      }
    });
  }
  int sum = 0;
  while (sum < kWriters * kEvents) {
    const auto event = queue.Pop(1min);
    BOOST_REQUIRE(event.has_value());
    sum += *event;
  }
  for (auto& writer : writers) {
    writer.join();
  }
  BOOST_TEST(queue.Size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
