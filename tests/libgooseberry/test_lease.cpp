#include "lease_fixture.h"

using namespace gooseberry;
using namespace gooseberry::lease::test;

BOOST_FIXTURE_TEST_SUITE(leased_target, lease_fixture)

BOOST_AUTO_TEST_CASE(a_run_ends_as_the_target_lists_it)
{
  Answer(Start(), lease::start_answer::Accepted);
  Report({ { kTask, 1 } });
  BOOST_TEST(Ends().empty());
  Report({}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Succeeded));
  Report({}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_TEST(Ends().size() == 1U);
  Pass(1ms);
  BOOST_TEST(Last<lease::renew_call>().mLastEnd == 1U);
}

BOOST_AUTO_TEST_CASE(an_end_listed_before_the_start_is_answered_counts)
{
  const auto call = Start();
  Report({}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  Answer(call, lease::start_answer::Accepted);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Succeeded));
  BOOST_TEST(mTarget.mRuns.empty());
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_is_in_doubt_until_it_cannot_run)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  Pass(1ms);
  const auto stop = Last<lease::stop_call>();
  BOOST_TEST((stop.mTask == kTask));
  Report({}); // Not started yet, but the call may still arrive.
  BOOST_TEST(Ends().empty());
  Pass(1ms);
  lease::OnStopAnswer(mTarget, stop, mNow);
  BOOST_TEST(Ends().empty());
  Report({}); // Requested after the stop: a late start is rejected.
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_ends_when_its_validity_expires)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  Pass(mTarget.mSettings.mStartValidity);
  Report({});
  BOOST_TEST(Ends().empty()); // The target's clock may be 2% slow.
  Pass(50ms);
  Report({});
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
}

BOOST_AUTO_TEST_CASE(a_start_carried_out_late_is_recognised)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  Report({ { kTask, 1 } });
  Pass(100ms);
  BOOST_TEST(Count<lease::stop_call>() == 0U);
  Report({}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Succeeded));
}

BOOST_AUTO_TEST_CASE(foreign_runs_are_stopped_before_new_starts)
{
  Report({ { { "other", 3 }, 2 } });
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
  BOOST_TEST(Last<lease::stop_call>().mRun == 2U);
  Report({});
  BOOST_TEST(lease::IsReady(mTarget, mNow));
}

BOOST_AUTO_TEST_CASE(runs_are_lost_once_their_lease_has_lapsed_for_certain)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  const auto until = Last<lease::renew_call>().mLeaseUntil;
  BOOST_TEST((until - Clock() <= mTarget.mSettings.mLease));
  Pass(mTarget.mSettings.mLease);
  BOOST_TEST(Ends().empty()); // The target's clock may be 2% slow.
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
  Pass(60ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Lost));
}

// Double run: a run outlived its entry when its stop calls were not answered.
BOOST_AUTO_TEST_CASE(no_lease_outlasts_the_hold_of_a_run)
{
  const core::instant confirmedAt = mNow;
  const core::instant over = confirmedAt + mTarget.mSettings.mRunHold;
  mNow += 500ms;
  core::task_start start;
  start.mTask = kTask;
  lease::StartRun(mTarget, start, confirmedAt, mNow, mEffects);
  Answer(Last<lease::start_call>(), lease::start_answer::Accepted);
  while (mNow < over + 20ms) {
    Pass(20ms);
    const auto until = Last<lease::renew_call>().mLeaseUntil - Clock();
    BOOST_TEST((mNow + until <= std::max(over, mNow)));
    Report({ { kTask, 1 } });
  }
  BOOST_TEST((Last<lease::start_call>().mValidUntil - 5'000ms <=
              std::chrono::duration_cast<lease::target_time>(over - kStart)));
}

BOOST_AUTO_TEST_CASE(a_run_that_is_being_stopped_is_not_confirmed_again)
{
  Answer(Start(), lease::start_answer::Accepted);
  lease::StopRun(mTarget, kTask, mNow, mEffects);
  lease::ConfirmRun(mTarget.mRuns.at(kTask), mNow + 500ms);
  BOOST_TEST((mTarget.mRuns.at(kTask).mConfirmedAt == mNow));
}

BOOST_AUTO_TEST_CASE(a_superseded_start_takes_a_higher_run_number)
{
  const auto first = Start();
  Answer(first, lease::start_answer::Superseded);
  const auto second = Last<lease::start_call>();
  BOOST_TEST(second.mRun > first.mRun);
  Answer(second, lease::start_answer::Accepted);
  Report({ { kTask, second.mRun } });
  BOOST_TEST(Ends().empty());
}

