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

// Double run: a start without an answer was stopped and its task placed
// elsewhere; the target's next process carried the start out.
BOOST_AUTO_TEST_CASE(a_start_without_an_answer_stays_at_its_target)
{
  const auto start = Start();
  Answer(start, lease::start_answer::NoAnswer);
  Pass(mTarget.mSettings.mStartValidity);
  lease::ConfirmRun(mTarget.mRuns.at(kTask), mNow);
  Pass(50ms);
  Report({});
  Pass(1ms);
  Report({});
  BOOST_TEST(Ends().empty());
  BOOST_TEST(Count<lease::stop_call>() == 0U);
  const auto again = Last<lease::start_call>();
  BOOST_TEST(again.mId != start.mId);
  BOOST_TEST(again.mRun == start.mRun);
}

// Double run: the answers to later calls settled a run of which an earlier call
// could still be carried out.
BOOST_AUTO_TEST_CASE(no_refusal_returns_a_run_with_an_earlier_call_open)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  for (const auto answer : { lease::start_answer::NoRoom,
                             lease::start_answer::Late,
                             lease::start_answer::Unhealthy,
                             lease::start_answer::NotSent,
                             lease::start_answer::Superseded }) {
    Pass(mTarget.mSettings.mMaxResendPause);
    lease::ConfirmRun(mTarget.mRuns.at(kTask), mNow);
    Pass(1ms);
    Answer(Last<lease::start_call>(), answer);
    BOOST_TEST(Ends().empty());
  }
  Report({}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Succeeded));
}

// Double run: an earlier call was answered after a later one that was refused.
BOOST_AUTO_TEST_CASE(an_earlier_acceptance_counts)
{
  const auto first = Start();
  Pass(mTarget.mSettings.mStartOverdue);
  const auto second = Last<lease::start_call>();
  BOOST_REQUIRE(second.mId != first.mId);
  Answer(first, lease::start_answer::Accepted);
  Answer(second, lease::start_answer::Late);
  BOOST_TEST(Ends().empty());
  BOOST_TEST((mTarget.mRuns.at(kTask).mState == lease::run_state::Running));
}

// The job of a stopped start could be submitted again while a call of it could
// still be carried out.
BOOST_AUTO_TEST_CASE(a_stopped_start_without_an_answer_stays_known)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  lease::StopRun(mTarget, kTask, mNow, mEffects);
  const auto stop = Last<lease::stop_call>();
  Report({}); // Not started yet, but the call may still arrive.
  BOOST_TEST(Ends().empty());
  Pass(1ms);
  lease::OnStopAnswer(mTarget, stop, mNow);
  BOOST_TEST(Ends().empty());
  Report({}); // Requested after the stop: this process rejects the start.
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  // The next process may yet start it: neither "not run" nor placed again.
  BOOST_TEST((Ends().front().mEnd == core::task_end::Unknown));
  BOOST_TEST(mTarget.mLateStarts.contains(kTask));
  Pass(lease::kCallLifetime - 2ms);
  BOOST_TEST(mTarget.mLateStarts.contains(kTask));
  Pass(mTarget.mSettings.mLongestLease + 5ms);
  BOOST_TEST(mTarget.mLateStarts.empty());
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

// Load pattern: a target leaves some of all calls unanswered for seconds. Ends
// of tasks stayed unseen for 140 ms with each lost renewal.
BOOST_AUTO_TEST_CASE(a_target_that_loses_calls_is_asked_more_often)
{
  const auto& settings = mTarget.mSettings;
  Pass(0ms);
  Pass(settings.mRenewWait + settings.mRenewOverdue + 5ms); // Lost.
  Report({});
  Pass(0ms);
  BOOST_TEST((Last<lease::renew_call>().mWait == settings.mShortRenewWait));
  const auto count = Count<lease::renew_call>();
  Pass(settings.mShortRenewWait + settings.mShortOverdue + 5ms);
  BOOST_TEST(Count<lease::renew_call>() == count + 1);
  mNow += settings.mLossMemory;
  Report({});
  Pass(0ms);
  BOOST_TEST((Last<lease::renew_call>().mWait == settings.mRenewWait));
}

// Leases lapsed for good after a target had been silent: each answer to a
// replaced renewal led to one more, so their number in flight never fell.
BOOST_AUTO_TEST_CASE(an_answer_to_a_replaced_renewal_leads_to_no_other)
{
  constexpr int kSilentTicks = 50;
  std::vector<core::instant> sent;
  for (int i = 0; i < kSilentTicks; ++i) {
    const auto count = Count<lease::renew_call>();
    Pass(20ms);
    if (Count<lease::renew_call>() > count) {
      sent.push_back(mNow);
    }
  }
  BOOST_REQUIRE(sent.size() > 5);
  mEffects.clear();
  for (const core::instant askedAt : sent) {
    lease::OnReport(mTarget, { Clock(), 7, {}, {} }, askedAt, mNow, mEffects);
    lease::Tick(mTarget, mNow, mEffects);
  }
  BOOST_TEST(Count<lease::renew_call>() == 1U);
}

