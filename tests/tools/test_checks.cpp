#include "load/checks.h"
#include "load/metrics.h"
#include "load/reference.h"
#include "load/work.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::tools;
using namespace gooseberry::tools::load;
using common::run_record;
using common::run_state;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kSecond = 1'000'000;

run_record
Run(const std::string& aTask,
    std::int64_t aStartUs,
    std::int64_t aEndUs,
    run_state aState = run_state::Succeeded)
{
  return { aTask, 1, "k", "t1", "cluj", aStartUs, aEndUs, aState, 1 };
}

/** One job `team/j` of one task, its run and its records. */
struct scene
{
  std::vector<job_plan> mJobs{ 1 };
  std::vector<job_run> mRuns{ 1 };
  std::vector<run_record> mRecords;
  timeline mTimeline;

  scene()
  {
    mJobs[0].mName = "j";
    mJobs[0].mTeam = "team";
    mJobs[0].mTasks.push_back({ 50, 50, "e" });
    mRuns[0].mSubmissions = 1;
  }

  void Answer(core::job_outcome aOutcome, std::int64_t aAtUs)
  {
    answer one;
    one.mStatus = 200;
    one.mOutcome = aOutcome;
    one.mAnsweredUs = aAtUs;
    mRuns[0].mAnswers.push_back(one);
  }

  std::uint64_t Count(check aCheck) const
  {
    const auto found = CheckRun({ mJobs, mRuns, mRecords, mTimeline });
    return found.at(static_cast<std::size_t>(aCheck)).mCount;
  }

  std::uint64_t CountAll() const
  {
    std::uint64_t sum = 0;
    for (const auto& one : CheckRun({ mJobs, mRuns, mRecords, mTimeline })) {
      sum += one.mCount;
    }
    return sum;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(load_checks)

BOOST_AUTO_TEST_CASE(a_good_run_has_no_findings)
{
  scene good;
  good.mRecords = { Run("team/j:0", 10, 20) };
  good.Answer(core::job_outcome::Complete, 30);
  BOOST_TEST(good.CountAll() == 0U);
}

BOOST_AUTO_TEST_CASE(second_start_counts_unless_a_failure_came_before)
{
  scene twice;
  twice.Answer(core::job_outcome::Complete, 90);
  twice.mRecords = { Run("team/j:0", 30, 40), Run("team/j:0", 10, 20) };
  BOOST_TEST(twice.Count(check::StartedTwice) == 1U);
  twice.mRecords[1].mState = run_state::Failed;
  BOOST_TEST(twice.Count(check::StartedTwice) == 0U);
  twice.mRecords[1].mEndUs = 35;
  BOOST_TEST(twice.Count(check::StartedTwice) == 1U);
  twice.mRecords[1].mState = run_state::Running;
  twice.mRecords[1].mEndUs = 0;
  BOOST_TEST(twice.Count(check::StartedTwice) == 1U);
}

BOOST_AUTO_TEST_CASE(non_idempotent_task_may_not_start_again_after_failure)
{
  scene again;
  again.Answer(core::job_outcome::Complete, 90);
  again.mRecords = { Run("team/j:0", 10, 20, run_state::Failed),
                     Run("team/j:0", 30, 40) };
  BOOST_TEST(again.CountAll() == 0U);
  again.mJobs[0].mIdempotent = false;
  BOOST_TEST(again.Count(check::NonIdempotentTwice) == 1U);
}

BOOST_AUTO_TEST_CASE(not_run_is_false_when_a_task_started)
{
  scene refused;
  refused.Answer(core::job_outcome::NotRun, 30);
  BOOST_TEST(refused.CountAll() == 0U);
  refused.mRecords = { Run("team/j:0", 40, 50) };
  BOOST_TEST(refused.Count(check::FalseNotRun) == 1U);
  refused.mRuns[0].mSubmissions = 2;
  refused.Answer(core::job_outcome::Complete, 60);
  BOOST_TEST(refused.CountAll() == 0U);
  refused.mRecords[0].mStartUs = 20;
  BOOST_TEST(refused.Count(check::FalseNotRun) == 1U);
}

BOOST_AUTO_TEST_CASE(complete_without_a_run_that_succeeded_is_wrong)
{
  scene invented;
  invented.Answer(core::job_outcome::Complete, 30);
  BOOST_TEST(invented.Count(check::WrongResult) == 1U);
  invented.mRecords = { Run("team/j:0", 10, 20, run_state::Failed) };
  BOOST_TEST(invented.Count(check::WrongResult) == 1U);
}

BOOST_AUTO_TEST_CASE(rival_outcomes_and_cut_requests_are_found)
{
  scene rival;
  rival.mRecords = { Run("team/j:0", 10, 20) };
  rival.mRuns[0].mSubmissions = 2;
  rival.Answer(core::job_outcome::Complete, 30);
  BOOST_TEST(rival.Count(check::RequestCut) == 1U);
  rival.Answer(core::job_outcome::Failed, 31);
  BOOST_TEST(rival.Count(check::RivalOutcomes) == 1U);
  BOOST_TEST(rival.Count(check::RequestCut) == 0U);
  rival.mRuns[0].mAnswers[1].mStatus = 504;
  BOOST_TEST(rival.CountAll() == 0U);
  rival.mRuns[0].mAnswers[1] = {};
  BOOST_TEST(rival.Count(check::RequestCut) == 1U);
}

BOOST_AUTO_TEST_CASE(starts_in_an_out_domain_count_after_the_bound)
{
  scene out;
  out.mTimeline = std::get<timeline>(
    ParseTimeline(R"({"at_us":10000000,"domain":"cluj","state":"out"}
{"at_us":20000000,"domain":"cluj","state":"in"}
{"at_us":30000000,"target":"t1","state":"leaving"}
)",
                  "test"));
  out.Answer(core::job_outcome::Complete, 90 * kSecond);
  for (const auto& [start, wrong] :
       { std::pair<std::int64_t, bool>{ 9 * kSecond, false },
         { 12 * kSecond, false },
         { 12 * kSecond + 1, true },
         { 20 * kSecond - 1, true },
         { 20 * kSecond, false } }) {
    out.mRecords = { Run("team/j:0", start, start + 1) };
    BOOST_TEST(out.Count(check::StartInOutDomain) == (wrong ? 1U : 0U));
  }
  out.mRecords = { Run("team/j:0", 33 * kSecond, 34 * kSecond) };
  BOOST_TEST(out.Count(check::StartOnLeavingTarget) == 1U);
}

BOOST_AUTO_TEST_CASE(timeline_refuses_what_it_does_not_know)
{
  for (const char* text : { "x",
                            R"({"at_us":1,"domain":"a","state":"gone"})",
                            R"({"at_us":1,"state":"out"})",
                            R"({"domain":"a","state":"out"})" }) {
    BOOST_TEST(std::holds_alternative<core::error>(ParseTimeline(text, "t")));
  }
}

BOOST_AUTO_TEST_CASE(answers_are_compared_with_the_job)
{
  const scene any;
  const auto read = [&](const std::string& aBody) {
    answer got;
    ReadAnswer(any.mJobs[0], 200, aBody, got);
    return got;
  };
  const auto whole = read(
    R"({"job":"j","outcome":"complete","results":["{\"task\":\"team/j:0\",\"echo\":\"e\"}"]})");
  BOOST_TEST((whole.mOutcome == core::job_outcome::Complete));
  BOOST_TEST(!whole.mPartial);
  BOOST_TEST(!whole.mWrong);
  BOOST_TEST(read(R"({"job":"j","outcome":"complete","results":[]})").mPartial);
  BOOST_TEST(
    read(R"({"job":"j","outcome":"failed","results":["x"]})").mPartial);
  BOOST_TEST(
    read(
      R"({"job":"j","outcome":"complete","results":["{\"task\":\"team/j:1\",\"echo\":\"e\"}"]})")
      .mWrong);
  BOOST_TEST(
    read(
      R"({"job":"j","outcome":"complete","results":["{\"task\":\"team/j:0\",\"echo\":\"f\"}"]})")
      .mWrong);
  BOOST_TEST(
    !read(
       R"({"job":"team/j","outcome":"complete","results":["{\"task\":\"team/j:0\",\"echo\":\"e\"}"]})")
       .mWrong);
  BOOST_TEST(
    read(
      R"({"job":"k","outcome":"complete","results":["{\"task\":\"team/j:0\",\"echo\":\"e\"}"]})")
      .mWrong);
  BOOST_TEST(!read("no json").mOutcome.has_value());
}

