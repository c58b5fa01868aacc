#include "fake_entry.h"
#include "load/client.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace gooseberry;
using namespace gooseberry::tools::load;
using gooseberry::tools::test::fake_entry;
using namespace std::chrono_literals;

namespace {

std::vector<job_plan>
Jobs(double aRate, double aSeconds)
{
  return PlanJobs({ mix::Qamar, "r", 1, aRate, aSeconds, 1, 0, 0 });
}

bool
AllComplete(const load_result& aResult)
{
  return std::all_of(
    aResult.mRuns.begin(), aResult.mRuns.end(), [](const job_run& aRun) {
      const answer* last = FinalAnswer(aRun);
      return last != nullptr && !last->mPartial && !last->mWrong &&
             last->mOutcome == core::job_outcome::Complete;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_client)

BOOST_AUTO_TEST_CASE(an_arrival_does_not_wait_for_answers)
{
  fake_entry entry;
  entry.mRunTime = 400ms;
  Serve(entry);
  const auto jobs = Jobs(100, 0.4);
  const auto begin = std::chrono::steady_clock::now();
  const load_result result = SendJobs(jobs, { { entry.mAddress } });
  const auto took = std::chrono::steady_clock::now() - begin;
  BOOST_TEST(AllComplete(result));
  BOOST_TEST((took < 1600ms)); // one after the other: 16 s
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const auto sent =
      microseconds(result.mRuns[i].mAnswers.at(0).mSentUs - result.mOriginUs);
    BOOST_TEST((sent >= jobs[i].mArrival - 1ms));
    BOOST_TEST((*result.mRuns[i].mResponse >= 400ms));
  }
}

BOOST_AUTO_TEST_CASE(each_job_is_sent_twice_when_asked)
{
  fake_entry first;
  fake_entry second;
  Serve(first);
  Serve(second);
  client_settings twice{ { first.mAddress, second.mAddress } };
  twice.mResubmitAll = true;
  const auto jobs = Jobs(100, 0.3);
  const load_result result = SendJobs(jobs, twice);
  const auto count = static_cast<int>(jobs.size());
  BOOST_TEST(AllComplete(result));
  BOOST_TEST(first.mSubmitted + second.mSubmitted == count);
  BOOST_TEST(first.mResubmitted + second.mResubmitted == count);
  for (const job_run& run : result.mRuns) {
    BOOST_TEST_REQUIRE(run.mAnswers.size() == 2U);
    BOOST_TEST(run.mAnswers[0].mEntry != run.mAnswers[1].mEntry);
  }
}

BOOST_AUTO_TEST_CASE(lost_answer_is_resubmitted_to_the_next_entry)
{
  fake_entry cutting;
  fake_entry alive;
  cutting.mRunTime = 2s; // longer than the deadline and its grace
  Serve(cutting);
  Serve(alive);
  client_settings settings{ { cutting.mAddress, alive.mAddress } };
  settings.mDeadline = 0ms;
  settings.mAnswerGrace = 300ms;
  const load_result result = SendJobs(Jobs(50, 0.2), settings);
  BOOST_TEST(AllComplete(result));
  BOOST_TEST(alive.mResubmitted == cutting.mSubmitted);
  BOOST_TEST(result.mRuns[0].mAnswers.at(0).mStatus == 0);
  BOOST_TEST(result.mRuns[0].mAnswers.at(1).mAttempt == 2U);
}

BOOST_AUTO_TEST_CASE(refused_connection_is_no_attempt)
{
  fake_entry alive;
  Serve(alive);
  const auto jobs = Jobs(50, 0.2);
  const load_result result =
    SendJobs(jobs, { { "127.0.0.1:1", alive.mAddress } });
  BOOST_TEST(AllComplete(result));
  BOOST_TEST(alive.mSubmitted == static_cast<int>(jobs.size()));
  BOOST_TEST(alive.mResubmitted == 0);
  BOOST_TEST(result.mRuns[0].mSubmissions == 1U);
}

BOOST_AUTO_TEST_CASE(refusals_are_not_sent_again)
{
  fake_entry entry;
  entry.mRefuses = true;
  Serve(entry);
  const load_result result = SendJobs(Jobs(50, 0.2), { { entry.mAddress } });
  for (const job_run& run : result.mRuns) {
    BOOST_TEST(run.mSubmissions == 1U);
    BOOST_TEST((FinalAnswer(run)->mOutcome == core::job_outcome::NotRun));
  }
}

BOOST_AUTO_TEST_CASE(jobs_still_running_are_cancelled_in_a_wave)
{
  fake_entry entry;
  entry.mRunTime = 300ms;
  Serve(entry);
  client_settings settings{ { entry.mAddress } };
  settings.mCancelShare = 0.5;
  settings.mCancelPeriod = 200ms;
  const auto jobs = Jobs(100, 0.2);
  const load_result result = SendJobs(jobs, settings);
  const auto cancelled =
    std::count_if(result.mRuns.begin(),
                  result.mRuns.end(),
                  [](const job_run& aRun) { return aRun.mCancelled; });
  BOOST_TEST(cancelled == static_cast<long>(jobs.size() / 2));
  BOOST_TEST(entry.mCancelled == cancelled);
}

BOOST_AUTO_TEST_SUITE_END()
