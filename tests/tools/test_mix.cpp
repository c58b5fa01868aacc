#include "load/mix.h"
#include "load/percentile.h"
#include "load/settings.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::tools::load;
using namespace std::chrono_literals;

namespace {

job_plan
Job(std::initializer_list<double> aRunMs)
{
  job_plan job;
  for (const double runMs : aRunMs) {
    job.mTasks.push_back({ runMs, runMs, "" });
  }
  return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_mix)

BOOST_AUTO_TEST_CASE(ideal_is_the_longest_task_or_the_work_over_the_slots)
{
  BOOST_TEST((IdealResponse(Job({ 50 }), 8, 1ms) == 51ms));
  BOOST_TEST((IdealResponse(Job({ 50, 200, 100 }), 8, 0ms) == 200ms));
  BOOST_TEST((IdealResponse(Job({ 100, 100, 100, 100 }), 2, 1ms) == 201ms));
}

BOOST_AUTO_TEST_CASE(percentiles_are_nearest_rank)
{
  std::vector<double> samples;
  for (int i = 100; i >= 1; --i) {
    samples.push_back(i);
  }
  const percentiles found = PercentilesOf(samples);
  BOOST_TEST(found.mCount == 100U);
  BOOST_TEST(found.mP50 == 50);
  BOOST_TEST(found.mP95 == 95);
  BOOST_TEST(found.mP99 == 99);
  BOOST_TEST(found.mMax == 100);
  BOOST_TEST(PercentilesOf({ 7 }).mP99 == 7);
  BOOST_TEST(PercentilesOf({ 1, 2 }).mP50 == 1);
  BOOST_TEST(PercentilesOf({}).mCount == 0U);
}

BOOST_AUTO_TEST_CASE(shares_of_a_mix_add_up)
{
  for (const mix one : { mix::Tabcraft, mix::Qamar, mix::Single }) {
    double sum = 0;
    for (const job_shape& shape : ShapesOf(one)) {
      sum += shape.mShare;
    }
    BOOST_TEST(sum == 1.0, boost::test_tools::tolerance(1e-9));
  }
}

BOOST_AUTO_TEST_CASE(jobs_follow_from_the_seed_alone)
{
  const arrival_settings wanted{ mix::Qamar, "r", 7, 50, 20, 1, 0, 0 };
  const auto first = PlanJobs(wanted);
  const auto second = PlanJobs(wanted);
  BOOST_TEST_REQUIRE(first.size() == second.size());
  BOOST_TEST(first.back().mTasks.back().mEcho ==
             second.back().mTasks.back().mEcho);
  arrival_settings other = wanted;
  other.mSeed = 8;
  BOOST_TEST(PlanJobs(other).front().mArrival.count() !=
             first.front().mArrival.count());
  for (std::size_t i = 1; i < first.size(); ++i) {
    BOOST_TEST((first[i - 1].mArrival <= first[i].mArrival));
  }
}

BOOST_AUTO_TEST_CASE(mean_work_is_that_of_the_jobs_drawn)
{
  for (const mix one : { mix::Tabcraft, mix::Qamar, mix::Single }) {
    double total = 0;
    const auto jobs = PlanJobs({ one, "r", 3, 1000, 200, 1, 0, 0 });
    for (const job_plan& job : jobs) {
      total += WorkSeconds(job);
    }
    BOOST_TEST(total / static_cast<double>(jobs.size()) == MeanWorkSeconds(one),
               boost::test_tools::tolerance(0.05));
    BOOST_TEST(static_cast<double>(jobs.size()) == 200'000.0,
               boost::test_tools::tolerance(0.02));
  }
}

BOOST_AUTO_TEST_CASE(bounds_of_the_brief_hold_in_each_mix)
{
  for (const mix one : { mix::Tabcraft, mix::Qamar }) {
    for (const job_plan& job : PlanJobs({ one, "r", 5, 500, 60, 1, 0, 0 })) {
      BOOST_TEST_REQUIRE(!job.mTasks.empty());
      BOOST_TEST_REQUIRE(job.mTasks.size() <= 870U);
      for (const task_plan& task : job.mTasks) {
        const double error = task.mDeclaredMs / task.mRunMs;
        BOOST_TEST_REQUIRE((task.mRunMs >= 50 && task.mRunMs <= 4000));
        BOOST_TEST_REQUIRE((error > 0.24 && error < 4.1));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(burst_multiplies_the_rate)
{
  const auto jobs = PlanJobs({ mix::Single, "r", 1, 100, 30, 4, 10, 20 });
  std::size_t inside = 0;
  for (const job_plan& job : jobs) {
    inside += job.mArrival >= 10s && job.mArrival < 20s ? 1 : 0;
  }
  BOOST_TEST(static_cast<double>(inside) == 4000.0,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(slots_by_domain_are_read)
{
  const auto slots = ParseSlots("cluj=32,iasi=24");
  const auto& read = std::get<0>(slots);
  BOOST_TEST(read.at("cluj") == 32U);
  BOOST_TEST(read.at("iasi") == 24U);
  for (const char* wrong : { "cluj", "cluj=", "cluj=0", "cluj=1,x" }) {
    BOOST_TEST(std::holds_alternative<core::error>(ParseSlots(wrong)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