BOOST_AUTO_TEST_CASE(refused_starts_are_given_back_with_the_reason)
{
  const auto verdictOf = [this](lease::start_answer aAnswer) {
    mEffects.clear();
    Answer(Start(), aAnswer);
    BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
    BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
    return Ends().front().mVerdict;
  };
  BOOST_TEST(
    (verdictOf(lease::start_answer::NoRoom) == core::start_verdict::Busy));
  BOOST_TEST(
    (verdictOf(lease::start_answer::Late) == core::start_verdict::Stale));
  BOOST_TEST((verdictOf(lease::start_answer::Unhealthy) ==
              core::start_verdict::NoTarget));
}

BOOST_AUTO_TEST_CASE(a_stop_is_repeated_until_it_is_answered)
{
  Answer(Start(), lease::start_answer::Accepted);
  lease::StopRun(mTarget, kTask, mNow, mEffects);
  BOOST_TEST(Count<lease::stop_call>() == 1U);
  Pass(mTarget.mSettings.mStopRetry);
  BOOST_TEST(Count<lease::stop_call>() == 2U);
  lease::OnStopAnswer(mTarget, Last<lease::stop_call>(), mNow);
  Pass(mTarget.mSettings.mStopRetry);
  BOOST_TEST(Count<lease::stop_call>() == 2U);
}

// Guards against a long delay of task ends when a target leaves some renewals
// unanswered while tasks end often.
BOOST_AUTO_TEST_CASE(a_lost_renewal_hides_ends_for_a_short_time_only)
{
  Pass(0ms);
  BOOST_REQUIRE_EQUAL(Count<lease::renew_call>(), 1U);
  const core::instant lost = mNow;
  const auto& settings = mTarget.mSettings;
  Pass(settings.mRenewWait + settings.mRenewOverdue + 5ms);
  BOOST_REQUIRE_EQUAL(Count<lease::renew_call>(), 2U);
  BOOST_TEST((Last<lease::renew_call>().mWait == 0ms));
  mNow += 5ms;
  Report({});
  Pass(0ms);
  BOOST_TEST(Count<lease::renew_call>() == 3U);
  lease::OnRenewalFailed(mTarget,
                         lease::renewal_failure::NoAnswer,
                         std::nullopt,
                         lost,
                         mNow,
                         mEffects);
  BOOST_TEST(mTarget.mFailures == 0U);
  BOOST_TEST(mTarget.mRenewing);
}

// Load pattern: a target leaves a few starts unanswered, some of which it
// carries out late. A job with one of them waited for the call's deadline.
BOOST_AUTO_TEST_CASE(an_unlisted_start_is_taken_back_before_its_deadline)
{
  const auto start = Start();
  const core::instant sentAt = mNow;
  mNow += 20ms;
  Report({});
  BOOST_TEST(Count<lease::stop_call>() == 0U);
  mNow += 20ms;
  Report({});
  const auto stop = Last<lease::stop_call>();
  BOOST_TEST(Last<lease::withdraw_call>().mStartId == start.mId);
  mNow += 2ms;
  lease::OnStartSent(mTarget, start.mId, mNow);
  lease::OnStopAnswer(mTarget, stop, mNow);
  BOOST_TEST(Ends().empty());
  mNow += 2ms;
  Report({});
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
  BOOST_TEST((mNow - sentAt < mTarget.mSettings.mCallDeadline / 4));
}

// Double run: the call was still to be sent, and reached the next incarnation.
BOOST_AUTO_TEST_CASE(a_start_that_may_yet_be_sent_is_not_settled)
{
  const auto start = Start();
  mNow += 40ms;
  Report({});
  lease::OnStopAnswer(mTarget, Last<lease::stop_call>(), mNow);
  mNow += 2ms;
  Report({});
  BOOST_TEST(Ends().empty());
  Answer(start, lease::start_answer::Withdrawn);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
}

// The answer to a start was lost: its run was stopped at the call's deadline.
BOOST_AUTO_TEST_CASE(a_listed_start_needs_no_answer)
{
  const auto start = Start();
  mNow += 60ms;
  Report({ { kTask, 1 } });
  mNow += 190ms;
  Answer(start, lease::start_answer::NoAnswer);
  Pass(1ms);
  BOOST_TEST(Count<lease::stop_call>() == 0U);
  Report({}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Succeeded));
}

// A task may be started again at the target that gave it back; the first call
// is answered after the second was made.
BOOST_AUTO_TEST_CASE(an_answer_counts_for_its_own_call_only)
{
  const auto first = Start();
  mNow += 40ms;
  Report({});
  lease::OnStartSent(mTarget, first.mId, mNow);
  lease::OnStopAnswer(mTarget, Last<lease::stop_call>(), mNow);
  mNow += 2ms;
  Report({});
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  const auto second = Start();
  BOOST_TEST(second.mRun == first.mRun);
  Answer(first, lease::start_answer::Late);
  BOOST_TEST(Ends().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
