#include "platform/target_front.h"

#include "libgooseberryio/http_client.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

constexpr const char* kName = "i-7f3a91c2";
constexpr core::duration kLease = 5s;
constexpr core::instant kNow{ 100s };

json
Body()
{
  return json::parse(R"({"service":"press","address":"10.128.0.9:8080",)"
                     R"("zone":"north","version":"v1","slots":8,)"
                     R"("state":"ready","coldRemainingMs":0,)"
                     R"("capacity":{"cpu":16000,"memMb":32768,"gpus":0},)"
                     R"("labels":["a","r1-3"],"clockMs":482113,"seq":4,)"
                     R"("born":1764921600000})");
}

/** The body with one field of another value. */
std::string
With(const char* aField, const json& aValue)
{
  json body = Body();
  body[json::json_pointer(aField)] = aValue;
  return body.dump();
}

std::string
Without(const char* aField)
{
  json body = Body();
  body.erase(aField);
  return body.dump();
}

std::string
Nested(std::size_t aDepth)
{
  std::string body = Body().dump();
  body.pop_back();
  return body + R"(,"more":)" + std::string(aDepth, '[') +
         std::string(aDepth, ']') + '}';
}

std::vector<std::string>
OddNumbers()
{
  std::vector<std::string> odd;
  for (const char* const field : { "/slots",
                                   "/seq",
                                   "/born",
                                   "/clockMs",
                                   "/capacity/cpu",
                                   "/capacity/memMb",
                                   "/capacity/gpus" }) {
    for (const json& value : { json(-1),
                               json(1.5),
                               json(1e300),
                               json(~0ULL),
                               json("4"),
                               json(true),
                               json(nullptr),
                               json::array({ 4 }) }) {
      odd.push_back(With(field, value));
    }
  }
  return odd;
}

