#include "target/announcer.h"
#include "target/settings.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <thread>

using namespace gooseberry;
using namespace gooseberry::tools;
using namespace gooseberry::tools::target;
using namespace std::chrono_literals;

namespace {

task_request
Request(const std::string& aTask, std::uint16_t aConnection = 1)
{
  return { aTask, 1, "label", R"({"run_ms":5,"echo":"abc"})", aConnection };
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_standin)

BOOST_AUTO_TEST_CASE(runs_and_echoes_the_task)
{
  target_state state;
  state.mSettings.mName = "t1";
  state.mSettings.mFailureDomain = "cluj";
  const task_answer answer = Run(state, Request("a/j:0"));
  BOOST_TEST(answer.mStatus == 200);
  const auto result = nlohmann::json::parse(answer.mBody);
  BOOST_TEST(result["task"] == "a/j:0");
  BOOST_TEST(result["echo"] == "abc");
  const auto parsed = common::ParseRecords(FormatRecords(state), "t1");
  const auto& records = std::get<std::vector<common::run_record>>(parsed);
  BOOST_TEST_REQUIRE(records.size() == 1U);
  BOOST_TEST((records[0] == state.mRecords[0]));
  BOOST_TEST(records[0].mEndUs - records[0].mStartUs >= 4'900);
  BOOST_TEST((records[0].mState == common::run_state::Succeeded));
  BOOST_TEST(records[0].mFailureDomain == "cluj");
}

BOOST_AUTO_TEST_CASE(payload_that_is_no_object_is_refused_and_not_recorded)
{
  target_state state;
  for (const char* payload : { "", "[]", "{}", R"({"run_ms":"5"})", "{" }) {
    task_request request = Request("a/j:0");
    request.mPayload = payload;
    BOOST_TEST(Run(state, request).mStatus == 400);
  }
  BOOST_TEST(state.mRecords.empty());
}

BOOST_AUTO_TEST_CASE(fails_everything_fast)
{
  target_state state;
  state.mFaults = std::get<faults>(Change({}, R"({"fails_everything":true})"));
  BOOST_TEST(Run(state, Request("a/j:0")).mStatus == 500);
  BOOST_TEST((state.mRecords[0].mState == common::run_state::Failed));
}

BOOST_AUTO_TEST_CASE(silenced_connection_loses_running_and_later_requests)
{
  target_state state;
  task_answer running;
  task_answer later;
  std::jthread first([&] { running = Run(state, Request("a/j:0", 7)); });
  while (true) {
    const std::lock_guard guard(state.mMutex);
    if (state.mRunning == 1) {
      break;
    }
  }
  SilenceConnections(state);
  std::jthread second([&] { later = Run(state, Request("a/j:1", 7)); });
  BOOST_TEST(Run(state, Request("a/j:2", 8)).mStatus == 200);
  std::this_thread::sleep_for(20ms);
  Stop(state);
  first.join();
  second.join();
  BOOST_TEST(running.mStatus == 503);
  BOOST_TEST(later.mStatus == 503);
  BOOST_TEST(state.mRecords.size() == 2U);
}

BOOST_AUTO_TEST_CASE(plan_draws_stragglers_and_failures_by_kind)
{
  std::mt19937_64 random(1);
  const auto with =
    std::get<faults>(Change({},
                            R"({"straggler_probability":1,"straggler_factor":4,
               "failure_probability":{"plan":1}})"));
  BOOST_TEST((PlanRun(with, "label", 10ms, random).mRunTime == 40ms));
  BOOST_TEST(PlanRun(with, "plan", 10ms, random).mFails);
  BOOST_TEST(!PlanRun(with, "label", 10ms, random).mFails);
}

BOOST_AUTO_TEST_CASE(wrong_faults_and_targets_are_refused)
{
  for (const char* text : { "", "[1]", R"({"silent":1})", R"({"x":true})" }) {
    BOOST_TEST(std::holds_alternative<core::error>(Change({}, text)));
  }
  for (const char* text : { "", "a", "a,b,c,d,e", "a,1:2,3:4,0,d" }) {
    BOOST_TEST(std::holds_alternative<core::error>(ParseTarget(text)));
  }
  const auto parsed = ParseTarget("t1,127.0.0.1:1,127.0.0.2:2,8,cluj");
  BOOST_TEST(std::get<target_settings>(parsed).mSlots == 8U);
}

BOOST_AUTO_TEST_CASE(announcement_names_address_services_and_lease)
{
  const auto body = nlohmann::json::parse(
    Announcement({ "t1", "127.0.0.1:9", "127.0.0.1:8", 8, "cluj", { "s" } }));
  BOOST_TEST(body["address"] == "127.0.0.1:9");
  BOOST_TEST(body["services"] == nlohmann::json::array({ "s" }));
  BOOST_TEST(body["slots"] == 8);
  BOOST_TEST(body["lease_ms"] == 3000);
}

BOOST_AUTO_TEST_SUITE_END()
