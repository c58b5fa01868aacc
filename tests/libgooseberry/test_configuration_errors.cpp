#include "libgooseberry/configuration/command.h"
#include "libgooseberry/configuration/ini_document.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace gooseberry;
using namespace gooseberry::configuration;

namespace {

/** A file that must be refused, and the required start of the error. */
struct bad_case
{
  std::string mText;
  std::string mError;
};

const std::string kHeader = "[state]\nformat = 1\nname = a\n";
const std::string kDomain = "[failure_domain d]\nregion = r\nstate = in\n";
const std::string kService = "[service s]\ntargets = t*\n";

/** Two lines, of which inih's buffer does not hold the second. */
const std::string kLongService =
  "[service s]\ntargets = " + std::string(60, 'a') + ", " +
  std::string(60, 'b') + ", " + std::string(60, 'c') + ", d ; a comment\n";

std::vector<bad_case>
BadForms()
{
  const std::string longText(kMaxLineBytes, 'x');
  const std::string spaces(300, ' ');
  return {
    { "", "f:1: [state] format: missing, expected" },
    { "; only a comment\n", "f:1: [state] format: missing" },
    { kDomain, "f:1: [state] format: missing" },
    { "name = a\n", "f:1: expected a [section]" },
    { "\n\nname = a\n[state]\n", "f:3: expected a [section]" },
    { "  [state]\n", "f:1: expected no space" },
    { "[state]\n  format = 1\n", "f:2: expected no space" },
    { "[state\nformat = 1\n", "f:1: expected ']'" },
    { "[state] format = 1\n", "f:1: expected nothing after" },
    { "[]\n", "f:1: []: unknown section" },
    { kHeader + "colour\n", "f:4: expected `key = value`" },
    { kHeader + "colour\n[x]\n", "f:4: expected `key = value`" },
    { kHeader + "= 4\n", "f:4: [state] : expected a key" },
    { kHeader + kHeader, "f:4: [state]: expected each section once" },
    { kHeader + "[team  t]\n[team t]\n", "f:5: [team t]: expected each" },
    { kHeader + kDomain + kDomain, "f:7: [failure_domain d]: expected each" },
    { kHeader + "name = b\n", "f:4: [state] name: expected each key once" },
    { kHeader + "# " + longText + "\n", "f:4: expected at most 262144 bytes" },
    { kHeader + "name = " + longText, "f:4: expected at most 262144 bytes" },
    { kHeader + "x = a" + spaces + "b\n", "f:4: expected fewer spaces" },
    { kHeader + kLongService + "colour\n", "f:6: expected `key = value`" },
    { kHeader + kLongService + "a = 1\n",
      "f:6: [service s] a: unknown key, expected one" },
    { kHeader + kLongService + "targets = b\n",
      "f:6: [service s] targets: expected each key once" },
    { kHeader + std::string("[te\0am]\n", 8), "f:4: expected no control" },
    { kHeader + std::string(1, '\0'), "f:4: expected no control" },
    { kHeader + "; bell \a\n", "f:4: expected no control" },
    { std::string(kMaxFileBytes + 1, '\n'), "f:1: expected at most 1048576" },
  };
}

std::vector<bad_case>
BadStates()
{
  const std::string state = "f:1: [state";
  return {
    { "[state]\nname = a\n", state + "] format: missing, expected 1" },
    { "[state]\nformat = 1\n", state + "] name: missing, expected a name" },
    { "[state x]\nformat = 1\n", state + " x]: unknown section" },
    { "[State]\nformat = 1\n", "f:1: [State]: unknown section" },
    { "[state]\nformat = 0\n", "f:2: [state] format: expected 1" },
    { "[state]\nformat = 2\n", "f:2: [state] format: expected 1" },
    { "[state]\nformat =\n", "f:2: [state] format: expected 1" },
    { "[state]\nformat = 1.0\n", "f:2: [state] format: expected 1" },
    { "[state]\nformat = 1\n  1\n", "f:2: [state] format: expected 1" },
    { "[state]\nname =\n", "f:2: [state] name: expected a name" },
    { "[state]\nname = a b\n", "f:2: [state] name: expected a name" },
    { "[state]\nname = a/b\n", "f:2: [state] name: expected a name" },
    { "[state]\nname = \xC8\x99\n", "f:2: [state] name: expected a name" },
    { "[state]\nname = " + std::string(65, 'a') + "\n",
      "f:2: [state] name: expected a name of 1 to 64" },
    { "[state]\nNAME = a\n", "f:2: [state] NAME: unknown key, expected one" },
    { kHeader + "state = in\n", "f:4: [state] state: unknown key" },
  };
}

std::vector<bad_case>
BadDomainsAndTeams()
{
  const std::string domain = kHeader + "[failure_domain d]\n";
  const std::string inDomain = "[failure_domain d] ";
  const std::string team = kHeader + "[team t]\n";
  return {
    { kHeader + "[failure_domain]\n",
      "f:4: [failure_domain]: expected a name" },
    { kHeader + "[failure_domain ]\n", "f:4: [failure_domain]: expected a" },
    { kHeader + "[failure_domain a b]\n", "f:4: [failure_domain a b]: expec" },
    { kHeader + "[failure_domain a*]\n", "f:4: [failure_domain a*]: expected" },
    { kHeader + "[zone d]\n", "f:4: [zone d]: unknown section" },
    { domain + "state = in\n", "f:4: " + inDomain + "region: missing" },
    { domain + "region = r\n", "f:4: " + inDomain + "state: missing, expe" },
    { domain + "region =\n", "f:5: " + inDomain + "region: expected a name" },
    { domain + "state = IN\n", "f:5: " + inDomain + "state: expected in or" },
    { domain + "state = in, out\n", "f:5: " + inDomain + "state: expected in" },
    { domain + "\nstate = off\n", "f:6: " + inDomain + "state: expected in" },
    { domain + "rack = 1\n", "f:5: " + inDomain + "rack: unknown key" },
    { team, "f:4: [team t] quota_slots: missing" },
    { team + "quota_slots =\n", "f:5: [team t] quota_slots: expected a whole" },
    { team + "quota_slots = -1\n", "f:5: [team t] quota_slots: expected a" },
    { team + "quota_slots = 1000001\n", "f:5: [team t] quota_slots: expect" },
    { team + "quota_slots = 1e3\n", "f:5: [team t] quota_slots: expected" },
    { team + "quota_slots = 99999999999999999999999\n",
      "f:5: [team t] quota_slots: expected a whole number of slots from 0" },
    { team + "slots = 3\n", "f:5: [team t] slots: unknown key, expected one" },
    { kHeader + "[team]\n", "f:4: [team]: expected a name" },
  };
}

std::vector<bad_case>
BadServices()
{
  const std::string text = kHeader + kService;
  const std::string service = "[service s] ";
  const std::string empty = kHeader + "[service s]\n";
  return {
    { kHeader + "[service]\n", "f:4: [service]: expected a name" },
    { empty, "f:4: " + service + "targets: missing" },
    { empty + "targets =\n", "f:5: " + service + "targets: expected" },
    { empty + "targets = a,,b\n", "f:5: " + service + "targets: expected" },
    { empty + "targets = ,\n", "f:5: " + service + "targets: expected" },
    { empty + "targets = a b\n", "f:5: " + service + "targets: expected" },
    { empty + "targets = a*b*\n", "f:5: " + service + "targets: expected" },
    { empty + "targets = a, a\n", "f:5: " + service + "targets: expected" },
    { empty + "targets = a,\n  b?\n", "f:5: " + service + "targets: expected" },
    { text + "max_tries = 0\n", "f:6: " + service + "max_tries: expected a" },
    { text + "max_tries = 11\n", "f:6: " + service + "max_tries: expected" },
    { text + "max_tries = +3\n", "f:6: " + service + "max_tries: expected" },
    { text + "max_tries = 0x3\n", "f:6: " + service + "max_tries: expect" },
    { text + "max_task_ms = 0\n", "f:6: " + service + "max_task_ms: expec" },
    { text + "max_task_ms = 600001\n", "f:6: " + service + "max_task_ms: e" },
    { text + "max_task_ms = 5 s\n", "f:6: " + service + "max_task_ms: expe" },
    { text + "failure_domains =\n", "f:6: " + service + "failure_domains: " },
    { text + "failure_domains = d\n",
      "f:6: " + service + "failure_domains: expected failure domains that" },
    { text + "failure_domains = d, e\n" + kDomain,
      "f:6: " + service + "failure_domains: expected failure domains that" },
    { text + "failure_domains = d, d\n" + kDomain,
      "f:6: " + service + "failure_domains: expected different names" },
    { text + "failure_domains = d*\n" + kDomain,
      "f:6: " + service + "failure_domains: expected different names" },
    { text + "tries = 3\n", "f:6: " + service + "tries: unknown key" },
  };
}

/**
 * Checks that each file is refused with the right location, and that the state
 * stays unchanged.
 */
void
CheckRefused(const std::vector<bad_case>& aCases)
{
  desired_state before;
  ReplaceState(before, kHeader + kDomain + kService, "before");
  for (const auto& [text, expected] : aCases) {
    auto state = before;
    const auto done = ReplaceState(state, text, "f");
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<core::error>(done),
                          "not refused: " << text.substr(0, 200));
    const auto& reason = std::get<core::error>(done).mReason;
    BOOST_TEST(reason.starts_with(expected),
               "got " << reason << ", expected " << expected);
    BOOST_TEST((state == before));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_file_errors)

BOOST_AUTO_TEST_CASE(bad_forms)
{
  CheckRefused(BadForms());
}

BOOST_AUTO_TEST_CASE(bad_states)
{
  CheckRefused(BadStates());
}

BOOST_AUTO_TEST_CASE(bad_domains_and_teams)
{
  CheckRefused(BadDomainsAndTeams());
}

BOOST_AUTO_TEST_CASE(bad_services)
{
  CheckRefused(BadServices());
}

BOOST_AUTO_TEST_SUITE_END()
