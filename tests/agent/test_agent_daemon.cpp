#include "agent/agent_daemon.h"
#include "libgooseberryio/clock.h"
#include "libgooseberryio/http_client.h"
#include "libgooseberryio/peer_client.h"
#include "libgooseberryio/platform_client.h"
#include "libgooseberryio/rows.h"
#include "platform/service.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <mutex>
#include <thread>

/** The agent's process with a real entry's server, table and target. */
using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr const char* kAgentPeers = "127.0.0.1:27411";
constexpr const char* kAgentHttp = "127.0.0.1:27412";
constexpr const char* kEntryPeers = "127.0.0.1:27413";
constexpr const char* kTarget = "127.0.0.1:27414";
constexpr const char* kPlatform = "127.0.0.1:27415";

/** Polls until it holds; false after 5 s. */
bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto end = io::Now() + 5s;
  while (io::Now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(2ms);
  }
  return false;
}

core::versioned_configuration
Configuration()
{
  configuration::desired_state desired;
  desired.mName = "test";
  desired.mFailureDomains["north"].mRegion = "here";
  desired.mServices["tabs"].mTargets = { "press-*" };
  return { 7, configuration::Format(desired) };
}

/** An entry that hands over its configuration and notes what it hears. */
class fake_entry
{
public:
  fake_entry()
    : mServer(kEntryPeers, Handlers())
  {
  }

  void Start() { BOOST_REQUIRE(!mServer.Start()); }

  std::vector<core::task_result> Results() const
  {
    const std::lock_guard lock(mMutex);
    return mResults;
  }

  core::agent_state State() const
  {
    const std::lock_guard lock(mMutex);
    return mState;
  }

private:
  io::entry_handlers Handlers()
  {
    io::entry_handlers handlers;
    handlers.mAnnounce = [this](const core::agent_state& aState) {
      return Hear(aState);
    };
    handlers.mFinish = [this](const core::finish_batch& aBatch) {
      const std::lock_guard lock(mMutex);
      mResults.insert(
        mResults.end(), aBatch.mResults.begin(), aBatch.mResults.end());
      return Reply(aBatch.mState);
    };
    handlers.mLocate = [](const auto&) {
      return std::vector<core::locate_reply>();
    };
    handlers.mCopyNotes = [](const auto&) {
      return core::copy_promises_reply();
    };
    handlers.mBeat = [](const auto&) { return core::heartbeat(); };
    handlers.mDeliver = [](const auto&) {};
    return handlers;
  }

  core::entry_reply Hear(const core::agent_state& aState)
  {
    const std::lock_guard lock(mMutex);
    mState = aState;
    return Reply(aState);
  }

  static core::entry_reply Reply(const core::agent_state& aState)
  {
    core::entry_reply reply;
    reply.mEntry = { "entry-1", 3 };
    reply.mGeneration = 7;
    reply.mLastContactAge = core::duration{};
    if (aState.mGeneration < reply.mGeneration) {
      reply.mConfiguration = Configuration();
    }
    return reply;
  }

  mutable std::mutex mMutex;
  std::vector<core::task_result> mResults;
  core::agent_state mState;
  io::entry_server mServer;
};

io::platform_settings
Platform()
{
  io::platform_settings platform;
  platform.mUrl = std::string("http://") + kPlatform;
  return platform;
}

agentd::daemon_settings
Settings()
{
  agentd::daemon_settings settings;
  settings.mControl.mAgent = { "press-host", 99 };
  settings.mControl.mAddress = kAgentPeers;
  settings.mControl.mFailureDomain = "north";
  settings.mControl.mLoadReportInterval = 50ms;
  settings.mListen = kAgentPeers;
  settings.mHttp.mAddress = kAgentHttp;
  settings.mMakeStore = [] {
    return std::make_unique<io::platform_client>(Platform());
  };
  return settings;
}

io::http_reply
Call(const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = {})
{
  io::http_client client;
  io::http_call call;
  call.mMethod = aMethod;
  call.mUrl = std::string("http://") + kAgentHttp + aPath;
  call.mBody = aBody;
  const auto result = client.Send(call);
  const auto* reply = std::get_if<io::http_reply>(&result);
  return reply == nullptr ? io::http_reply{} : *reply;
}