// Leases lapsed while each renewal was answered, but only after it had been
// replaced.
BOOST_AUTO_TEST_CASE(slow_answers_extend_leases)
{
  Answer(Start(), lease::start_answer::Accepted);
  const auto& settings = mTarget.mSettings;
  Pass(0ms);
  for (int i = 0; i < 100; ++i) {
    const core::instant askedAt = mTarget.mRenewalSentAt;
    Pass(settings.mRenewWait + settings.mRenewOverdue + 5ms);
    lease::ConfirmRun(mTarget.mRuns.at(kTask), mNow);
    lease::OnReport(
      mTarget, { Clock(), 7, { { kTask, 1 } }, {} }, askedAt, mNow, mEffects);
  }
  BOOST_TEST(Ends().empty());
  BOOST_TEST((mTarget.mLeaseUntil > Clock()));
}

// Load pattern: a target leaves a few starts unanswered, some of which it
// carries out late. A job with one of them waited for the call's deadline.
BOOST_AUTO_TEST_CASE(a_start_is_sent_again_before_its_deadline)
{
  const auto start = Start();
  const core::instant sentAt = mNow;
  Pass(20ms);
  BOOST_TEST(Count<lease::start_call>() == 1U);
  Pass(20ms);
  BOOST_TEST(Count<lease::start_call>() == 2U);
  BOOST_TEST(Last<lease::withdraw_call>().mStartId == start.mId);
  Answer(Last<lease::start_call>(), lease::start_answer::Accepted);
  BOOST_TEST((mTarget.mRuns.at(kTask).mState == lease::run_state::Running));
  BOOST_TEST((mNow - sentAt < mTarget.mSettings.mCallDeadline / 4));
}

// A run that had ended without a result at its target, and whose calls were all
// answered afterwards, held its task until its deadline.
BOOST_AUTO_TEST_CASE(a_run_that_ended_there_ends_with_its_last_open_call)
{
  const auto first = Start();
  Pass(mTarget.mSettings.mStartOverdue);
  const auto second = Last<lease::start_call>();
  Report({}, { { 1, kTask, 1, core::task_end::Lost, "lapsed" } });
  BOOST_TEST(Ends().empty());
  Answer(second, lease::start_answer::Superseded);
  Pass(1ms);
  BOOST_TEST(Ends().empty());
  Answer(first, lease::start_answer::Superseded);
  Pass(1ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  // It has run: not "not run".
  BOOST_TEST((Ends().front().mEnd == core::task_end::Lost));
}

// Double run: a run that had ended at its target's process was carried out by
// the next one, which answered before it had reported.
BOOST_AUTO_TEST_CASE(a_run_accepted_after_its_end_is_not_over)
{
  const auto first = Start();
  Pass(mTarget.mSettings.mStartOverdue);
  const auto second = Last<lease::start_call>();
  Report({}, { { 1, kTask, 1, core::task_end::Lost, "lapsed" } });
  Answer(second, lease::start_answer::Superseded);
  lease::OnStartAnswer(
    mTarget, first, lease::start_answer::Accepted, 1ms, mNow, mEffects);
  Pass(1ms);
  BOOST_TEST(Ends().empty());
}

// Double run: a call of the task's last run at the target was carried out, and
// closed the call of its next one.
BOOST_AUTO_TEST_CASE(a_late_start_of_an_earlier_run_closes_no_call)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  lease::StopRun(mTarget, kTask, mNow, mEffects);
  lease::OnStopAnswer(mTarget, Last<lease::stop_call>(), mNow);
  Report({});
  BOOST_REQUIRE(mTarget.mRuns.empty());
  Start();
  Report({ { kTask, 1 } });
  BOOST_TEST(lease::HasOpenCalls(mTarget.mRuns.at(kTask)));
}

// A target that hangs had each of its starts sent again without end.
BOOST_AUTO_TEST_CASE(the_pause_between_two_sends_grows)
{
  Start();
  for (int i = 0; i < 100; ++i) {
    Pass(10ms);
    lease::ConfirmRun(mTarget.mRuns.at(kTask), mNow);
  }
  BOOST_TEST(Count<lease::start_call>() <= 6U);
}

// Double run: an agent that had stood still sent a start again that its entry
// had last asked for before.
BOOST_AUTO_TEST_CASE(a_start_is_not_sent_again_on_old_evidence)
{
  Start();
  mNow += mTarget.mSettings.mRunHold;
  Pass(1ms);
  BOOST_TEST(Count<lease::start_call>() == 1U);
}

// Double run: the call was still to be sent, and reached the next incarnation.
BOOST_AUTO_TEST_CASE(a_start_that_may_yet_be_sent_is_not_settled)
{
  const auto start = Start();
  lease::StopRun(mTarget, kTask, mNow, mEffects);
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

// A task may be started again at the target where it was stopped; the first
// call is answered after the second was made.
BOOST_AUTO_TEST_CASE(an_answer_counts_for_its_own_call_only)
{
  const auto first = Start();
  lease::StopRun(mTarget, kTask, mNow, mEffects);
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
