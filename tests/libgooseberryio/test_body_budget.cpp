#include "libgooseberryio/body_budget.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxBody = 100'000;
constexpr std::size_t kMaxBytes = 400'000;
constexpr core::instant kStart{ 1h };

io::open_connection
Connection(io::connection_phase aPhase, core::duration aAge)
{
  return { .mPhase = aPhase, .mSince = kStart - aAge };
}

bool
Is(const std::optional<io::drop_reason>& aReason, io::drop_reason aExpected)
{
  return aReason == aExpected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(body_budget)

// Guards against memory that grows with the number of callers.
BOOST_AUTO_TEST_CASE(large_bodies_leave_room_for_small_ones)
{
  io::body_budget budget(kMaxBytes, kMaxBody);
  std::vector<std::unique_ptr<io::arriving_body>> crowd;
  const std::string half(kMaxBody / 2, 'x');
  std::size_t refused = 0;
  for (int i = 0; i < 100; ++i) {
    auto& body =
      crowd.emplace_back(std::make_unique<io::arriving_body>(budget, kMaxBody));
    refused += body->Append(half) ? 1 : 0;
  }
  BOOST_TEST(refused > 0U);
  BOOST_TEST(budget.Used() <= kMaxBytes - kMaxBytes / 4);
  io::arriving_body large(budget, kMaxBody);
  BOOST_TEST(Is(large.Announce(kMaxBody), io::drop_reason::BuffersFull));
  io::arriving_body small(budget, kMaxBody);
  BOOST_TEST(!small.Announce(4'000));
  BOOST_TEST(!small.Append(std::string(4'000, 'x')));
  crowd.clear();
  small.Release();
  BOOST_TEST(budget.Used() == 0U);
}

// Guards against a smallest budget that refuses every body of full size.
BOOST_AUTO_TEST_CASE(a_single_body_of_full_size_always_has_room)
{
  io::body_budget budget(kMaxBody, kMaxBody);
  io::arriving_body body(budget, kMaxBody);
  BOOST_TEST(!body.Announce(std::nullopt));
  for (std::size_t i = 0; i < kMaxBody; ++i) {
    BOOST_REQUIRE(!body.Append("x"));
  }
  BOOST_TEST(budget.Used() == kMaxBody);
  BOOST_TEST(Is(body.Append("x"), io::drop_reason::BodyTooLarge));
  BOOST_TEST(body.TakeText().size() == kMaxBody);
}

BOOST_AUTO_TEST_CASE(a_body_is_held_to_its_announced_length)
{
  io::body_budget budget(kMaxBytes, kMaxBody);
  io::arriving_body far(budget, kMaxBody);
  BOOST_TEST(Is(far.Announce(kMaxBody + 1), io::drop_reason::BodyTooLarge));
  io::arriving_body body(budget, kMaxBody);
  BOOST_TEST(!body.Announce(10));
  BOOST_TEST(budget.Used() == 0U); // What is announced takes no room yet.
  BOOST_TEST(!body.Append("12345"));
  BOOST_TEST(budget.Used() == 10U);
  BOOST_TEST(Is(body.Append("678901"), io::drop_reason::BodyTooLarge));
}

// Guards against unfinished requests that hold the connections of others.
BOOST_AUTO_TEST_CASE(the_oldest_unfinished_request_is_closed_first)
{
  using enum io::connection_phase;
  io::open_connections open{
    { 1, Connection(Handled, 9s) },  { 2, Connection(Kept, 9s) },
    { 3, Connection(New, 8s) },      { 4, Connection(Arriving, 2s) },
    { 5, Connection(Arriving, 3s) }, { 6, Connection(Arriving, 10ms) }
  };
  for (const int expected : { 5, 4, 3 }) {
    const auto chosen = io::ChooseUnfinished(open, kStart);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(*chosen == expected);
    open.at(*chosen).mIsClosing = true;
  }
  BOOST_TEST(!io::ChooseUnfinished(open, kStart).has_value());
}

// Guards against answered connections that are kept open and leave no room for
// others until they time out.
BOOST_AUTO_TEST_CASE(the_connection_that_was_idle_longest_is_closed)
{
  using enum io::connection_phase;
  io::open_connections open{ { 1, Connection(Handled, 9s) },
                             { 2, Connection(Kept, 3s) },
                             { 3, Connection(Kept, 8s) },
                             { 4, Connection(Kept, 10ms) },
                             { 5, Connection(Arriving, 9s) } };
  for (const int expected : { 3, 2 }) {
    const auto chosen = io::ChooseIdle(open, kStart);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(*chosen == expected);
    open.at(*chosen).mIsClosing = true;
  }
  BOOST_TEST(!io::ChooseIdle(open, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(requests_in_arrival_are_late_before_idle_connections)
{
  using enum io::connection_phase;
  const io::arrival_limits limits{ .mIdleTimeout = 30s,
                                   .mBodyTimeout = 10s,
                                   .mMaxConnections = 32 };
  BOOST_TEST(io::IsLate(Connection(Arriving, 11s), limits, kStart));
  BOOST_TEST(!io::IsLate(Connection(Kept, 11s), limits, kStart));
  BOOST_TEST(io::IsLate(Connection(New, 31s), limits, kStart));
  BOOST_TEST(!io::IsLate(Connection(Handled, 1h), limits, kStart));
  io::open_connections open;
  for (int i = 0; i < 30; ++i) {
    open.emplace(i, Connection(Kept, 1s));
  }
  BOOST_TEST(!io::IsShort(open, limits));
  open.emplace(30, Connection(Kept, 1s));
  BOOST_TEST(io::IsShort(open, limits));
}

BOOST_AUTO_TEST_SUITE_END()
