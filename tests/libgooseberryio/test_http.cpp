#include "libgooseberryio/http_client.h"
#include "libgooseberryio/http_route.h"
#include "libgooseberryio/http_server.h"
#include "libgooseberryio/json.h"
#include "raw_socket.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <future>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxBody = 1000;
constexpr std::string_view kGet = "GET /echo/a HTTP/1.1\r\nHost: x\r\n\r\n";

/** A server that echoes what it got. */
struct test_server
{
  explicit test_server(
    const io::http_server_settings& aSettings = { .mMaxBody = kMaxBody })
    : mServer(aSettings)
  {
    mServer.Route("POST", "/echo/:name", [](const io::http_request& aRequest) {
      io::http_response response;
      response.mStatus = 201;
      response.mHeaders["X-Name"] = aRequest.mPathParameters.at("name");
      const auto query = aRequest.mQuery.find("q");
      response.mHeaders["X-Query"] =
        query == aRequest.mQuery.end() ? "" : query->second;
      response.mBody = aRequest.mBody;
      return response;
    });
    mServer.Route("GET", "/fail", [](const io::http_request&) {
      throw std::runtime_error("secret detail");
      return io::http_response{};
    });
    mServer.Route("GET", "/cut", [](const io::http_request&) {
      return io::http_response{ .mCutShort = true };
    });
    mServer.Route("GET", "/wait", [this](const io::http_request&) {
      mWaiting.set_value();
      mRelease.get_future().wait();
      return io::http_response{ .mBody = "done" };
    });
    BOOST_REQUIRE(!mServer.Start());
  }

  io::http_call Call(const std::string& aMethod, const std::string& aPath) const
  {
    io::http_call call;
    call.mMethod = aMethod;
    call.mUrl = "http://127.0.0.1:" + std::to_string(mServer.Port()) + aPath;
    call.mDeadline = 20s;
    call.mConnectDeadline = 20s;
    return call;
  }

  std::promise<void> mWaiting;
  std::promise<void> mRelease;
  io::http_server mServer;
};

