#include "libgooseberryio/close_watch.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <future>
#include <sys/socket.h>
#include <unistd.h>

using namespace gooseberry;

namespace {

/** Two connected sockets. */
struct socket_pair
{
  socket_pair()
  {
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, mEnds.data()) == 0);
  }
  ~socket_pair()
  {
    close(mEnds[0]);
    CloseOther();
  }
  socket_pair(const socket_pair&) = delete;
  socket_pair& operator=(const socket_pair&) = delete;

  void CloseOther()
  {
    if (mEnds[1] >= 0) {
      close(std::exchange(mEnds[1], -1));
    }
  }

  std::array<int, 2> mEnds{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(close_watch_suite)

BOOST_AUTO_TEST_CASE(a_closed_connection_is_seen_behind_nothing_unread)
{
  socket_pair sockets;
  BOOST_TEST(!io::IsClosedByPeer(sockets.mEnds[0]));
  BOOST_REQUIRE(send(sockets.mEnds[1], "x", 1, 0) == 1);
  BOOST_TEST(!io::IsClosedByPeer(sockets.mEnds[0]));
  char read = 0;
  BOOST_REQUIRE(recv(sockets.mEnds[0], &read, 1, 0) == 1);
  sockets.CloseOther();
  BOOST_TEST(io::IsClosedByPeer(sockets.mEnds[0]));
}

BOOST_AUTO_TEST_CASE(a_closed_connection_is_told_once)
{
  socket_pair left;
  socket_pair stays;
  std::promise<void> closed;
  std::atomic<int> calls = 0;
  std::atomic<int> callsOfOther = 0;
  io::close_watch watch;
  const auto id = watch.Add(left.mEnds[0], [&] {
    ++calls;
    closed.set_value();
  });
  const auto other = watch.Add(stays.mEnds[0], [&] { ++callsOfOther; });
  left.CloseOther();
  closed.get_future().wait();
  watch.Remove(id);
  watch.Remove(other);
  BOOST_TEST(calls == 1);
  BOOST_TEST(callsOfOther == 0);
}

BOOST_AUTO_TEST_CASE(what_arrives_on_a_connection_is_not_its_end)
{
  socket_pair busy;
  socket_pair last;
  std::promise<void> closed;
  std::atomic<int> calls = 0;
  io::close_watch watch;
  const auto id = watch.Add(busy.mEnds[0], [&] { ++calls; });
  const auto end = watch.Add(last.mEnds[0], [&] { closed.set_value(); });
  BOOST_REQUIRE(write(busy.mEnds[1], "next request", 12) == 12);
  // Later than the bytes, and seen by the same thread.
  last.CloseOther();
  closed.get_future().wait();
  BOOST_TEST(calls == 0);
  watch.Remove(id);
  watch.Remove(end);
}

BOOST_AUTO_TEST_CASE(a_connection_may_be_watched_again)
{
  socket_pair kept;
  io::close_watch watch;
  watch.Remove(watch.Add(kept.mEnds[0], [] {}));
  std::promise<void> closed;
  const auto id = watch.Add(kept.mEnds[0], [&] { closed.set_value(); });
  kept.CloseOther();
  closed.get_future().wait();
  watch.Remove(id);
}

BOOST_AUTO_TEST_CASE(a_watch_of_a_connection_that_is_closed_already_tells)
{
  socket_pair gone;
  gone.CloseOther();
  std::promise<void> closed;
  io::close_watch watch;
  const auto id = watch.Add(gone.mEnds[0], [&] { closed.set_value(); });
  closed.get_future().wait();
  watch.Remove(id);
}

BOOST_AUTO_TEST_SUITE_END()
