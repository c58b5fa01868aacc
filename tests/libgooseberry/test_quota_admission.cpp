#include "libgooseberry/quota/admission.h"
#include "libgooseberry/quota/retry_budget.h"
#include "property.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::quota;
using namespace std::chrono_literals;
using gooseberry::test::Between;
using gooseberry::test::CheckProperty;

namespace {

constexpr core::instant kStart = core::instant{} + 1h;

/**
 * Makes a request of 870 tasks with 87 s of work at 80 slots: 1.1 s on an idle
 * system.
 */
admission_request
MakeRequest(core::duration aWorkAhead)
{
  admission_request request;
  request.mWorkAhead = aWorkAhead;
  request.mWaitingTasks = aWorkAhead / 100ms;
  request.mSlots = 80;
  request.mTasks = 870;
  request.mWork = 87s;
  request.mLongestTask = 300ms;
  return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budget_suite)

BOOST_AUTO_TEST_CASE(burst_then_a_tenth_of_the_starts)
{
  retry_budget budget;
  budget.mEarnedAt = kStart;
  for (int i = 0; i < 32; ++i) {
    BOOST_TEST(SpendRetry(budget, kStart));
  }
  BOOST_TEST(!SpendRetry(budget, kStart));
  for (int i = 0; i < 10; ++i) {
    EarnRetries(budget, 1);
  }
  BOOST_TEST(SpendRetry(budget, kStart));
  BOOST_TEST(!SpendRetry(budget, kStart));
  BOOST_TEST(!SpendRetry(budget, kStart + 900ms));
  BOOST_TEST(SpendRetry(budget, kStart + 1s)); // Earned by the floor.
}

BOOST_AUTO_TEST_CASE(retries_stay_within_share_floor_and_burst)
{
  CheckProperty(
    [] {
      retry_budget budget;
      budget.mEarnedAt = kStart;
      core::instant now = kStart;
      double starts = 0;
      double retries = 0;
      for (int step = 0; step < 200; ++step) {
        now += Between(0, 50) * 1ms;
        const auto started = Between<std::uint32_t>(0, 20);
        EarnRetries(budget, started);
        starts += started;
        for (int i = Between(0, 10); i > 0; --i) {
          retries += SpendRetry(budget, now) ? 1 : 0;
        }
        const std::chrono::duration<double> passed = now - kStart;
        RC_ASSERT(retries <= 32.01 + starts * 0.1 + passed.count());
      }
    },
    50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admission_suite)

BOOST_AUTO_TEST_CASE(idle_system_admits_a_job_of_any_size)
{
  admission_request request = MakeRequest(0ms);
  request.mTasks = 1'000'000;
  request.mWork = 100h;
  request.mDeadline = 1ms;
  for (const std::uint32_t slots : { 0U, 1U, 80U }) {
    request.mSlots = slots;
    BOOST_TEST(std::holds_alternative<admitted>(Admit({}, request)));
  }
}

BOOST_AUTO_TEST_CASE(expected_wait_bounds_the_queue)
{
  const admission_settings settings;
  const auto admission = Admit(settings, MakeRequest(160s)); // 2 s at 80 slots.
  BOOST_TEST((std::get<admitted>(admission).mExpectedWait == 2s));
  BOOST_TEST((std::get<admitted>(admission).mExpectedFinish == 3087500us));
  const auto late = std::get<refused>(Admit(settings, MakeRequest(240s)));
  BOOST_TEST((late.mReason == admission_reason::Wait));
  BOOST_TEST((late.mRetryAfter == 1s));
}

BOOST_AUTO_TEST_CASE(job_is_refused_where_waiting_breaks_its_deadline)
{
  admission_request request = MakeRequest(80s); // A wait of 1 s.
  request.mDeadline = 2s;
  const auto late = std::get<refused>(Admit({}, request));
  BOOST_TEST((late.mReason == admission_reason::Deadline));
  BOOST_TEST((late.mRetryAfter == 200ms));
  request.mDeadline = 3s;
  BOOST_TEST(std::holds_alternative<admitted>(Admit({}, request)));
  request.mDeadline = 500ms; // It could not be met even on an idle system.
  BOOST_TEST(std::holds_alternative<admitted>(Admit({}, request)));
}

BOOST_AUTO_TEST_CASE(waiting_task_limit_bounds_the_queue)
{
  admission_settings settings;
  settings.mMaxWaitingTasks = 1000;
  const auto refusal = Admit(settings, MakeRequest(20s));
  BOOST_TEST(
    (std::get<refused>(refusal).mReason == admission_reason::QueueFull));
}

BOOST_AUTO_TEST_CASE(more_work_ahead_never_admits_a_refused_job)
{
  CheckProperty(
    [] {
      admission_request request = MakeRequest(Between(1, 400) * 1s);
      request.mSlots = Between(0, 100);
      request.mDeadline = Between(1, 4000) * 1ms;
      const auto first = Admit({}, request);
      request.mWorkAhead += Between(0, 100) * 1s;
      const auto second = Admit({}, request);
      RC_ASSERT(std::holds_alternative<admitted>(first) ||
                std::holds_alternative<refused>(second));
      if (const auto* const refusal = std::get_if<refused>(&second)) {
        RC_ASSERT(refusal->mRetryAfter >= 200ms);
      }
    },
    1000);
}

BOOST_AUTO_TEST_SUITE_END()
