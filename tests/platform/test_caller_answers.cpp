#include "platform/caller_answers.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

core::job_answer
Answer(core::job_outcome aOutcome, std::uint32_t aStatus)
{
  core::job_answer answer;
  answer.mJob = "j";
  answer.mOutcome = aOutcome;
  answer.mStatus = aStatus;
  answer.mReason = "reason";
  return answer;
}

/** An entry that has one job, which ended so. */
std::string
ShownAfter(const core::job_answer& aAnswer)
{
  entry::entry_control control;
  job::submission submission;
  submission.mKey = "j";
  job::job& added =
    job::Add(control.mLedger, std::move(submission), core::instant{});
  added.mPhase = job::phase::Ended;
  added.mAnswer = aAnswer;
  const char* const state = platform::StateOf(control, "j");
  return state == nullptr ? "" : state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_answers)

BOOST_AUTO_TEST_CASE(failed_is_said_of_failed_tasks_only)
{
  using core::job_outcome;
  const auto failed =
    platform::AnswerResponse(Answer(job_outcome::Failed, 500));
  BOOST_TEST(failed.mStatus == 200U);
  BOOST_TEST(failed.mBody == R"({"state":"failed"})");
  BOOST_TEST(
    platform::AnswerResponse(Answer(job_outcome::Failed, 504)).mStatus == 504U);
  BOOST_TEST(
    platform::AnswerResponse(Answer(job_outcome::Failed, 410)).mStatus == 410U);
}

BOOST_AUTO_TEST_CASE(what_did_not_run_may_come_back)
{
  auto refused = Answer(core::job_outcome::NotRun, 503);
  refused.mRetryAfter = std::chrono::milliseconds(1'200);
  const auto response = platform::AnswerResponse(refused);
  BOOST_TEST(response.mStatus == 503U);
  BOOST_TEST(response.mHeaders.at("Retry-After") == "2");
}

BOOST_AUTO_TEST_CASE(a_job_that_no_target_takes_is_refused)
{
  const auto response =
    platform::AnswerResponse(Answer(core::job_outcome::Failed, 422));
  BOOST_TEST(response.mStatus == 503U);
}

BOOST_AUTO_TEST_CASE(an_ended_job_is_shown_as_it_ended)
{
  using core::job_outcome;
  BOOST_TEST(ShownAfter(Answer(job_outcome::Complete, 200)) == "completed");
  BOOST_TEST(ShownAfter(Answer(job_outcome::Failed, 500)) == "failed");
  BOOST_TEST(ShownAfter(Answer(job_outcome::Failed, 410)) == "cancelled");
}

BOOST_AUTO_TEST_CASE(a_passed_deadline_is_no_failure)
{
  BOOST_TEST(ShownAfter(Answer(core::job_outcome::Failed, 504)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