BOOST_AUTO_TEST_CASE(work_is_cut_at_the_seconds)
{
  const auto work = WorkPerSecond(
    { { kSecond / 2, 3 * kSecond / 2 }, { -kSecond, kSecond / 4 } }, 0, 2);
  BOOST_TEST(work.at(0) == 0.75);
  BOOST_TEST(work.at(1) == 0.5);
}

BOOST_AUTO_TEST_CASE(reference_uses_only_slots_that_are_in)
{
  std::vector<job_plan> jobs(1);
  for (int i = 0; i < 4; ++i) {
    jobs[0].mTasks.push_back({ 1000, 1000, "" });
  }
  const std::map<std::string, std::uint32_t> slots{ { "a", 1 }, { "b", 1 } };
  const auto both = WorkPerSecond(ReferenceSchedule(jobs, slots, {}, 0), 0, 3);
  BOOST_TEST(both == (std::vector<double>{ 2, 2, 0 }));
  const absences out{ { "b", { { 0, 2 * kSecond } } } };
  const auto less = WorkPerSecond(ReferenceSchedule(jobs, slots, out, 0), 0, 3);
  BOOST_TEST(less == (std::vector<double>{ 1, 1, 2 }));
  BOOST_TEST(ReferenceSchedule(jobs, {}, {}, 0).empty());
}

BOOST_AUTO_TEST_CASE(counters_are_added_up_by_label)
{
  const auto counts = SumCounter("# HELP gooseberry_messages_total m\n"
                                 "gooseberry_messages_total{type=\"start\"} 3\n"
                                 "gooseberry_messages_total{x=\"y\",type="
                                 "\"start\"} 4\n"
                                 "gooseberry_messages_total{type=\"fence\"} 1\n"
                                 "gooseberry_other{type=\"start\"} 9\n",
                                 "gooseberry_messages_total",
                                 "type");
  BOOST_TEST(counts.at("start") == 7);
  BOOST_TEST(counts.at("fence") == 1);
  BOOST_TEST(counts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
