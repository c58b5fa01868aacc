#include "fake_operator_server.h"
#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberryio/operator_commands.h"
#include "libgooseberryio/program.h"

#include <boost/test/unit_test.hpp>

#include <regex>
#include <sstream>
#include <utility>

using namespace gooseberry;
using namespace gooseberry::io;

namespace {

const std::string kFile = GOOSEBERRY_SOURCE_DIR "/examples/tabcraft.ini";
/** Nothing listens on port 1. */
const std::string kNobody = "127.0.0.1:1";

std::string
Tabcraft()
{
  return std::get<std::string>(ReadTextFile(kFile));
}

std::string
Replaced(std::string aText, std::string_view aOld, std::string_view aNew)
{
  const auto at = aText.find(aOld);
  BOOST_REQUIRE(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

/** What a command printed, and how it ended. */
struct outcome
{
  operator_exit mExit = operator_exit::Ok;
  std::string mOut;
  std::string mError;
};

outcome
Run(const operator_command& aCommand)
{
  operator_client_settings settings;
  settings.mReadDeadline = std::chrono::seconds(2);
  settings.mApplyDeadline = std::chrono::seconds(2);
  settings.mSettlePause = std::chrono::milliseconds(1);
  settings.mSettleTime = std::chrono::milliseconds(500);
  std::ostringstream out;
  std::ostringstream error;
  const auto code = RunOperatorCommand(aCommand, settings, out, error);
  return { code, out.str(), error.str() };
}

/** A fake entry on which the example is in force as generation 4. */
struct fixture
{
  fixture()
  {
    mEntry.mState.mGeneration = 4;
    mEntry.mState.mText = Tabcraft();
    mEntry.mState.mRequest = "first";
  }

  outcome Do(const std::string& aName, const std::string& aArgument = "")
  {
    return Run({ aName, aArgument, { mEntry.Address() }, {}, false });
  }

  bool IsIn(const std::string& aDomain) const
  {
    const auto state = configuration::Parse(mEntry.mState.mText, "fake");
    return configuration::IsDomainIn(
      std::get<configuration::desired_state>(state), aDomain);
  }

  fake_operator_server mEntry;
};

void
CheckExit(const outcome& aOutcome, operator_exit aExpected)
{
  BOOST_TEST(static_cast<int>(aOutcome.mExit) == static_cast<int>(aExpected),
             aOutcome.mOut << aOutcome.mError);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_commands, fixture)

BOOST_AUTO_TEST_CASE(validate_needs_no_entry)
{
  const auto good = Run({ "validate", kFile, {}, {}, false });
  CheckExit(good, operator_exit::Ok);
  BOOST_TEST(good.mOut == kFile + ": valid\n");
  const std::string bad = GOOSEBERRY_SOURCE_DIR "/examples/entry.ini";
  const auto refused = Run({ "validate", bad, {}, {}, false });
  CheckExit(refused, operator_exit::Invalid);
  BOOST_TEST(refused.mError.find(bad + ":3: [entry]: unknown section") !=
             std::string::npos);
  CheckExit(Run({ "validate", "/no/such/file", {}, {}, false }),
            operator_exit::Invalid);
}

BOOST_AUTO_TEST_CASE(bad_command_lines_are_refused)
{
  const std::vector<std::string> entries{ kNobody };
  for (const auto& command : std::vector<operator_command>{
         { "", "", entries, {}, false },
         { "aply", kFile, entries, {}, false },
         { "plan", "", entries, {}, false },
         { "show", "more", entries, {}, false },
         { "show", "", {}, {}, false },
         { "show", "", { "localhost" }, {}, false },
         { "out", "brasov", entries, 4, false } }) {
    const auto refused = Run(command);
    CheckExit(refused, operator_exit::Usage);
    BOOST_TEST(refused.mError.starts_with("gooseberryctl: "));
  }
}

BOOST_AUTO_TEST_CASE(plan_shows_what_would_change)
{
  mEntry.mState.mText = Replaced(Tabcraft(), "state = in", "state = out");
  const auto plan = Do("plan", kFile);
  CheckExit(plan, operator_exit::Ok);
  BOOST_TEST(plan.mOut == "changed [failure_domain brasov] state: out -> in\n"
                          "1 changes against generation 4\n");
  BOOST_TEST(mEntry.mState.mPuts == 0);
}

BOOST_AUTO_TEST_CASE(apply_puts_the_file_in_force)
{
  mEntry.mState = {};
  const auto applied = Do("apply", kFile);
  CheckExit(applied, operator_exit::Ok);
  BOOST_TEST(mEntry.mState.mText == Tabcraft());
  BOOST_TEST(
    applied.mOut.ends_with("generation 1 accepted\nwaiting for agent-3\n"));
  const std::regex uuid("[0-9a-f]{8}-[0-9a-f]{4}-4[0-9a-f]{3}-[89ab][0-9a-f]{3}"
                        "-[0-9a-f]{12}");
  BOOST_TEST(std::regex_match(mEntry.mState.mRequest, uuid));
}

BOOST_AUTO_TEST_CASE(apply_names_the_winner_of_a_conflict)
{
  const auto rival = Replaced(Tabcraft(), "state = in", "state = out");
  mEntry.mState.mBeforePut = [&](auto& aState) { ApplyAsRival(aState, rival); };
  const auto lost = Do("apply", kFile);
  CheckExit(lost, operator_exit::Conflict);
  BOOST_TEST(lost.mError.ends_with("generation 5 by entry-9\n"));
  BOOST_TEST(mEntry.mState.mText == rival);
  BOOST_TEST(mEntry.mState.mPuts == 1);
}

BOOST_AUTO_TEST_CASE(apply_holds_to_the_expected_generation)
{
  const auto lost = Run({ "apply", kFile, { mEntry.Address() }, 3, true });
  CheckExit(lost, operator_exit::Conflict);
  const auto answer = nlohmann::json::parse(lost.mOut);
  BOOST_TEST(answer.at("failure") == "conflict");
  BOOST_TEST(answer.at("generation") == 4);
  BOOST_TEST(mEntry.mState.mRequest == "first");
}

BOOST_AUTO_TEST_CASE(invalid_file_reaches_no_entry)
{
  const auto refused = Do("apply", GOOSEBERRY_SOURCE_DIR "/examples/agent.ini");
  CheckExit(refused, operator_exit::Invalid);
  BOOST_TEST(mEntry.mState.mPuts == 0);
}

BOOST_AUTO_TEST_CASE(lost_answer_is_read_back)
{
  mEntry.mState.mCutAnswers = 1;
  const auto applied = Do("apply", kFile);
  CheckExit(applied, operator_exit::Ok);
  BOOST_TEST(applied.mOut.find("read back") != std::string::npos);
  BOOST_TEST(mEntry.mState.mGeneration == 5U);
  BOOST_TEST(mEntry.mState.mPuts == 1);
}

BOOST_AUTO_TEST_CASE(unknown_outcome_is_read_back)
{
  mEntry.mState.mKnowsOutcome = false;
  CheckExit(Do("apply", kFile), operator_exit::Ok);
  BOOST_TEST(mEntry.mState.mPuts == 1);
}

BOOST_AUTO_TEST_CASE(lost_request_is_sent_again_once_nothing_changed)
{
  mEntry.mState.mCutRequests = 2;
  CheckExit(Do("apply", kFile), operator_exit::Ok);
  BOOST_TEST(mEntry.mState.mGeneration == 5U);
  BOOST_TEST(mEntry.mState.mPuts == 3);
}

BOOST_AUTO_TEST_CASE(lost_request_and_rival_is_a_conflict)
{
  mEntry.mState.mCutRequests = 1;
  mEntry.mState.mBeforePut = [](auto& aState) {
    ApplyAsRival(aState, aState.mText);
  };
  CheckExit(Do("apply", kFile), operator_exit::Conflict);
  BOOST_TEST(mEntry.mState.mPuts == 1);
}

BOOST_AUTO_TEST_CASE(lost_answer_under_later_changes_is_unsettled)
{
  mEntry.mState.mCutAnswers = 1;
  mEntry.mState.mAfterPut = [](auto& aState) {
    ApplyAsRival(aState, aState.mText);
  };
  CheckExit(Do("apply", kFile), operator_exit::Unsettled);
  BOOST_TEST(mEntry.mState.mPuts == 1);
}

BOOST_AUTO_TEST_CASE(author_that_is_not_known_yet_is_waited_for)
{
  std::string request;
  mEntry.mState.mCutAnswers = 1;
  mEntry.mState.mAfterPut = [&](auto& aState) {
    request = std::exchange(aState.mRequest, "");
  };
  mEntry.mState.mBeforePut = [&](auto& aState) {
    if (aState.mPuts == 3) {
      aState.mRequest = request;
    }
  };
  CheckExit(Do("apply", kFile), operator_exit::Ok);
  BOOST_TEST(mEntry.mState.mGeneration == 5U);
  BOOST_TEST(mEntry.mState.mPuts == 3);
}

BOOST_AUTO_TEST_CASE(answers_lost_for_good_are_unsettled)
{
  mEntry.mState.mCutRequests = 1'000'000;
  CheckExit(Do("apply", kFile), operator_exit::Unsettled);
  BOOST_TEST(mEntry.mState.mGeneration == 4U);
}

BOOST_AUTO_TEST_CASE(unreachable_store_changes_nothing)
{
  mEntry.mState.mHasStore = false;
  const auto failed = Do("out", "brasov");
  CheckExit(failed, operator_exit::Unreachable);
  BOOST_TEST(failed.mError.find("store down") != std::string::npos);
  BOOST_TEST(IsIn("brasov"));
}

BOOST_AUTO_TEST_CASE(next_entry_is_tried)
{
  const std::vector<std::string> entries{ kNobody, mEntry.Address() };
  CheckExit(Run({ "apply", kFile, entries, {}, false }), operator_exit::Ok);
  CheckExit(Run({ "show", "", entries, {}, false }), operator_exit::Ok);
  CheckExit(Run({ "status", "", entries, {}, false }), operator_exit::Ok);
}

BOOST_AUTO_TEST_CASE(no_entry_answers)
{
  for (const char* name : { "show", "status", "jobs" }) {
    CheckExit(Run({ name, "", { kNobody, kNobody }, {}, false }),
              operator_exit::Unreachable);
  }
  const auto failed = Run({ "out", "brasov", { kNobody }, {}, false });
  CheckExit(failed, operator_exit::Unreachable);
  BOOST_TEST(failed.mError.find(kNobody) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(domain_goes_out_and_in)
{
  CheckExit(Do("out", "brasov"), operator_exit::Ok);
  BOOST_TEST(!IsIn("brasov"));
  BOOST_TEST(IsIn("cluj"));
  const auto again = Do("out", "brasov");
  BOOST_TEST(again.mOut == "brasov is out already, generation 5\n");
  CheckExit(Do("in", "brasov"), operator_exit::Ok);
  BOOST_TEST(IsIn("brasov"));
  BOOST_TEST(mEntry.mState.mPuts == 2);
  CheckExit(Do("out", "sibiu"), operator_exit::Invalid);
}

BOOST_AUTO_TEST_CASE(rival_change_of_something_else_is_kept)
{
  const auto rival =
    Replaced(Tabcraft(), "quota_slots = 40", "quota_slots = 9");
  mEntry.mState.mBeforePut = [&](auto& aState) {
    if (aState.mPuts == 1) {
      ApplyAsRival(aState, rival);
    }
  };
  CheckExit(Do("out", "brasov"), operator_exit::Ok);
  BOOST_TEST(!IsIn("brasov"));
  BOOST_TEST(mEntry.mState.mText.find("quota_slots = 9") != std::string::npos);
  BOOST_TEST(mEntry.mState.mGeneration == 6U);
}

BOOST_AUTO_TEST_CASE(rival_change_of_the_same_domain_is_a_conflict)
{
  mEntry.mState.mText = Replaced(Tabcraft(), "state = in", "state = out");
  mEntry.mState.mBeforePut = [](auto& aState) {
    ApplyAsRival(aState, Tabcraft());
  };
  CheckExit(Do("in", "brasov"), operator_exit::Conflict);
  BOOST_TEST(mEntry.mState.mPuts == 1);
}

BOOST_AUTO_TEST_CASE(status_and_explanations_are_shown)
{
  const auto status = Do("status");
  BOOST_TEST(status.mOut.starts_with("entry entry-1, generation 4\nPEER"));
  BOOST_TEST(std::regex_search(
    status.mOut, std::regex("agent-3 +agent +brasov +3 +12 +yes")));
  CheckExit(Do("explain", "notary/j 1"), operator_exit::Ok);
  const auto missing = Do("explain", "notary/j2");
  CheckExit(missing, operator_exit::Refused);
  BOOST_TEST(missing.mError.find("no such job") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
