#include "load/report.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::tools;
using namespace gooseberry::tools::load;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(report_of_one_job_of_one_task)
{
  settings line;
  line.mSlots = 2;
  line.mArrivals.mSeconds = 1;
  line.mRecordUrls = { "any" };
  std::vector<job_plan> jobs(1);
  jobs[0].mName = "j";
  jobs[0].mTeam = "team";
  jobs[0].mKind = "label";
  jobs[0].mTasks.push_back({ 100, 100, "e" });
  load_result result;
  result.mRuns.resize(1);
  result.mRuns[0].mSubmissions = 1;
  result.mRuns[0].mResponse = 110ms;
  answer whole;
  whole.mStatus = 200;
  whole.mOutcome = core::job_outcome::Complete;
  result.mRuns[0].mAnswers.push_back(whole);
  const std::vector<common::run_record> records{ { "team/j:0",
                                                   1,
                                                   "label",
                                                   "t1",
                                                   "cluj",
                                                   1'000,
                                                   103'000,
                                                   common::run_state::Succeeded,
                                                   1 } };
  const timeline times;
  const report made = MakeReport({ line, jobs, result, records, times, {} });
  BOOST_TEST(made.mPassed);
  BOOST_TEST(made.mOverheadMs.mP50 == 8.0);
  BOOST_TEST(made.mResponses.at("all").mOverIdeal.mP50 == 1.1);
  BOOST_TEST(made.mResponses.at("label").mMilliseconds.mMax == 110.0);
  BOOST_TEST(made.mOutcomes.at("complete") == 1U);
  BOOST_TEST(made.mGoodputShare == 0.051, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(made.mOfferedShare == 0.05, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(FormatJson(made).find("\"overhead_ms\"") != std::string::npos);
  BOOST_TEST(FormatText(made).find("PASSED") != std::string::npos);
}
