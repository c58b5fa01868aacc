#include "libgooseberry/quota/shedding.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** Equal jobs of four long tasks each, in the order of the queue. */
std::vector<quota::waiting_job>
LongJobs(std::size_t aCount, core::duration aUsefulWait)
{
  quota::waiting_job job;
  job.mWork = 3600ms;
  job.mLastTask = 900ms;
  job.mLongestUsefulWait = aUsefulWait;
  return { aCount, job };
}

} // namespace

BOOST_AUTO_TEST_SUITE(shedding)

// Callers waited until their answers were of no use, and were refused then.
BOOST_AUTO_TEST_CASE(jobs_that_cannot_be_useful_are_refused_at_once)
{
  const auto refused = quota::HopelessJobs(LongJobs(60, 2s), 60);
  // 2 s at 60 slots are 120 s of work: some 33 jobs of 3.6 s.
  BOOST_TEST(refused.size() >= 25U);
  BOOST_TEST(refused.size() <= 28U);
  BOOST_TEST(refused.front() >= 32U); // The last in the queue.
  BOOST_TEST(quota::HopelessJobs(LongJobs(20, 2s), 60).empty());
}

BOOST_AUTO_TEST_CASE(work_that_was_begun_is_not_thrown_away)
{
  auto jobs = LongJobs(60, 2s);
  for (auto& job : jobs) {
    job.mHasStarted = true;
  }
  BOOST_TEST(quota::HopelessJobs(jobs, 60).empty());
}

// Of jobs of one urgency, a small one is served where a large one cannot be.
BOOST_AUTO_TEST_CASE(a_job_that_needs_more_work_is_refused_first)
{
  auto jobs = LongJobs(33, 2s);
  quota::waiting_job large = jobs.front();
  large.mWork = 36s;
  quota::waiting_job small = jobs.front();
  small.mWork = 900ms;
  jobs.push_back(large);
  jobs.push_back(small);
  const auto refused = quota::HopelessJobs(jobs, 60);
  BOOST_REQUIRE_EQUAL(refused.size(), 1U);
  BOOST_TEST(refused.front() == 33U);
}

// Fault: an entry that has lost its targets and peers divides by nothing.
BOOST_AUTO_TEST_CASE(an_entry_without_slots_refuses_no_first_job)
{
  BOOST_TEST(quota::HopelessJobs(LongJobs(1, 3s), 0).empty());
}

BOOST_AUTO_TEST_SUITE_END()
