#include "libgooseberry/quota/shedding.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** Jobs of one long task each, in the order of the queue. */
std::vector<quota::waiting_job>
LongJobs(std::size_t aCount, core::duration aUsefulWait, double aLoadAbove)
{
  quota::waiting_job job;
  job.mWork = 3600ms;
  job.mLastTask = 900ms;
  job.mLongestUsefulWait = aUsefulWait;
  job.mHigherPriorityLoad = aLoadAbove;
  return { aCount, job };
}

} // namespace

BOOST_AUTO_TEST_SUITE(shedding)

// Callers waited until their answers were of no use, and were refused then.
BOOST_AUTO_TEST_CASE(jobs_that_cannot_be_useful_are_refused_at_once)
{
  // 60 slots are left for 20 jobs of 4 tasks, which start within 2 s.
  const auto refused = quota::HopelessJobs(LongJobs(60, 2s, 40), 100);
  // 2 s at 60 slots are 120 s of work: some 33 jobs of 3.6 s.
  BOOST_TEST(refused.size() >= 25U);
  BOOST_TEST(refused.size() <= 28U);
  BOOST_TEST(refused.front() >= 32U); // The last in the queue.
  BOOST_TEST(quota::HopelessJobs(LongJobs(20, 2s, 40), 100).empty());
}

BOOST_AUTO_TEST_CASE(work_that_was_begun_is_not_thrown_away)
{
  auto jobs = LongJobs(60, 2s, 40);
  for (auto& job : jobs) {
    job.mHasStarted = true;
  }
  BOOST_TEST(quota::HopelessJobs(jobs, 100).empty());
}

// Of jobs of one urgency, a small one is served where a large one cannot be.
BOOST_AUTO_TEST_CASE(a_job_that_needs_more_work_is_refused_first)
{
  auto jobs = LongJobs(33, 2s, 40);
  quota::waiting_job large = jobs.front();
  large.mWork = 36s;
  quota::waiting_job small = jobs.front();
  small.mWork = 900ms;
  jobs.push_back(large);
  jobs.push_back(small);
  const auto refused = quota::HopelessJobs(jobs, 100);
  BOOST_REQUIRE_EQUAL(refused.size(), 1U);
  BOOST_TEST(refused.front() == 33U);
}

// Fault: the offered load of urgent jobs is reported far above all slots.
BOOST_AUTO_TEST_CASE(an_absurd_load_above_shuts_no_class_out)
{
  BOOST_TEST(quota::HopelessJobs(LongJobs(2, 2s, 1e9), 100).empty());
  BOOST_TEST(quota::HopelessJobs(LongJobs(1, 2s, 0), 0).size() <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
