#include "platform/caller_front.h"

#include "libgooseberryio/clock.h"
#include "libgooseberryio/http_client.h"
#include "platform/store_client.h"
#include "store_standin.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr const char* kJob = "0123456789abcdef";
/** Longer than any case, so that a busy machine ages no configuration. */
constexpr core::duration kFreshnessBound = 60s;
constexpr core::duration kOld = 2 * kFreshnessBound;
constexpr const char* kBody = R"({"spec":"x","bestEffort":true,)"
                              R"("steps":[{"count":1,"cpu":100}]})";

/** The operators' configuration: one queue at `/q/` of a service. */
entry::configuration_row
OneQueue()
{
  return { { 1,
             "[state]\nformat = 1\nname = x\n[failure_domain d]\nregion = r\n"
             "state = in\n[service plans]\ntargets = *\n[queue orders]\n"
             "host = 127.0.0.1\npath = /q/\nservice = plans\n" },
           "",
           "",
           1 };
}

entry_program::process_options
Options(const test::store_standin& aStore)
{
  entry_program::process_options options;
  options.mEntry.mName = "e";
  options.mEntry.mAddress = "127.0.0.1:0";
  options.mEntry.mLeasedRuns = true;
  options.mEntry.mFreshnessBound = kFreshnessBound;
  options.mMakeStore =
    platform::StoreFactory(aStore.Settings(), io::platform_adapter{});
  return options;
}

/** An entry behind the callers' front, with no target yet. */
struct front_fixture
{
  test::store_standin mStore;
  entry_program::entry_process mEntry{ Options(mStore) };
  io::http_server mServer{ io::http_server_settings{} };

  front_fixture()
  {
    platform::RouteCallers(mServer, mEntry);
    BOOST_REQUIRE(!mEntry.Start());
    BOOST_REQUIRE(!mServer.Start());
  }

  ~front_fixture() { mServer.Stop(); }

  /** Has the entry handle a read of its configuration that old. */
  void Configure(core::duration aAge = {})
  {
    mEntry.Loop().Ask([aAge](auto& aControl, auto aNow, auto& aEffects) {
      entry::OnConfigurationRead(
        aControl, OneQueue(), aNow - aAge, aNow, aEffects);
      return true;
    });
  }

  /** The answer; status 0 without one. */
  io::http_reply Send(const char* aMethod,
                      const std::string& aPath,
                      const std::string& aBody = {},
                      core::duration aDeadline = 5s,
                      const std::string& aCallerDeadline = {})
  {
    io::http_client client;
    io::http_call call;
    call.mMethod = aMethod;
    call.mUrl = "http://127.0.0.1:" + std::to_string(mServer.Port()) + aPath;
    call.mBody = aBody;
    call.mDeadline = aDeadline;
    if (!aCallerDeadline.empty()) {
      call.mHeaders["Gooseberrywing-Deadline-Ms"] = aCallerDeadline;
    }
    auto result = client.Send(call);
    auto* const reply = std::get_if<io::http_reply>(&result);
    return reply == nullptr ? io::http_reply{} : std::move(*reply);
  }

  /** The status of a POST; 0 without an answer. */
  unsigned Post(const std::string& aPath,
                const std::string& aBody,
                core::duration aDeadline = 5s,
                const std::string& aCallerDeadline = {})
  {
    return Send("POST", aPath, aBody, aDeadline, aCallerDeadline).mStatus;
  }