unsigned
StatusOf(const io::call_result<io::http_reply>& aResult)
{
  const auto* const reply = std::get_if<io::http_reply>(&aResult);
  return reply == nullptr ? 0 : reply->mStatus;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(requests_reach_their_handlers_whole)
{
  const test_server server;
  io::http_client client;
  auto call = server.Call("POST", "/echo/a%2Fb%20c?q=1%262&r=");
  call.mBody = std::string("x\0y\xff", 4);
  const auto result = client.Send(call);
  BOOST_REQUIRE(StatusOf(result) == 201);
  const auto& reply = std::get<io::http_reply>(result);
  BOOST_TEST(reply.mBody == call.mBody);
  BOOST_TEST(reply.mHeaders.at("x-name") == "a/b c");
  BOOST_TEST(reply.mHeaders.at("x-query") == "1&2");
  BOOST_TEST(reply.mHeaders.at("content-type") == "application/json");
}

BOOST_AUTO_TEST_CASE(bad_requests_get_their_status)
{
  const test_server server;
  io::http_client client;
  BOOST_TEST(StatusOf(client.Send(server.Call("GET", "/nowhere"))) == 404U);
  BOOST_TEST(StatusOf(client.Send(server.Call("POST", "/echo"))) == 404U);
  BOOST_TEST(StatusOf(client.Send(server.Call("POST", "/echo/a%zz"))) == 400U);
  BOOST_TEST(StatusOf(client.Send(server.Call("GET", "/fail"))) == 500U);
  const auto result = client.Send(server.Call("PUT", "/echo/a"));
  BOOST_REQUIRE(StatusOf(result) == 405);
  BOOST_TEST(std::get<io::http_reply>(result).mHeaders.at("allow") == "POST");
}

BOOST_AUTO_TEST_CASE(bodies_are_bounded)
{
  const test_server server;
  io::http_client client;
  auto call = server.Call("POST", "/echo/a");
  call.mBody.assign(kMaxBody, 'x');
  BOOST_TEST(StatusOf(client.Send(call)) == 201U);
  call.mBody.assign(kMaxBody + 1, 'x');
  BOOST_TEST(StatusOf(client.Send(call)) == 413U);
  call.mBody.assign(100 * kMaxBody, 'x');
  BOOST_TEST(StatusOf(client.Send(call)) == 413U);
}

BOOST_AUTO_TEST_CASE(requests_in_progress_are_bounded)
{
  test_server server({ .mMaxRequests = 1 });
  auto first = std::async(std::launch::async, [&] {
    io::http_client client;
    return StatusOf(client.Send(server.Call("GET", "/wait")));
  });
  server.mWaiting.get_future().wait();
  io::http_client client;
  const auto second = client.Send(server.Call("POST", "/echo/a"));
  BOOST_TEST(StatusOf(second) == 503U);
  server.mRelease.set_value();
  BOOST_TEST(first.get() == 200U);
}

BOOST_AUTO_TEST_CASE(a_stop_cuts_no_request_in_progress)
{
  test_server server;
  auto answer = std::async(std::launch::async, [&] {
    io::http_client client;
    return StatusOf(client.Send(server.Call("GET", "/wait")));
  });
  server.mWaiting.get_future().wait();
  std::thread stop([&] { server.mServer.Stop(); });
  server.mRelease.set_value();
  BOOST_TEST(answer.get() == 200U);
  stop.join();
  io::http_client client;
  const auto late = client.Send(server.Call("POST", "/echo/a"));
  BOOST_REQUIRE(std::holds_alternative<io::call_error>(late));
  BOOST_TEST(!std::get<io::call_error>(late).mDelivered);
}

// TWICE: a target that took no connections in time counted as gone.
BOOST_AUTO_TEST_CASE(a_connection_that_is_not_made_in_time_is_not_refused)
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  socklen_t length = sizeof address;
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* const any = reinterpret_cast<sockaddr*>(&address); // NOLINT
  BOOST_REQUIRE(bind(listener, any, length) == 0);
  BOOST_REQUIRE(getsockname(listener, any, &length) == 0);
  BOOST_REQUIRE(listen(listener, 0) == 0);
  std::array<int, 3> waiting{}; // More than may wait to be accepted.
  for (int& connection : waiting) {
    connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    static_cast<void>(connect(connection, any, length));
  }
  io::http_client client;
  io::http_call call;
  call.mMethod = "POST";
  call.mUrl =
    "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/hold";
  call.mConnectDeadline = 100ms;
  const auto full = client.Send(call);
  for (const int connection : waiting) {
    close(connection);
  }
  close(listener);
  BOOST_REQUIRE(std::holds_alternative<io::call_error>(full));
  BOOST_TEST(!std::get<io::call_error>(full).mDelivered);
  BOOST_TEST(!std::get<io::call_error>(full).mRefused);
  const auto gone = client.Send(call);
  BOOST_REQUIRE(std::holds_alternative<io::call_error>(gone));
  BOOST_TEST(std::get<io::call_error>(gone).mRefused);
}

BOOST_AUTO_TEST_CASE(slow_and_malformed_requests_end)
{
  const test_server server(
    { .mMaxBody = kMaxBody, .mConnectionTimeout = 200ms });
  const test::raw_socket stalled(server.mServer.Port());
  const test::raw_socket dripping(server.mServer.Port());
  BOOST_TEST(
    stalled.Send("POST /echo/a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
                 "\r\nabc"));
  BOOST_TEST(dripping.Send("POST /echo/a HTTP/1.1\r\nHost: x\r\n"
                           "Content-Length: 100000\r\n\r\n"));
  std::thread drip([&] {
    while (dripping.Send("x")) {
      std::this_thread::sleep_for(20ms);
    }
  });
  BOOST_TEST(stalled.ReceiveAll().empty());
  drip.join(); // Ends: the server has closed.
  const test::raw_socket garbage(server.mServer.Port());
  BOOST_TEST(garbage.Send("\x16\x03\x01 no HTTP\r\n\r\n"));
  garbage.ReceiveAll();
  const test::raw_socket good(server.mServer.Port());
  BOOST_TEST(good.Send(std::string(kGet)));
  BOOST_TEST(good.ReceiveAll().starts_with("HTTP/1.1 405"));
}

