#include "libgooseberry/configuration/ini_document.h"
#include "libgooseberryio/agent_settings.h"
#include "libgooseberryio/entry_settings.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace gooseberry;
using namespace gooseberry::io;

namespace {

/** Lines after a good file, and how the error must start. */
struct bad_case
{
  std::string mLines;
  std::string mError;
};

/** Seven lines, so that the first line of a case is line 8. */
const std::string kEntry = "[entry]\n"
                           "name = e\n"
                           "http_address = 127.0.0.1:1\n"
                           "peer_address = 127.0.0.1:2\n"
                           "failure_domain = d\n"
                           "[platform]\n"
                           "address = 127.0.0.1:3\n";

const std::string kAgent = "[agent]\n"
                           "name = a\n"
                           "http_address = 127.0.0.1:1\n"
                           "peer_address = 127.0.0.1:2\n"
                           "failure_domain = d\n"
                           "[platform]\n"
                           "address = 127.0.0.1:3\n";

std::vector<bad_case>
BadFormsAndLimits()
{
  return {
    { "deadline_ms = 0\n", "f:8: [platform] deadline_ms: expected a whole n" },
    { "deadline_ms = 60001\n", "f:8: [platform] deadline_ms: expected a who" },
    { "deadline_ms = -5\n", "f:8: [platform] deadline_ms: expected a whole" },
    { "deadline_ms = 5 ms\n", "f:8: [platform] deadline_ms: expected a whol" },
    { "deadline_ms =\n", "f:8: [platform] deadline_ms: expected a whole num" },
    { "budget_ms = 1.5\n", "f:8: [platform] budget_ms: expected a whole num" },
    { "address = 1\n", "f:8: [platform] address: expected each key once" },
    { "url = x\n", "f:8: [platform] url: unknown key" },
    { "DEADLINE_MS = 5\n", "f:8: [platform] DEADLINE_MS: unknown key" },
    { "; " + std::string(configuration::kMaxLineBytes, 'x') + "\n",
      "f:8: expected at most 262144 bytes" },
    { "nonsense\n", "f:8: expected `key = value`" },
    { "[platform]\n", "f:8: [platform]: expected each section once" },
    { "[plattform]\n", "f:8: [plattform]: unknown section" },
    { "[limits x]\n", "f:8: [limits x]: unknown section" },
    { "[agent]\nname = a\n", "f:8: [agent]: unknown section" },
    { "[limits]\n\nmax_tasks = 0\n", "f:10: [limits] max_tasks: expected a" },
    { "[limits]\nmax_tasks = 1e2\n", "f:9: [limits] max_tasks: expected a w" },
    { "[limits]\nmax_tasks = 870 tasks\n", "f:9: [limits] max_tasks: expect" },
    { "[limits]\nmax_body_bytes = 1\n", "f:9: [limits] max_body_bytes: expe" },
    { "[limits]\nmax_body_bytes = 1048575\n",
      "f:9: [limits] max_body_bytes: expected at least [limits] "
      "max_payload_bytes, which is 1048576" },
    { "[limits]\nmax_payload_bytes = 16777217\n",
      "f:9: [limits] max_payload_bytes: expected at most [limits] "
      "max_body_bytes, which is 16777216" },
    { "[limits]\nmax_buffered_bytes = 16777215\n",
      "f:9: [limits] max_buffered_bytes: expected at least [limits] max_b" },
    { "[limits]\nbody_timeout_ms = 99\n", "f:9: [limits] body_timeout_ms" },
    { "[limits]\nmax_callers = 0\n", "f:9: [limits] max_callers: expected" },
    { "[limits]\nmax_queue_wait_ms = x\n", "f:9: [limits] max_queue_wait_ms" },
    { "[limits]\ndefault_deadline_ms = 60001\n",
      "f:9: [limits] default_deadline_ms: expected at most [limits] max_d" },
    { "[limits]\nmax_deadline_ms = 29999\n",
      "f:9: [limits] max_deadline_ms: expected at least [limits] default" },
  };
}

std::vector<bad_case>
BadProtocolPolicyAndLog()
{
  return {
    { "[protocol]\ntrust_first_attempt = yes\n",
      "f:9: [protocol] trust_first_attempt: expected on, off, true or" },
    { "[protocol]\ntrust_first_attempt = 1\n",
      "f:9: [protocol] trust_first_attempt: expected on, off, true or" },
    { "[protocol]\nheartbeat_ms = 2001\n",
      "f:9: [protocol] heartbeat_ms: expected at most [protocol] freshness" },
    { "[protocol]\nfreshness_bound_ms = 499\n",
      "f:9: [protocol] freshness_bound_ms: expected at least [protocol] h" },
    { "[protocol]\ndeduplication_window_ms = 1999\n",
      "f:9: [protocol] deduplication_window_ms: expected at least" },
    { "[protocol]\ndeduplication_window_ms = 999\n",
      "f:9: [protocol] deduplication_window_ms: expected a whole number" },
    { "[protocol]\npeer_deadline_ms = 0\n", "f:9: [protocol] peer_deadline" },
    { "[policy]\nplacement = best\n",
      "f:9: [policy] placement: expected expected_finish or random" },
    { "[policy]\nplacement = expected_finish|random\n",
      "f:9: [policy] placement: expected expected_finish or random" },
    { "[policy]\nplacement =\n", "f:9: [policy] placement: expected expect" },
    { "[policy]\norder = lifo\n", "f:9: [policy] order: expected least_rem" },
    { "[policy]\nprefetch = 1001\n", "f:9: [policy] prefetch: expected a w" },
    { "[policy]\neject_after_failures = 0\n", "f:9: [policy] eject_after_f" },
    { "[policy]\nramp_ms = 60001\n", "f:9: [policy] ramp_ms: expected a wh" },
    { "[policy]\nretry_budget_percent = 101\n",
      "f:9: [policy] retry_budget_percent: expected a whole number of % f" },
    { "[log]\nlevel = trace\n", "f:9: [log] level: expected debug or info" },
    { "[log]\nlevel = INFO\n", "f:9: [log] level: expected debug or info" },
    { "[log]\nfile =\n", "f:9: [log] file: expected a text" },
    { "[log]\ndecisions = maybe\n", "f:9: [log] decisions: expected on, of" },
    { "[log]\ndecisions = on\ndecisions = on\n",
      "f:10: [log] decisions: expected each key once" },
    { "[log]\nfile = a\tb\n\x01\n", "f:10: expected no control character" },
  };
}

std::vector<bad_case>
BadAgentLines()
{
  return {
    { "[entry]\n", "f:8: [entry]: unknown section" },
    { "[policy]\n", "f:8: [policy]: unknown section" },
    { "[protocol]\nheartbeat_ms = 500\n", "f:9: [protocol] heartbeat_ms: un" },
    { "[protocol]\nannounce_ms = 2001\n",
      "f:9: [protocol] announce_ms: expected at most [protocol] freshness_" },
    { "[protocol]\nannounce_ms = 99999999999999999999\n",
      "f:9: [protocol] announce_ms: expected a whole number of ms from 1" },
    { "[limits]\nqueue_per_target = -1\n", "f:9: [limits] queue_per_target:" },
    { "[limits]\nmax_targets = 0\n", "f:9: [limits] max_targets: expected" },
    { "[limits]\nresult_bytes = 8 MiB\n", "f:9: [limits] result_bytes: exp" },
    { "[limits]\nresult_bytes = 65536\n",
      "f:9: [limits] result_bytes: expected at least [limits] max_answer_" },
    { "[limits]\ntarget_lease_ms = 99\n", "f:9: [limits] target_lease_ms:" },
    { "[limits]\nmax_tasks = 5\n", "f:9: [limits] max_tasks: unknown key" },
  };
}

/** Whole files in which a line of the good one is missing or bad. */
std::vector<bad_case>
BadWholeFiles()
{
  const auto without = [](std::string_view aLine, std::string_view aOther) {
    std::string text = kEntry;
    return text.replace(text.find(aLine), aLine.size(), aOther);
  };
  return {
    { "", "f:1: [entry] name: missing, expected a name" },
    { "name = e\n", "f:1: expected a [section] before the first key" },
    { without("name = e\n", ""), "f:1: [entry] name: missing, expected a n" },
    { without("name = e", "name = e 1"), "f:2: [entry] name: expected a nam" },
    { without("name = e", "name = "), "f:2: [entry] name: expected a name" },
    { without("http_address = 127.0.0.1:1\n", ""),
      "f:1: [entry] http_address: missing, expected IP:PORT" },
    { without("127.0.0.1:1", "localhost:1"), "f:3: [entry] http_address: e" },
    { without("127.0.0.1:1", "127.0.0.1"), "f:3: [entry] http_address: exp" },
    { without("127.0.0.1:2", "127.0.0.1:65536"), "f:4: [entry] peer_addres" },
    { without("127.0.0.1:2", "127.0.0.256:1"), "f:4: [entry] peer_address:" },
    { without("failure_domain = d", "failure_domain = a,b"),
      "f:5: [entry] failure_domain: expected a name" },
    { without("address = 127.0.0.1:3\n", ""),
      "f:6: [platform] address: missing, expected IP:PORT" },
    { without("[platform]\naddress = 127.0.0.1:3\n", ""),
      "f:1: [platform] address: missing, expected IP:PORT" },
    { without("127.0.0.1:3", "http://127.0.0.1:3"),
      "f:7: [platform] address: expected IP:PORT, got \"http://127.0.0.1:3" },
  };
}

/** A refused file leaves settings that were read before as they were. */
template<typename Settings>
void
CheckRefused(core::result<Settings> (*aParse)(std::string_view,
                                              std::string_view),
             const std::string& aBase,
             const std::vector<bad_case>& aCases)
{
  const auto before = std::get<Settings>(
    aParse(aBase.starts_with("[agent]") ? kAgent : kEntry, "before"));
  for (const auto& [lines, expected] : aCases) {
    auto settings = before;
    auto parsed = aParse(aBase + lines, "f");
    if (auto* value = std::get_if<Settings>(&parsed)) {
      settings = *value;
    }
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<core::error>(parsed),
                          "not refused: " << lines);
    const auto& reason = std::get<core::error>(parsed).mReason;
    BOOST_TEST(reason.starts_with(expected),
               "got " << reason << ", expected " << expected);
    BOOST_TEST(settings.mName == before.mName);
    BOOST_TEST(settings.mPlatform.mUrl == before.mPlatform.mUrl);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_errors)

BOOST_AUTO_TEST_CASE(bad_entry_lines)
{
  CheckRefused(ParseEntrySettings, kEntry, BadFormsAndLimits());
  CheckRefused(ParseEntrySettings, kEntry, BadProtocolPolicyAndLog());
}

BOOST_AUTO_TEST_CASE(bad_agent_lines)
{
  CheckRefused(ParseAgentSettings, kAgent, BadAgentLines());
}

BOOST_AUTO_TEST_CASE(bad_whole_files)
{
  CheckRefused(ParseEntrySettings, "", BadWholeFiles());
}

BOOST_AUTO_TEST_SUITE_END()
