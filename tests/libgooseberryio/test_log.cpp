#include "libgooseberryio/log.h"
#include "libgooseberryio/metrics.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace gooseberry;

namespace {

std::string
ReadFile(const std::string& aName)
{
  std::ostringstream text;
  text << std::ifstream(aName).rdbuf();
  return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_and_metrics)

BOOST_AUTO_TEST_CASE(values_are_quoted_where_needed)
{
  BOOST_TEST(io::QuoteLogValue("team/job-1") == "team/job-1");
  BOOST_TEST(io::QuoteLogValue("") == "\"\"");
  BOOST_TEST(io::QuoteLogValue("two words") == "\"two words\"");
  BOOST_TEST(io::QuoteLogValue("a=b") == "\"a=b\"");
  BOOST_TEST(io::QuoteLogValue("a\"b\\c") == "\"a\\\"b\\\\c\"");
  BOOST_TEST(io::QuoteLogValue("x\nevent=y") == "\"x\\nevent=y\"");
  BOOST_TEST(io::QuoteLogValue(std::string_view("\0\x1b", 2)) ==
             "\"\\x00\\x1b\"");
}

BOOST_AUTO_TEST_CASE(an_event_is_one_line)
{
  const auto name = "/tmp/gooseberry-log-" + std::to_string(getpid());
  BOOST_REQUIRE(!io::SetUpLog({ io::log_level::Info, name }));
  io::log_event("placement")
    .Add("job", "team/a\nb")
    .Add("tasks", 3)
    .Add("idempotent", true);
  io::log_event("hidden", io::log_level::Debug).Add("x", 1);
  io::log_event("failed", io::log_level::Error)
    .Add(core::error{ "start", "127.0.0.1:1", "connection refused" });
  BOOST_REQUIRE(!io::SetUpLog({ io::log_level::Off, "" }));
  const auto text = ReadFile(name);
  std::remove(name.c_str());
  BOOST_TEST_INFO(text);
  BOOST_TEST(text.find("Z INFO event=placement job=\"team/a\\nb\" tasks=3 "
                       "idempotent=true\n") != std::string::npos);
  BOOST_TEST(text.find("Z ERROR event=failed step=start peer=127.0.0.1:1 "
                       "reason=\"connection refused\"\n") != std::string::npos);
  BOOST_TEST(text.find("hidden") == std::string::npos);
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 2);
}

BOOST_AUTO_TEST_CASE(figures_have_one_decimal)
{
  const auto name = "/tmp/gooseberry-log-" + std::to_string(getpid());
  BOOST_REQUIRE(!io::SetUpLog({ io::log_level::Info, name }));
  io::log_event("load")
    .Add("ms", 1012.3456)
    .Add("share", 0.0)
    .Add("huge", 1e40);
  BOOST_REQUIRE(!io::SetUpLog({ io::log_level::Off, "" }));
  const auto text = ReadFile(name);
  std::remove(name.c_str());
  BOOST_TEST_INFO(text);
  BOOST_TEST(text.find("event=load ms=1012.3 share=0.0 huge=1.0e+40\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(standard_output_has_each_line)
{
  const auto name = "/tmp/gooseberry-output-" + std::to_string(getpid());
  const int output = dup(STDOUT_FILENO);
  const int file = open(name.c_str(), O_CREAT | O_WRONLY, 0600);
  BOOST_REQUIRE(dup2(file, STDOUT_FILENO) >= 0);
  BOOST_REQUIRE(!io::SetUpLog({ io::log_level::Info, "" }));
  io::log_event("started").Add("entry", "front-1");
  {
    const io::log_event stopped("stopped");
  }
  BOOST_REQUIRE(!io::SetUpLog({ io::log_level::Off, "" }));
  dup2(output, STDOUT_FILENO);
  close(output);
  close(file);
  const auto text = ReadFile(name);
  std::remove(name.c_str());
  BOOST_TEST_INFO(text);
  BOOST_TEST(text.find("Z INFO event=started entry=front-1\n") !=
             std::string::npos);
  BOOST_TEST(text.ends_with("Z INFO event=stopped\n"));
}

BOOST_AUTO_TEST_CASE(a_log_that_cannot_be_opened_is_an_error)
{
  BOOST_TEST(io::SetUpLog({ io::log_level::Info, "/proc/self/nowhere/log" })
               .has_value());
  BOOST_REQUIRE(!io::SetUpLog({ io::log_level::Off, "" }));
}

BOOST_AUTO_TEST_CASE(metrics_have_their_families)
{
  io::metrics metrics("entry-1");
  metrics.ObserveResponse(std::chrono::milliseconds(20), 1.04);
  metrics.CountRefusal("busy");
  metrics.CountRefusal("busy");
  metrics.CountJob("complete");
  metrics.CountStarts(5);
  metrics.CountTrafficStateChanges(3);
  metrics.CountRatesDropped(2);
  metrics.SetQueueLength(7);
  metrics.SetGeneration(12);
  const auto text = metrics.Text();
  constexpr const char* kOverIdealLine =
    "gooseberry_response_over_ideal_ratio_bucket"
    "{process=\"entry-1\",le=\"1.05\"} 1";
  for (const auto* const line :
       { "gooseberry_response_seconds_count{process=\"entry-1\"} 1",
         kOverIdealLine,
         "gooseberry_refusals_total{process=\"entry-1\",reason=\"busy\"} 2",
         "gooseberry_jobs_total{process=\"entry-1\",outcome=\"complete\"} 1",
         "gooseberry_starts_total{process=\"entry-1\"} 5",
         "gooseberry_retries_total{process=\"entry-1\"} 0",
         "gooseberry_wasted_messages_total{process=\"entry-1\"} 0",
         "gooseberry_traffic_state_changes_total{process=\"entry-1\"} 3",
         "gooseberry_heartbeat_rates_dropped_total{process=\"entry-1\"} 2",
         "gooseberry_queue_length{process=\"entry-1\"} 7",
         "gooseberry_configuration_generation{process=\"entry-1\"} 12" }) {
    BOOST_TEST(text.find(line) != std::string::npos, line << "\n" << text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