// Guards against unfinished bodies that are stored without bound, and against
// room that stays taken once their connections are gone.
BOOST_AUTO_TEST_CASE(unfinished_bodies_take_bounded_room)
{
  const auto budget = std::make_shared<io::body_budget>(2 * kMaxBody, kMaxBody);
  test_server server(
    { .mMaxBody = kMaxBody, .mBodyTimeout = 500ms, .mBudget = budget });
  const std::string head =
    "POST /echo/a HTTP/1.1\r\nHost: x\r\nContent-Length: ";
  const test::raw_socket first(server.mServer.Port());
  const test::raw_socket second(server.mServer.Port());
  const std::string body(kMaxBody - 1, 'x');
  BOOST_TEST(first.Send(head + "1000\r\n\r\n" + body));
  BOOST_TEST(second.Send(head + "1000\r\n\r\n" + body));
  while (budget->Used() < 2 * kMaxBody) {
    std::this_thread::sleep_for(1ms);
  }
  const test::raw_socket third(server.mServer.Port());
  BOOST_TEST(third.Send(head + "1000\r\n\r\n"));
  const std::string refusal = third.ReceiveAll();
  BOOST_TEST(refusal.starts_with("HTTP/1.1 503"));
  BOOST_TEST(refusal.find("Retry-After: 1\r\n") != std::string::npos);
  const test::raw_socket large(server.mServer.Port());
  BOOST_TEST(large.Send(head + "1001\r\n\r\n"));
  BOOST_TEST(large.ReceiveAll().starts_with("HTTP/1.1 413"));
  BOOST_TEST(first.ReceiveAll().empty()); // Ends: the server has closed.
  BOOST_TEST(second.ReceiveAll().empty());
  while (budget->Used() > 0) {
    std::this_thread::sleep_for(1ms);
  }
  io::http_client client;
  auto call = server.Call("POST", "/echo/a");
  call.mBody.assign(kMaxBody, 'x');
  BOOST_TEST(StatusOf(client.Send(call)) == 201U);
  BOOST_TEST(budget->Used() == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_cut_short_may_have_been_delivered)
{
  const test_server server;
  io::http_client client;
  const auto result = client.Send(server.Call("GET", "/cut"));
  BOOST_REQUIRE(std::holds_alternative<io::call_error>(result));
  BOOST_TEST(std::get<io::call_error>(result).mDelivered);
}

BOOST_AUTO_TEST_CASE(a_request_is_never_sent_twice)
{
  // A kept connection that dies with the request: the library would resend.
  test_server server;
  const test::forgetful_relay relay(server.mServer.Port(), 0, 1);
  io::http_client client;
  auto call = server.Call("POST", "/echo/a");
  call.mUrl = "http://" + relay.Address() + "/echo/a";
  BOOST_TEST(StatusOf(client.Send(call)) == 201U);
  const auto lost = client.Send(call);
  BOOST_REQUIRE(std::holds_alternative<io::call_error>(lost));
  BOOST_TEST(std::get<io::call_error>(lost).mDelivered);
  BOOST_TEST(StatusOf(client.Send(call)) == 201U);
}

BOOST_AUTO_TEST_CASE(paths_match_patterns)
{
  const auto target = io::ParseTarget("/v1/jobs/a%2Fb?x=%31&y&x=2");
  BOOST_REQUIRE(target.has_value());
  BOOST_TEST(target->mQuery.at("x") == "2");
  BOOST_TEST(target->mQuery.at("y").empty());
  const auto values = io::MatchPath("/v1/jobs/:job", target->mSegments);
  BOOST_REQUIRE(values.has_value());
  BOOST_TEST(values->at("job") == "a/b");
  BOOST_TEST(!io::MatchPath("/v1/jobs", target->mSegments).has_value());
  BOOST_TEST(!io::MatchPath("/v1/task/:job", target->mSegments).has_value());
  for (const auto* const bad : { "", "v1", "/%", "/%4", "/%+1", "/a?%g0" }) {
    BOOST_TEST(!io::ParseTarget(bad).has_value(), bad);
  }
  BOOST_TEST(io::EscapeUrl("a/b c\xc3~") == "a%2Fb%20c%C3~");
}

BOOST_AUTO_TEST_CASE(json_is_bounded_in_depth)
{
  const auto isJson = [](std::string_view aText) {
    return std::holds_alternative<nlohmann::json>(io::ParseJson(aText, 3));
  };
  BOOST_TEST(isJson(R"([[["[[[[", "\"[[[["]]])"));
  BOOST_TEST(!isJson("[[[[]]]]"));
  BOOST_TEST(!isJson(std::string(1000000, '[')));
  BOOST_TEST(!isJson(""));
  BOOST_TEST(!isJson("{\"a\":1} x"));
  BOOST_TEST(!isJson(std::string_view("\"a\0b\"", 5)));
  BOOST_TEST(!isJson("\"\xff\""));
  BOOST_TEST(!isJson("1e99999"));
  const auto result = io::ParseJson("{\"a\": nul}");
  BOOST_REQUIRE(std::holds_alternative<io::json_error>(result));
  BOOST_TEST(std::get<io::json_error>(result).mOffset == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
