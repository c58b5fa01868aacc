#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr core::instant kStart{ 1000s };

membership::entry_capacity
MakeCapacity(const std::string& aDomain, std::optional<double> aRate)
{
  return { aDomain, 120, true, false, aRate };
}

membership::caller_use
Expected(std::optional<double> aUse)
{
  return { aUse, 0, false };
}

/** Returns a meter after 30 s of jobs at this rate and cost. */
quota::job_meter
Measured(int aJobsPerSecond, core::duration aCost, core::duration aForAgents)
{
  quota::job_meter meter;
  std::uint64_t jobs = 0;
  for (core::instant now = kStart; now <= kStart + 30s; now += 1s) {
    quota::Sample(meter, { jobs, 66, false }, now);
    jobs += static_cast<std::uint64_t>(aJobsPerSecond);
    meter.mProcessorTime += aJobsPerSecond * aCost + aForAgents;
  }
  return meter;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_load_suite)

// Guards against a share of all callers where a domain has fewer entries.
BOOST_AUTO_TEST_CASE(callers_are_expected_by_domain)
{
  const std::vector<membership::entry_capacity> others{
    MakeCapacity("a", 100), MakeCapacity("b", 100), MakeCapacity("b", 100)
  };
  BOOST_TEST(membership::ExpectedRate(MakeCapacity("a", 0), others).value() ==
             75.0);
  BOOST_TEST(membership::ExpectedRate(MakeCapacity("c", 0), others).value() ==
             100.0);
}

// Guards against a wrong total where an earlier version does not tell its rate.
BOOST_AUTO_TEST_CASE(one_unknown_rate_makes_the_load_unknown)
{
  std::vector<membership::entry_capacity> others{
    MakeCapacity("a", 10), MakeCapacity("a", std::nullopt)
  };
  BOOST_TEST(
    !membership::ExpectedRate(MakeCapacity("a", 10), others).has_value());
  others[1].mIsAvailable = false;
  BOOST_TEST(
    membership::ExpectedRate(MakeCapacity("a", 10), others).has_value());
}

// Guards against oscillation of callers.
BOOST_AUTO_TEST_CASE(a_high_load_lasts_for_a_minimum_time)
{
  membership::caller_load load;
  Update(load, Expected(0.5), kStart);
  BOOST_TEST(!load.mIsHigh);
  Update(load, Expected(1.2), kStart + 4s);
  BOOST_TEST(load.mIsHigh);
  Update(load, Expected(0.5), kStart + 13s);
  BOOST_TEST(load.mIsHigh);
  Update(load, Expected(0.9), kStart + 15s); // Between the marks.
  BOOST_TEST(load.mIsHigh);
  Update(load, Expected(0.5), kStart + 16s);
  BOOST_TEST(!load.mIsHigh);
  Update(load, Expected(0.9), kStart + 30s);
  BOOST_TEST(!load.mIsHigh);
  Update(load, Expected(std::nullopt), kStart + 31s);
  BOOST_TEST(load.mIsHigh);
}

// Guards against refusals by an entry that many callers happen to use.
BOOST_AUTO_TEST_CASE(a_nearly_used_up_processor_is_a_high_load)
{
  quota::queue_delay delay;
  for (core::instant now = kStart; now < kStart + 2s; now += 20ms) {
    quota::RecordDelay(delay, 10ms, now);
  }
  BOOST_TEST(quota::SharePercent(delay) == 100);
  BOOST_TEST(quota::IsNearLimit(delay));
  membership::caller_load load;
  Update(load, { 0.5, 0.5, false }, kStart);
  Update(load, { 0.5, 0.5, quota::IsNearLimit(delay) }, kStart + 4s);
  BOOST_TEST(load.mIsHigh);
}

BOOST_AUTO_TEST_CASE(the_cost_of_a_job_is_learned_without_that_of_agents)
{
  const quota::job_meter meter = Measured(50, 900us, 30ms);
  BOOST_TEST(std::abs(core::ToMilliseconds(quota::JobCost(meter)) - 0.9) <
             0.01);
  BOOST_TEST(std::abs(quota::ExpectedUse(meter, 100, 66, 120) - 1.0) < 0.01);
  BOOST_TEST(std::abs(quota::CurrentUse(meter, 66, 120) - 0.625) < 0.01);
}

// Guards against decisions by a wrong reading of the processor time.
BOOST_AUTO_TEST_CASE(the_learned_cost_of_a_job_is_bounded)
{
  BOOST_TEST((quota::JobCost(Measured(50, 50ms, 0ms)) == 3ms));
  BOOST_TEST((quota::JobCost(Measured(50, 0ms, 1us)) == 250us));
  BOOST_TEST((quota::JobCost(Measured(1, 50ms, 0ms)) == 1250us));
}

BOOST_FIXTURE_TEST_CASE(implausible_rates_in_heartbeats_are_dropped,
                        entry::test::leased_entry)
{
  core::heartbeat beat;
  beat.mEntry = { "other", 1 };
  beat.mJobsPerSecond = 40;
  entry::OnHeartbeat(mControl, beat, mNow, mEffects);
  const auto& view = mControl.mMembers.mEntries.at("other");
  for (const double rate : { -1.0,
                             1e9,
                             std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity() }) {
    beat.mJobsPerSecond = rate;
    beat.mMillicores += 100;
    entry::OnHeartbeat(mControl, beat, mNow + 1s, mEffects);
    BOOST_TEST(view.mJobsPerSecond.value() == 40);
    BOOST_TEST(view.mMillicores == beat.mMillicores);
  }
  BOOST_TEST(mControl.mCounters.mRatesDropped == 4U);
  BOOST_TEST((view.mRateAt == mNow));
}

BOOST_AUTO_TEST_SUITE_END()