/** Table, entry, target and agent, all listening. */
struct process_world
{
  platform::service mPlatform{ kPlatform, 1 };
  fake_entry mEntry;
  io::http_server mTarget{ TargetSettings() };
  std::atomic<int> mCalls = 0;
  agentd::agent_daemon mAgent{ Settings() };

  process_world()
  {
    BOOST_REQUIRE(!mPlatform.Start());
    io::platform_client client(Platform());
    const membership::member_row row{
      membership::role::Entry, { "entry-1", 3 }, kEntryPeers, "north"
    };
    client.WriteRow(io::kMembersTable,
                    membership::RowKey(row),
                    io::FormatMember(row),
                    std::nullopt);
    mEntry.Start();
    mTarget.Route("POST", "/v1/tasks", [this](const auto& aRequest) {
      ++mCalls;
      return Answer(aRequest);
    });
    BOOST_REQUIRE(!mTarget.Start());
    BOOST_REQUIRE(!mAgent.Start());
  }

  static io::http_server_settings TargetSettings()
  {
    io::http_server_settings settings;
    settings.mAddress = kTarget;
    return settings;
  }

  static io::http_response Answer(const io::http_request& aRequest)
  {
    io::http_response response;
    if (aRequest.mBody == "slow") {
      std::this_thread::sleep_for(300ms);
    }
    response.mCutShort = aRequest.mBody == "cut";
    response.mStatus = aRequest.mBody == "bad" ? 500 : 200;
    response.mBody = aRequest.mHeaders.at("x-gooseberry-task") + " " +
                     aRequest.mHeaders.at("x-gooseberry-try") + " " +
                     aRequest.mHeaders.at("x-gooseberry-service") + " " +
                     aRequest.mHeaders.at("x-gooseberry-kind") + " " +
                     aRequest.mBody;
    return response;
  }

  void Join()
  {
    const std::string body = std::string(R"({"address":")") + kTarget +
                             R"(","services":["tabs"],"slots":2,)" +
                             R"("lease_ms":30000})";
    const auto reply = Call("PUT", "/v1/targets/press-1", body);
    BOOST_TEST(reply.mStatus == 200U);
    BOOST_TEST(reply.mBody == "{\"lease_ms\":3000}\n");
    BOOST_REQUIRE(Eventually([&] {
      const auto state = mEntry.State();
      return state.mOpen && state.mGeneration == 7 &&
             state.mTargets.size() == 1;
    }));
  }

  core::start_verdict Start(std::uint32_t aIndex, const std::string& aPayload)
  {
    core::task_start start;
    start.mTask = { "tabcraft/job", aIndex };
    start.mBallot = { 1, 3 };
    start.mPlacement = 1;
    start.mService = "tabs";
    start.mKind = "proof";
    start.mTarget = "press-1";
    start.mPayload = aPayload;
    core::start_batch batch;
    batch.mEntry = { "entry-1", 3 };
    batch.mEntryAddress = kEntryPeers;
    batch.mAgentIncarnation = 99;
    batch.mAgentTimestamp = mEntry.State().mTimestamp;
    batch.mStarts = { start };
    io::agent_client client(kAgentPeers, 500ms);
    const auto result = client.Start(batch);
    return std::get<core::start_reply>(result).mVerdicts.at(0);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_process)