  /** Waits until the job is open, or not, for five seconds at most. */
  void AwaitOpen(bool aOpen)
  {
    const auto since = io::Now();
    while (IsOpen() != aOpen && io::Now() - since < 5s) {
      std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(IsOpen() == aOpen);
  }

  /** Sends a request and its end in one segment; waits for the answer. */
  void SendAndLeave(const std::string& aRequest)
  {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(mServer.Port());
    BOOST_REQUIRE(connect(connection,
                          reinterpret_cast<const sockaddr*>(&address), // NOLINT
                          sizeof address) == 0);
    const int isCorked = 1;
    BOOST_REQUIRE(
      setsockopt(
        connection, IPPROTO_TCP, TCP_CORK, &isCorked, sizeof isCorked) == 0);
    BOOST_REQUIRE(send(connection, aRequest.data(), aRequest.size(), 0) ==
                  static_cast<ssize_t>(aRequest.size()));
    shutdown(connection, SHUT_WR);
    std::array<char, 1024> answer{};
    while (recv(connection, answer.data(), answer.size(), 0) > 0) {
    }
    close(connection);
  }

  std::uint64_t Submissions()
  {
    return mEntry.Loop().Ask([](auto& aControl, auto, auto&) {
      return aControl.mCounters.mSubmissions;
    });
  }

  bool IsOpen()
  {
    return mEntry.Loop().Ask([](auto& aControl, auto, auto&) {
      const auto found = aControl.mLedger.mJobs.find(kJob);
      return found != aControl.mLedger.mJobs.end() &&
             found->second->mPhase != job::phase::Ended;
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_front)

BOOST_FIXTURE_TEST_CASE(without_a_configuration_nothing_is_known, front_fixture)
{
  BOOST_TEST(Post("/q/" + std::string(kJob), kBody) == 503U);
  BOOST_TEST(Post("/q/x", kBody) == 503U);
}

BOOST_FIXTURE_TEST_CASE(unknown_paths_and_malformed_jobs_are_told_apart,
                        front_fixture)
{
  Configure();
  const std::string path = "/q/" + std::string(kJob);
  BOOST_TEST(Post("/other/" + std::string(kJob), kBody) == 404U);
  BOOST_TEST(Post("/other/" + std::string(kJob), "{") == 404U);
  BOOST_TEST(Post(path, "{") == 400U);
  BOOST_TEST(Post("/q/short", kBody) == 400U);
  BOOST_TEST(Post("/q/more/" + std::string(kJob), kBody) == 400U);
  BOOST_TEST(!IsOpen());
}

// An entry that had not read for long denied a queue that operators had
// added meanwhile, and counted the jobs of one that they had removed.
BOOST_FIXTURE_TEST_CASE(an_old_configuration_denies_no_queue, front_fixture)
{
  Configure(kOld);
  const std::string job = "/other/" + std::string(kJob);
  for (const char* const method : { "POST", "GET", "DELETE" }) {
    BOOST_TEST_CONTEXT(method)
    {
      const auto reply = Send(method, job, kBody);
      BOOST_TEST(reply.mStatus == 503U);
      BOOST_TEST(reply.mHeaders.contains("retry-after"));
    }
  }
  BOOST_TEST(Send("GET", "/other/").mStatus == 503U);
  BOOST_TEST(Send("GET", "/q/").mStatus == 503U);
}

BOOST_FIXTURE_TEST_CASE(an_old_configuration_still_takes_jobs, front_fixture)
{
  Configure(kOld);
  std::thread caller([this] {
    const unsigned none = 0; // The job waits for a target.
    BOOST_TEST(Post("/q/" + std::string(kJob), kBody, 300ms) == none);
  });
  AwaitOpen(true);
  caller.join();
}

BOOST_FIXTURE_TEST_CASE(a_recent_configuration_tells_queues_apart,
                        front_fixture)
{
  Configure();
  BOOST_TEST(Send("GET", "/other/").mStatus == 404U);
  BOOST_TEST(Send("GET", "/q/").mStatus == 200U);
  BOOST_TEST(Send("GET", "/q/" + std::string(kJob)).mStatus == 410U);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_ends_its_job_at_once,
                        front_fixture)
{
  Configure();
  // No target has come yet, so that the job waits.
  std::thread caller([this] {
    const unsigned none = 0;
    BOOST_TEST(Post("/q/" + std::string(kJob), kBody, 300ms) == none);
  });
  AwaitOpen(true);
  caller.join();
  const auto left = io::Now();
  AwaitOpen(false);
  // Of the job's deadline, which is that of its queue, far more is left.
  BOOST_TEST((io::Now() - left < 1s));
}

BOOST_FIXTURE_TEST_CASE(a_deadline_beyond_all_times_is_that_of_the_queue,
                        front_fixture)
{
  Configure();
  for (const char* const deadline : { "9223372036854775807",
                                      "9223372036854776",
                                      "99999999999999999999",
                                      "-5",
                                      "1e9",
                                      "5x" }) {
    BOOST_TEST_CONTEXT(deadline)
    {
      const unsigned none = 0; // The job waits for a target.
      BOOST_TEST(Post("/q/" + std::string(kJob), kBody, 100ms, deadline) ==
                 none);
    }
  }
}

// TWICE: an entry that had stood still took up what its caller had sent
// elsewhere since.
BOOST_FIXTURE_TEST_CASE(a_job_whose_caller_has_left_before_is_not_taken_up,
                        front_fixture)
{
  Configure();
  SendAndLeave("POST /q/" + std::string(kJob) +
               " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
               std::to_string(std::string_view(kBody).size()) + "\r\n\r\n" +
               kBody);
  BOOST_TEST(Submissions() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