std::vector<std::string>
OddRanges()
{
  return { With("/slots", 0),
           With("/slots", 65'536),
           With("/slots", 4'294'967'297ULL),
           With("/capacity/cpu", 4'294'967'297ULL),
           With("/capacity/memMb", 4'294'967'296ULL),
           With("/capacity/gpus", 4'294'967'296ULL),
           With("/seq", 9'007'199'254'740'993ULL),
           With("/born", 0),
           With("/born", 1'764'921'600ULL),
           With("/born", 17'649'216'000'000ULL),
           With("/clockMs", 9'007'199'254'740'992ULL) };
}

std::vector<std::string>
OddFields()
{
  std::vector<std::string> odd;
  for (const char* const field : { "service",
                                   "address",
                                   "zone",
                                   "version",
                                   "coldRemainingMs",
                                   "slots",
                                   "state",
                                   "capacity",
                                   "clockMs",
                                   "seq" }) {
    odd.push_back(Without(field));
    odd.push_back(With((std::string("/") + field).c_str(), json::array()));
    odd.push_back(With((std::string("/") + field).c_str(), json::object()));
  }
  odd.push_back(With("/labels", 7));
  odd.push_back(With("/labels", json::array({ 7 })));
  odd.push_back(With("/remainingMs", -1));
  for (const json& value : { json("8"), json(8), json::array({ 1, 2, 3 }) }) {
    odd.push_back(With("/capacity", value));
  }
  for (const json& value : { json("gone"), json(""), json("READY"), json(1) }) {
    odd.push_back(With("/state", value));
  }
  for (const json& value : { json(""), json(7), json("a b"), json("a\nb") }) {
    odd.push_back(With("/service", value));
  }
  for (const char* const address : { "",
                                     "10.128.0.9",
                                     "10.128.0.9:",
                                     "10.128.0.9:0",
                                     "10.128.0.9:65536",
                                     "10.128.0.9:-1",
                                     "10.128.0.9:4294967377",
                                     "10.128.0.9:80x",
                                     "10.128.0.999:8080",
                                     "host:8080",
                                     ":8080" }) {
    odd.push_back(With("/address", address));
  }
  return odd;
}

/** Bodies of other writers: none names a target to use. */
std::vector<std::string>
OddBodies()
{
  std::vector<std::string> odd{ "",      "{",        "{}",   "[]",
                                "7",     "null",     "true", R"("text")",
                                "[[7]]", "\xff\xfe", "1e999" };
  odd.push_back(Nested(200));
  odd.push_back(Nested(100'000));
  odd.push_back(std::string(1'000'000, '['));
  odd.push_back(With("/service", "press") + "}");
  std::string bytes = Body().dump();
  odd.push_back(bytes.replace(bytes.find("press"), 1, "\xff"));
  for (const auto& more : { OddNumbers(), OddRanges(), OddFields() }) {
    odd.insert(odd.end(), more.begin(), more.end());
  }
  return odd;
}

agent::agent_control
MakeAgent()
{
  agent::control_settings settings;
  settings.mAgent = { "agent", 5 };
  settings.mFailureDomain = "north";
  settings.mLeasedRuns = true;
  return agent::MakeControl(settings);
}

/** As the server does: what cannot be read does not reach the state. */
bool
Register(agent::agent_control& aControl,
         const std::string& aName,
         const std::string& aBody,
         agent::effects& aOut)
{
  const auto parsed = platform::ParseNotice(aName, aBody, kLease);
  if (std::holds_alternative<core::error>(parsed)) {
    return false;
  }
  const auto& notice = std::get<platform::target_notice>(parsed);
  if (platform::CheckService(aControl, notice)) {
    return false;
  }
  return agent::OnLeasedTargetRegistered(aControl,
                                         notice.mAnnouncement,
                                         notice.mRegistration,
                                         notice.mIsDraining,
                                         kNow,
                                         aOut);
}

/** The front of an agent, and the agent's state. */
struct front
{
  agentd::control_thread mControl{ MakeAgent(), 1'024 };
  io::http_server mServer{ { .mAddress = "127.0.0.1:0" } };

  front()
  {
    mControl.Start([](const agent::effect&) {
      return std::optional<agentd::control_event>();
    });
    platform::RouteRegistrations(mServer, mControl, kLease);
    BOOST_REQUIRE(!mServer.Start());
  }

  ~front()
  {
    mServer.Stop();
    mControl.Stop();
  }

  /** The status of a call for a target; 0 without an answer. */
  unsigned Send(const char* aMethod,
                const std::string& aName,
                const std::string& aBody)
  {
    io::http_client client;
    io::http_call call;
    call.mMethod = aMethod;
    call.mUrl = "http://127.0.0.1:" + std::to_string(mServer.Port()) +
                "/instances/" + aName;
    call.mBody = aBody;
    call.mDeadline = 10s;
    const auto result = client.Send(call);
    const auto* reply = std::get_if<io::http_reply>(&result);
    return reply == nullptr ? 0 : reply->mStatus;
  }

  std::size_t Targets()
  {
    return mControl.Ask<std::size_t>(
      [](agent::agent_control& aState, core::instant, agent::effects&) {
        return aState.mTargets.size();
      });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_front)

BOOST_AUTO_TEST_CASE(a_registration_is_read)
{
  const auto parsed = platform::ParseNotice(kName, Body().dump(), kLease);
  BOOST_REQUIRE(std::holds_alternative<platform::target_notice>(parsed));
  const auto& notice = std::get<platform::target_notice>(parsed);
  BOOST_TEST(notice.mAnnouncement.mName == kName);
  BOOST_TEST(notice.mAnnouncement.mAddress == "10.128.0.9:8080");
  BOOST_TEST(notice.mAnnouncement.mServices.front() == "press");
  BOOST_TEST(notice.mAnnouncement.mSlots == 8U);
  BOOST_TEST(notice.mAnnouncement.mCapacity.mCpu == 16'000U);
  BOOST_TEST(notice.mAnnouncement.mCapacity.mMemory == 32'768U);
  BOOST_TEST(notice.mRegistration.mTargetIncarnation == 1'764'921'600'000U);
  BOOST_TEST(notice.mRegistration.mSequence == 4U);
  BOOST_TEST(!notice.mIsDraining);
}

BOOST_AUTO_TEST_CASE(what_need_not_be_told_may_be_missing)
{
  for (const std::string& body : { Without("born"),
                                   Without("labels"),
                                   With("/state", "draining"),
                                   With("/seq", 0),
                                   With("/clockMs", 0),
                                   With("/slots", 65'535),
                                   With("/remainingMs", 900),
                                   With("/unheardOf", json::array({ 1 })) }) {
    BOOST_TEST_CONTEXT(body)
    {
      BOOST_TEST(std::holds_alternative<platform::target_notice>(
        platform::ParseNotice(kName, body, kLease)));
    }
  }
}

BOOST_AUTO_TEST_CASE(remaining_times_need_not_be_whole)
{
  const auto parsed =
    platform::ParseNotice(kName, With("/coldRemainingMs", 1500.5), kLease);
  BOOST_TEST(std::holds_alternative<platform::target_notice>(parsed));
}

BOOST_AUTO_TEST_CASE(odd_registrations_are_refused_with_a_reason)
{
  for (const std::string& body : OddBodies()) {
    BOOST_TEST_CONTEXT(body.substr(0, 400))
    {
      const auto parsed = platform::ParseNotice(kName, body, kLease);
      const auto* error = std::get_if<core::error>(&parsed);
      BOOST_TEST((error != nullptr && !error->mReason.empty()));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_reason_names_the_field)
{
  const auto parsed =
    platform::ParseNotice(kName, With("/slots", 4'294'967'297ULL), kLease);
  const auto* error = std::get_if<core::error>(&parsed);
  BOOST_REQUIRE(error != nullptr);
  BOOST_TEST(error->mReason.find("slots") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(odd_names_are_refused)
{
  for (const std::string& name : { std::string(),
                                   std::string("a b"),
                                   std::string("a\r\nb"),
                                   std::string("a\0b", 3),
                                   std::string("a\xff"),
                                   std::string(201, 'a') }) {
    BOOST_TEST_CONTEXT(name)
    {
      BOOST_TEST(std::holds_alternative<core::error>(
        platform::ParseNotice(name, Body().dump(), kLease)));
    }
  }
}

BOOST_AUTO_TEST_CASE(true_registrations_hold_beside_odd_ones)
{
  auto control = MakeAgent();
  agent::effects effects;
  std::uint64_t sequence = 1;
  BOOST_REQUIRE(Register(control, kName, With("/seq", sequence), effects));
  for (const std::string& body : OddBodies()) {
    BOOST_TEST_CONTEXT(body.substr(0, 400))
    {
      BOOST_TEST(!Register(control, kName, body, effects));
      BOOST_TEST(!Register(control, "i-other", body, effects));
      const auto& target = control.mTargets.at(kName);
      BOOST_TEST(control.mTargets.size() == 1U);
      BOOST_TEST(target.mAddress == "10.128.0.9:8080");
      BOOST_TEST(target.mSlots == 8U);
      BOOST_TEST(target.mSequence == sequence);
      BOOST_TEST(Register(control, kName, With("/seq", ++sequence), effects));
      BOOST_TEST(target.mSequence == sequence);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_service_does_not_take_a_known_ones_place)
{
  const auto notice = [](const char* aService) {
    return std::get<platform::target_notice>(
      platform::ParseNotice(kName, With("/service", aService), kLease));
  };
  auto control = MakeAgent();
  agent::effects effects;
  BOOST_TEST(!platform::CheckService(control, notice("early")));
  BOOST_REQUIRE(Register(control, kName, With("/service", "early"), effects));
  BOOST_TEST(!platform::CheckService(control, notice("other")));
  control.mDesired.mServices["press"];
  BOOST_TEST(!platform::CheckService(control, notice("press")));
  BOOST_REQUIRE(Register(control, kName, With("/seq", 5), effects));
  BOOST_TEST(platform::CheckService(control, notice("other")).has_value());
  control.mDesired.mServices["other"];
  BOOST_TEST(!platform::CheckService(control, notice("other")));
}

// Targets of a service with a long name were refused where operators may
// declare it.
BOOST_AUTO_TEST_CASE(a_service_name_of_any_length_is_taken)
{
  for (const std::string& service : { std::string(201, 's'),
                                      std::string(60'000, 's'),
                                      std::string("caf\xC3\xA9,;=#[]%") }) {
    const auto notice =
      platform::ParseNotice(kName, With("/service", service), kLease);
    const auto* taken = std::get_if<platform::target_notice>(&notice);
    BOOST_REQUIRE(taken != nullptr);
    BOOST_TEST((taken->mAnnouncement.mServices.front() == service));
  }
}

BOOST_FIXTURE_TEST_CASE(odd_calls_are_answered_and_change_nothing, front)
{
  BOOST_TEST(Send("PUT", kName, With("/seq", 1)) == 200U);
  for (const std::string& body : OddBodies()) {
    BOOST_TEST_CONTEXT(body.substr(0, 400))
    {
      BOOST_TEST(Send("PUT", kName, body) == 400U);
    }
  }
  for (const char* const name :
       { "", "%00", "%ff%fe", "a%0d%0ab", "%zz", "a%20b" }) {
    BOOST_TEST_CONTEXT(name)
    {
      BOOST_TEST(Send("PUT", name, Body().dump()) == 400U);
      BOOST_TEST(Send("DELETE", name, "") != 0U);
    }
  }
  BOOST_TEST(Targets() == 1U);
  BOOST_TEST(Send("PUT", kName, With("/seq", 2)) == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
