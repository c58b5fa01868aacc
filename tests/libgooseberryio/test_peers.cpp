#include "libgooseberryio/peer_client.h"
#include "libgooseberryio/peer_limits.h"
#include "libgooseberryio/peer_pool.h"
#include "libgooseberryio/peer_server.h"
#include "raw_socket.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <stdexcept>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr core::duration kDeadline = 20s; ///< Never reached in a good run.
constexpr core::duration kShortDeadline = 300ms; ///< Of calls to be lost.

/** An agent that accepts each start and counts the calls. */
struct test_agent
{
  test_agent()
    : mServer("127.0.0.1:0", Handlers())
  {
    BOOST_REQUIRE(!mServer.Start());
  }

  io::agent_handlers Handlers()
  {
    return {
      .mStart =
        [this](const core::start_batch& aBatch) {
          ++mStarts;
          if (aBatch.mGeneration == 666) {
            throw std::runtime_error("handler failed");
          }
          core::start_reply reply;
          reply.mState.mAgent.mName = "agent-1";
          reply.mVerdicts.resize(aBatch.mStarts.size());
          return reply;
        },
      .mCancel = [this](const core::cancel_batch&) { ++mCancels; },
      .mFence =
        [](const std::vector<core::fence_request>& aRequests) {
          std::vector<core::fence_reply> replies;
          replies.reserve(aRequests.size());
          for (const auto& request : aRequests) {
            replies.push_back({ .mAgent = {},
                                .mJob = request.mJob,
                                .mBallot = request.mBallot,
                                .mHolder = {},
                                .mStarted = {} });
          }
          return replies;
        },
      .mCopyFences =
        [](core::peer_ref aJoiner) {
          return core::copy_fences_reply{ std::move(aJoiner), true, {} };
        },
      .mApply =
        [](const core::versioned_configuration& aConfiguration) {
          return aConfiguration.mGeneration;
        },
    };
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

  std::atomic<int> mStarts = 0;
  std::atomic<int> mCancels = 0;
  io::agent_server mServer;
};

core::start_batch
BatchOf(std::size_t aTasks, std::size_t aPayloadBytes = 16)
{
  core::start_batch batch;
  core::task_start start;
  start.mTask.mJob = "team/job";
  start.mPayload.assign(aPayloadBytes, 'x');
  batch.mStarts.assign(aTasks, start);
  return batch;
}

template<typename Reply>
bool
IsReply(const io::call_result<Reply>& aResult)
{
  return std::holds_alternative<Reply>(aResult);
}

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

BOOST_AUTO_TEST_CASE(an_agent_answers_every_call)
{
  test_agent agent;
  io::agent_client client(agent.Address(), kDeadline);
  const auto started = client.Start(BatchOf(64));
  BOOST_REQUIRE(IsReply(started));
  const auto& reply = std::get<core::start_reply>(started);
  BOOST_TEST(reply.mVerdicts.size() == 64U);
  BOOST_TEST(reply.mState.mAgent.mName == "agent-1");
  BOOST_TEST(IsReply(client.Cancel({ {}, { "team/job" } })));
  BOOST_TEST(agent.mCancels == 1);
  const auto fenced =
    client.Fence({ { {}, "", "a", {} }, { {}, "", "b", {} } });
  BOOST_REQUIRE(IsReply(fenced));
  BOOST_TEST(std::get<0>(fenced).at(1).mJob == "b");
  const auto copied = client.CopyFences({ "agent-2", 3 });
  BOOST_REQUIRE(IsReply(copied));
  BOOST_TEST(std::get<0>(copied).mAgent.mIncarnation == 3U);
  const auto applied = client.Apply({ 12, "text" });
  BOOST_REQUIRE(IsReply(applied));
  BOOST_TEST(std::get<0>(applied) == 12U);
}

BOOST_AUTO_TEST_CASE(an_entry_answers_every_call)
{
  std::atomic<int> delivered = 0;
  io::entry_server server(
    "127.0.0.1:0",
    { .mAnnounce =
        [](const core::agent_state& aState) {
          core::entry_reply reply;
          reply.mEntries["heard"] = aState.mAgent.mName;
          return reply;
        },
      .mFinish =
        [](const core::finish_batch& aBatch) {
          core::entry_reply reply;
          reply.mGeneration = aBatch.mResults.size();
          return reply;
        },
      .mLocate =
        [](const std::vector<core::locate_request>& aRequests) {
          return std::vector<core::locate_reply>(aRequests.size());
        },
      .mCopyNotes =
        [](core::peer_ref aJoiner) {
          return core::copy_promises_reply{ std::move(aJoiner), true, {} };
        },
      .mBeat = [](core::heartbeat aBeat) { return aBeat; },
      .mDeliver = [&](const core::deliver_request&) { ++delivered; } });
  BOOST_REQUIRE(!server.Start());
  io::entry_client client("127.0.0.1:" + std::to_string(server.Port()),
                          kDeadline);
  core::agent_state state;
  state.mAgent.mName = "agent-1";
  const auto announced = client.Announce(state);
  BOOST_REQUIRE(IsReply(announced));
  BOOST_TEST(std::get<0>(announced).mEntries.at("heard") == "agent-1");
  const auto finished = client.Finish({ state, { {}, {} } });
  BOOST_REQUIRE(IsReply(finished));
  BOOST_TEST(std::get<0>(finished).mGeneration == 2U);
  const auto located = client.Locate(std::vector<core::locate_request>(3));
  BOOST_REQUIRE(IsReply(located));
  BOOST_TEST(std::get<0>(located).size() == 3U);
  BOOST_TEST(IsReply(client.CopyNotes({ "entry-2", 1 })));
  core::heartbeat beat;
  beat.mAddress = "127.0.0.1:5";
  const auto answered = client.Beat(beat);
  BOOST_REQUIRE(IsReply(answered));
  BOOST_TEST(std::get<0>(answered).mAddress == "127.0.0.1:5");
  BOOST_TEST(IsReply(client.Deliver({})));
  BOOST_TEST(delivered == 1);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_delivered_nothing)
{
  std::string address;
  {
    const test_agent agent;
    address = agent.Address();
  }
  io::agent_client client(address, kDeadline);
  const auto result = client.Start(BatchOf(1));
  BOOST_REQUIRE(!IsReply(result));
  const auto& failure = std::get<io::call_error>(result);
  BOOST_TEST(!failure.mDelivered);
  BOOST_TEST(failure.mError.mStep == "start");
  BOOST_TEST(failure.mError.mPeer == address);
}

BOOST_AUTO_TEST_CASE(a_silent_connection_costs_one_deadline)
{
  test_agent agent;
  const test::forgetful_relay relay(agent.mServer.Port(), 1);
  io::agent_client client(relay.Address(), kShortDeadline);
  const auto lost = client.Start(BatchOf(1));
  BOOST_REQUIRE(!IsReply(lost));
  BOOST_TEST(std::get<io::call_error>(lost).mDelivered);
  // On a new connection. It may be slow to come up on a busy machine.
  bool isAnswered = false;
  for (int i = 0; i < 20 && !isAnswered; ++i) {
    isAnswered = IsReply(client.Start(BatchOf(1)));
  }
  BOOST_TEST(isAnswered);
  BOOST_TEST(relay.Accepted() >= 2);
}

BOOST_AUTO_TEST_CASE(a_connection_is_kept_between_calls)
{
  test_agent agent;
  const test::forgetful_relay relay(agent.mServer.Port(), 0);
  {
    io::agent_client client(relay.Address(), kDeadline);
    for (int i = 0; i < 5; ++i) {
      BOOST_TEST(IsReply(client.Start(BatchOf(1))));
    }
  }
  BOOST_TEST(relay.Accepted() == 1);
}

BOOST_AUTO_TEST_CASE(a_kept_connection_carries_more_than_one_message_may)
{
  constexpr std::size_t kPayload = std::size_t{ 4 } << 20U;
  test_agent agent;
  io::agent_client client(agent.Address(), kDeadline);
  for (std::size_t sent = 0; sent < std::size_t{ 2 } * io::kMaxFrameBytes;
       sent += kPayload) {
    const auto result = client.Start(BatchOf(1, kPayload));
    BOOST_REQUIRE(IsReply(result));
  }
}

BOOST_AUTO_TEST_CASE(a_restarted_peer_is_found_without_a_lost_call)
{
  auto agent = std::make_unique<test_agent>();
  const auto address = agent->Address();
  const auto port = agent->mServer.Port();
  io::agent_client client(address, kDeadline);
  BOOST_TEST(IsReply(client.Start(BatchOf(1))));
  agent->mServer.Stop();
  test_agent other; // Its handlers serve at the old address.
  io::agent_server again("127.0.0.1:" + std::to_string(port), other.Handlers());
  BOOST_REQUIRE(!again.Start());
  BOOST_TEST(IsReply(client.Start(BatchOf(1))));
  BOOST_TEST(other.mStarts == 1);
}

BOOST_AUTO_TEST_CASE(a_message_that_is_too_large_is_not_sent)
{
  test_agent agent;
  io::agent_client client(agent.Address(), kDeadline);
  const auto result = client.Start(BatchOf(1, io::kMaxFrameBytes + 1));
  BOOST_REQUIRE(!IsReply(result));
  BOOST_TEST(!std::get<io::call_error>(result).mDelivered);
  BOOST_TEST(IsReply(client.Start(BatchOf(1))));
  BOOST_TEST(agent.mStarts == 1);
}

BOOST_AUTO_TEST_CASE(garbage_harms_nobody_else)
{
  test_agent agent;
  io::agent_client client(agent.Address(), kDeadline);
  BOOST_TEST(IsReply(client.Start(BatchOf(1))));
  // Frames above the bound: closed at once.
  for (const auto& garbage : { std::string("GET / HTTP/1.1\r\n\r\n"),
                               std::string("\x7f\xff\xff\xff", 4),
                               std::string("\xff\xff\xff\xff", 4) }) {
    const test::raw_socket socket(agent.mServer.Port());
    BOOST_TEST(socket.Send(garbage));
    BOOST_TEST(socket.ReceiveAll().empty());
  }
  // Frames that hold no call: more may follow, until the end.
  for (const auto& garbage : { std::string("\0\0\0\x08garbage!", 12),
                               std::string("\0\0\0\x05\x82\x21\x01\xff\xff", 9),
                               std::string("\0\0\1\0short", 9) }) {
    const test::raw_socket socket(agent.mServer.Port());
    BOOST_TEST(socket.Send(garbage));
    socket.EndSending();
    BOOST_TEST(socket.ReceiveAll().empty());
  }
  BOOST_TEST(IsReply(client.Start(BatchOf(1))));
}

BOOST_AUTO_TEST_CASE(a_handler_that_fails_harms_only_its_call)
{
  test_agent agent;
  io::agent_client client(agent.Address(), kDeadline);
  auto batch = BatchOf(1);
  batch.mGeneration = 666;
  const auto result = client.Start(batch);
  BOOST_REQUIRE(!IsReply(result));
  BOOST_TEST(std::get<io::call_error>(result).mDelivered);
  BOOST_TEST(IsReply(client.Start(BatchOf(1))));
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_an_error)
{
  test_agent agent;
  io::agent_server second(agent.Address(), agent.Handlers());
  const auto failure = second.Start();
  BOOST_REQUIRE(failure.has_value());
  BOOST_TEST(failure->mPeer == agent.Address());
  io::agent_server nameless("localhost:1", agent.Handlers());
  BOOST_TEST(nameless.Start().has_value());
}

BOOST_AUTO_TEST_CASE(a_pool_runs_calls_on_other_threads)
{
  test_agent agent;
  io::peer_pool<io::agent_client> pool({ .mDeadline = kDeadline });
  std::vector<std::future<bool>> answers;
  for (int i = 0; i < 50; ++i) {
    auto answer = std::make_shared<std::promise<bool>>();
    answers.push_back(answer->get_future());
    BOOST_REQUIRE(pool.Post(agent.Address(),
                            i % 2 == 0 ? io::lane::Bulk : io::lane::Control,
                            [answer](io::agent_client& aClient) {
                              answer->set_value(
                                IsReply(aClient.Start(BatchOf(1))));
                            }));
  }
  for (auto& answer : answers) {
    BOOST_TEST(answer.get());
  }
  BOOST_TEST(agent.mStarts == 50);
  pool.Stop();
  BOOST_TEST(!pool.Post(
    agent.Address(), io::lane::Bulk, [](const io::agent_client&) {}));
}

BOOST_AUTO_TEST_CASE(a_stuck_lane_is_bounded_and_leaves_the_other_free)
{
  test_agent agent;
  std::promise<void> release;
  const auto released = release.get_future().share();
  std::promise<void> running;
  std::promise<bool> answer;
  io::peer_pool<io::agent_client> pool(
    { .mDeadline = kDeadline, .mQueueLimit = 3, .mBulkConnections = 1 });
  BOOST_TEST(
    pool.Post(agent.Address(), io::lane::Bulk, [&](const io::agent_client&) {
      running.set_value();
      released.wait();
    }));
  running.get_future().wait();
  const auto nothing = [](const io::agent_client&) {};
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(pool.Post(agent.Address(), io::lane::Bulk, nothing));
  }
  BOOST_TEST(!pool.Post(agent.Address(), io::lane::Bulk, nothing));
  BOOST_TEST(pool.Post(
    agent.Address(), io::lane::Control, [&](io::agent_client& aClient) {
      answer.set_value(IsReply(aClient.Cancel({})));
    }));
  BOOST_TEST(answer.get_future().get());
  release.set_value();
}

BOOST_AUTO_TEST_CASE(idle_peers_are_forgotten)
{
  test_agent agent;
  io::peer_pool<io::agent_client> pool(
    { .mDeadline = kDeadline, .mIdleTime = 1ms });
  for (int round = 0; round < 3; ++round) {
    std::promise<void> done;
    BOOST_TEST(pool.Post(agent.Address(),
                         io::lane::Control,
                         [&](const io::agent_client&) { done.set_value(); }));
    done.get_future().wait();
    while (pool.PeerCount() > 0) {
      std::this_thread::yield();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