BOOST_AUTO_TEST_CASE(runs_tasks_and_delivers_what_came_of_them)
{
  process_world world;
  world.Join();
  BOOST_TEST(Call("GET", "/readyz").mStatus == 200U);
  BOOST_TEST((world.Start(0, "plan") == core::start_verdict::Accepted));
  BOOST_REQUIRE(Eventually([&] { return world.mEntry.Results().size() == 1; }));
  BOOST_TEST((world.Start(1, "bad") == core::start_verdict::Accepted));
  BOOST_REQUIRE(Eventually([&] { return world.mEntry.Results().size() == 2; }));
  BOOST_TEST((world.Start(2, "cut") == core::start_verdict::Accepted));
  BOOST_REQUIRE(Eventually([&] { return world.mEntry.Results().size() == 3; }));
  BOOST_TEST((world.Start(0, "plan") == core::start_verdict::Accepted));

  const auto results = world.mEntry.Results();
  BOOST_TEST((results.at(0).mEnd == core::task_end::Succeeded));
  BOOST_TEST(results.at(0).mPayload == "tabcraft/job:0 1 tabs proof plan");
  BOOST_TEST((results.at(1).mEnd == core::task_end::Failed));
  BOOST_TEST((results.at(2).mEnd == core::task_end::Unknown));
  BOOST_TEST(world.mCalls == 3);
  const auto metrics = Call("GET", "/metrics").mBody;
  BOOST_TEST(metrics.find("gooseberry_messages_total") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(target_that_refuses_connections_gives_the_task_back)
{
  process_world world;
  world.Join();
  world.mTarget.Stop();
  BOOST_TEST((world.Start(0, "plan") == core::start_verdict::Accepted));
  BOOST_REQUIRE(Eventually([&] { return world.mEntry.Results().size() == 1; }));
  const auto result = world.mEntry.Results().at(0);
  BOOST_TEST((result.mEnd == core::task_end::Returned));
  BOOST_TEST((result.mReturnReason == core::start_verdict::NoTarget));
}

BOOST_AUTO_TEST_CASE(leaving_finishes_and_delivers_first)
{
  process_world world;
  world.Join();
  BOOST_TEST((world.Start(0, "slow") == core::start_verdict::Accepted));
  world.mAgent.Leave();
  BOOST_REQUIRE(Eventually([&] { return world.mEntry.State().mLeaving; }));
  BOOST_TEST(!world.mAgent.HasLeft());
  BOOST_TEST(Call("GET", "/readyz").mStatus == 503U);
  BOOST_TEST((world.Start(1, "plan") == core::start_verdict::Leaving));
  BOOST_REQUIRE(Eventually([&] { return world.mAgent.HasLeft(); }));
  BOOST_TEST((world.mEntry.Results().at(0).mEnd == core::task_end::Succeeded));
}

BOOST_AUTO_TEST_CASE(target_leaves_by_delete)
{
  process_world world;
  world.Join();
  BOOST_TEST(Call("DELETE", "/v1/targets/press-1").mStatus == 200U);
  BOOST_TEST((world.Start(0, "plan") == core::start_verdict::Leaving));
  const auto shown = Call("GET", "/v1/targets/press-1").mBody;
  BOOST_TEST(shown.find("\"leaving\":true") != std::string::npos);
  BOOST_TEST(shown.find("\"running\":0") != std::string::npos);
  BOOST_TEST(Call("DELETE", "/v1/targets/none").mStatus == 404U);
}

BOOST_AUTO_TEST_CASE(malformed_announcements_are_refused)
{
  process_world world;
  const auto put = [](const std::string& aBody) {
    return Call("PUT", "/v1/targets/press-1", aBody).mStatus;
  };
  for (
    const std::string bad : {
      "",
      "[]",
      "{",
      R"({"address":"x","services":["a"],"slots":1,"lease_ms":3000})",
      R"({"address":"1.2.3.4:0","services":["a"],"slots":1,"lease_ms":300})",
      R"({"address":"1.2.3.4:5","services":[],"slots":1,"lease_ms":3000})",
      R"({"address":"1.2.3.4:5","services":["a b"],"slots":1,"lease_ms":300})",
      R"({"address":"1.2.3.4:5","services":["a"],"slots":0,"lease_ms":3000})",
      R"({"address":"1.2.3.4:5","services":["a"],"slots":1.5,"lease_ms":300})",
      R"({"address":"1.2.3.4:5","services":["a"],"slots":1,"lease_ms":1})",
      R"({"address":"1.2.3.4:5","services":["a"],"slots":1})",
      R"({"address":"1.2.3.4:5","services":["a"],"slots":1,"lease_ms":300,"x":1})",
    }) {
    BOOST_TEST(put(bad) == 400U, bad);
  }
  BOOST_TEST(Call("GET", "/v1/targets").mBody == "{\"targets\":[]}\n");
}

BOOST_AUTO_TEST_SUITE_END()
