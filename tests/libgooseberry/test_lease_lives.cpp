#include "lease_fixture.h"

using namespace gooseberry;
using namespace gooseberry::lease::test;

BOOST_FIXTURE_TEST_SUITE(leased_target_incarnations, lease_fixture)

BOOST_AUTO_TEST_CASE(a_new_incarnation_ends_the_runs_of_the_old_one)
{
  Answer(Start(), lease::start_answer::Accepted);
  const auto token = mTarget.mFencingToken;
  mNow += 1ms;
  Register(8, 1);
  BOOST_TEST(Ends().empty()); // The registration may be late or forged.
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
  mNow += 1ms;
  lease::OnReport(mTarget, { 10ms, 8, {}, {} }, mNow, mNow, mEffects);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Lost));
  BOOST_TEST(mTarget.mFencingToken > token); // Outranks calls of before.
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
}

// Double run: after a false registration, runs counted as ended that continued.
BOOST_AUTO_TEST_CASE(a_registration_of_another_incarnation_is_verified)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  mEffects.clear();
  Register(1'000'000, 1);
  Pass(0ms);
  BOOST_TEST(Count<lease::renew_call>() == 1U);
  Report({ { kTask, 1 } });
  BOOST_TEST(Ends().empty());
  BOOST_TEST(mTarget.mTargetIncarnation == 7U);
  BOOST_TEST(lease::IsReady(mTarget, mNow));
}

// Double run: the same with the target's own name and incarnation, but another
// address.
BOOST_AUTO_TEST_CASE(a_registration_does_not_redirect_calls_to_another_address)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  lease::OnRegistration(
    mTarget, { "t-1", "127.0.0.1:2", 0, 2 }, mNow, mEffects);
  mEffects.clear();
  Pass(0ms);
  BOOST_TEST(Last<lease::renew_call>().mHeader.mAddress == "127.0.0.1:1");
}

// Double run: an agent that was suspended while another replaced it accepted a
// start, with a token above that of the other.
BOOST_AUTO_TEST_CASE(a_fenced_agent_starts_nothing_before_it_knows_what_runs)
{
  lease::OnRenewalFailed(mTarget,
                         lease::renewal_failure::Fenced,
                         Clock() + 500ms,
                         mNow,
                         mNow,
                         mEffects);
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
  mNow += 1ms;
  Report({ { { "other", 0 }, 1 } });
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
  BOOST_TEST(Last<lease::stop_call>().mTask.mJob == "other");
  Report({});
  BOOST_TEST(lease::IsReady(mTarget, mNow));
}

BOOST_AUTO_TEST_CASE(a_report_requested_before_the_token_is_not_proof)
{
  lease::leased_target fresh;
  lease::effects effects;
  lease::OnRegistration(fresh, { "t-1", "127.0.0.1:1", 7, 2 }, mNow, effects);
  const core::instant asked = mNow;
  mNow += 5ms;
  lease::OnReport(fresh, { Clock(), 7, {}, {} }, asked, mNow, effects);
  lease::OnReport(fresh, { Clock(), 7, {}, {} }, asked, mNow, effects);
  BOOST_TEST(!lease::IsReady(fresh, mNow));
  lease::OnReport(fresh, { Clock(), 7, {}, {} }, mNow, mNow, effects);
  BOOST_TEST(lease::IsReady(fresh, mNow));
}

BOOST_AUTO_TEST_CASE(an_unreachable_incarnation_ends_with_its_lease)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  Register(8, 1);
  Pass(0ms);
  Pass(mTarget.mSettings.mLease);
  BOOST_TEST(Ends().empty());
  Pass(60ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST(mTarget.mTargetIncarnation == 8U);
}

// Double run: after a late report of an earlier incarnation, runs counted as
// ended that continued.
BOOST_AUTO_TEST_CASE(a_late_report_of_an_earlier_incarnation_changes_nothing)
{
  const core::instant asked = mNow;
  mNow += 1ms;
  Register(8, 1);
  Report({}, {}, 8);
  Report({}, {}, 8);
  Answer(Start(), lease::start_answer::Accepted);
  lease::OnReport(mTarget, { 9'000ms, 7, {}, {} }, asked, mNow, mEffects);
  lease::OnRenewalFailed(mTarget,
                         lease::renewal_failure::Refused,
                         std::nullopt,
                         asked,
                         mNow,
                         mEffects);
  BOOST_TEST(Ends().empty());
  BOOST_TEST(mTarget.mTargetIncarnation == 8U);
}

BOOST_AUTO_TEST_CASE(answers_to_calls_of_an_earlier_incarnation_change_nothing)
{
  const auto before = Start();
  mNow += 1ms;
  Report({}, {}, 8);
  Report({}, {}, 8);
  mEffects.clear();
  const auto now = Start();
  BOOST_TEST(now.mRun == before.mRun);
  Answer(before, lease::start_answer::NotSent);
  BOOST_TEST(Ends().empty());
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_outranks_its_previous_incarnation)
{
  lease::leased_target second;
  lease::effects effects;
  Pass(300ms);
  lease::OnRegistration(second, { "t-1", "127.0.0.1:1", 7, 2 }, mNow, effects);
  lease::OnReport(second, { Clock(), 7, {}, {} }, mNow, mNow, effects);
  BOOST_TEST(second.mFencingToken > mTarget.mFencingToken);
  // The target has not seen the token: it may still accept starts of the first.
  BOOST_TEST(!lease::IsReady(second, mNow));
  lease::OnReport(second, { Clock(), 7, {}, {} }, mNow, mNow, effects);
  BOOST_TEST(lease::IsReady(second, mNow));
}

// Double run: a start for one incarnation was carried out by the next, which
// had seen only the token of an agent that did not know of the start.
BOOST_AUTO_TEST_CASE(a_start_for_an_earlier_incarnation_is_fenced)
{
  const auto start = Start();
  lease::leased_target next;
  lease::effects effects;
  Pass(300ms);
  constexpr std::uint64_t kIncarnation = 7 + 5'200; // 200 ms later.
  lease::OnRegistration(
    next, { "t-1", "127.0.0.1:1", kIncarnation, 1 }, mNow, effects);
  lease::OnReport(next, { 100ms, kIncarnation, {}, {} }, mNow, mNow, effects);
  BOOST_TEST(next.mFencingToken > start.mHeader.mFencingToken);
}

// Double run: the same, where the clock of the first incarnation was ahead of
// that of the next, as each starts anywhere.
BOOST_AUTO_TEST_CASE(a_start_made_at_a_later_clock_is_fenced)
{
  constexpr std::uint64_t kFirst = 1'796'614'000'000;
  const auto tokenOf = [this](std::uint64_t aIncarnation,
                              lease::target_time aClock) {
    lease::leased_target target;
    lease::effects effects;
    lease::OnRegistration(
      target, { "t-1", "127.0.0.1:1", aIncarnation, 1 }, mNow, effects);
    lease::OnReport(
      target, { aClock, aIncarnation, {}, {} }, mNow, mNow, effects);
    return target.mFencingToken;
  };
  // The first one lived for 200 ms.
  BOOST_TEST(tokenOf(kFirst + 200, 1ms) > tokenOf(kFirst, 900'200ms));
  BOOST_TEST(tokenOf(kFirst, 900'250ms) > tokenOf(kFirst, 900'200ms));
  constexpr std::uint64_t kLastBorn = 7'258'118'400'000; // The year 2200.
  BOOST_TEST(tokenOf(kLastBorn, 24h) < std::uint64_t{ 1 } << 53U); // JSON.
}

// Double run: a start for one incarnation was carried out by the next after its
// first call, which had a lower token.
BOOST_AUTO_TEST_CASE(the_first_call_to_an_incarnation_fences_earlier_starts)
{
  const auto start = Start();
  Answer(start, lease::start_answer::Withdrawn);
  Pass(300ms);
  mEffects.clear();
  Register(7 + 5'200, 1);
  Pass(0ms);
  BOOST_TEST(Last<lease::renew_call>().mHeader.mFencingToken >
             start.mHeader.mFencingToken);
}

// Double run: the same, for an incarnation known only from its reports.
BOOST_AUTO_TEST_CASE(the_first_call_after_a_refused_one_fences_earlier_starts)
{
  const auto start = Start();
  Answer(start, lease::start_answer::NoAnswer);
  Pass(1ms);
  lease::OnRenewalFailed(mTarget,
                         lease::renewal_failure::Refused,
                         std::nullopt,
                         mNow,
                         mNow,
                         mEffects);
  BOOST_TEST(Ends().empty()); // The next incarnation may carry it out.
  mEffects.clear();
  Pass(mTarget.mSettings.mRenewRetry);
  BOOST_TEST(Last<lease::renew_call>().mHeader.mFencingToken >
             start.mHeader.mFencingToken);
}

// Double run: the same, where the host's time of day had been set back.
BOOST_AUTO_TEST_CASE(a_token_does_not_fall_with_the_time_of_day)
{
  const auto start = Start();
  Answer(start, lease::start_answer::Withdrawn);
  Pass(300ms);
  Register(3, 1);
  lease::OnReport(mTarget, { 10ms, 3, {}, {} }, mNow, mNow, mEffects);
  BOOST_TEST(mTarget.mFencingToken > start.mHeader.mFencingToken);
}

// Double run: a start made for one incarnation was sent to the next, after the
// run had counted as ended with the first.
BOOST_AUTO_TEST_CASE(a_start_in_flight_does_not_end_with_an_incarnation)
{
  const auto start = Start();
  mNow += 1ms;
  ReportRestart(10ms);
  BOOST_TEST(Ends().empty());
  Answer(start, lease::start_answer::NoAnswer);
  mEffects.clear();
  Pass(1ms);
  const auto again = Last<lease::start_call>();
  BOOST_TEST(again.mHeader.mTargetIncarnation == 8U);
  BOOST_TEST(again.mRun == start.mRun);
  mNow += 1ms;
  ReportRestart(12ms);
  ReportRestart(12ms);
  BOOST_TEST(Ends().empty());
  lease::StopRun(mTarget, kTask, mNow, mEffects);
  lease::OnStartSent(mTarget, again.mId, mNow);
  Pass(45ms);
  ReportRestart(57ms);
  lease::OnStopAnswer(mTarget, Last<lease::stop_call>(), mNow);
  mNow += 1ms;
  ReportRestart(58ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  // The first incarnation may have started it, and the next may yet: neither
  // "not run" nor placed again.
  BOOST_TEST((Ends().front().mEnd == core::task_end::Unknown));
  BOOST_TEST(mTarget.mLateStarts.contains(kTask));
}

// Double run: a confirmed run ended with its target's process and was started
// elsewhere, while the next process carried out an earlier call of it.
BOOST_AUTO_TEST_CASE(a_confirmed_run_with_an_open_call_stays_at_its_target)
{
  Start();
  Pass(mTarget.mSettings.mStartOverdue);
  Answer(Last<lease::start_call>(), lease::start_answer::Accepted);
  Report({ { kTask, 1 } });
  ReportRestart(10ms);
  ReportRestart(10ms);
  BOOST_TEST(Ends().empty());
  mEffects.clear();
  Pass(1ms);
  BOOST_TEST(Last<lease::start_call>().mHeader.mTargetIncarnation == 8U);
}

// Starts were refused as late and leases lapsed at a target for 31 s: a stopped
// run whose latest call had ended while the run was listed was never settled,
// and no lease may outlast its hold.
BOOST_AUTO_TEST_CASE(a_call_that_ends_while_its_run_is_listed_has_ended)
{
  Start();
  Pass(mTarget.mSettings.mStartOverdue);
  const auto second = Last<lease::start_call>();
  Report({ { kTask, 1 } });
  Pass(mTarget.mSettings.mCallDeadline);
  Answer(second, lease::start_answer::NoAnswer);
  ReportRestart(10ms);
  ReportRestart(10ms);
  lease::StopRun(mTarget, kTask, mNow, mEffects);
  lease::OnStopAnswer(mTarget, Last<lease::stop_call>(), mNow);
  mNow += 1ms;
  ReportRestart(11ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Unknown));
  BOOST_TEST((lease::MayStart(mTarget, mNow, mNow)));
}

// A run accepted by a process not known then was held after that process had
// listed it and fallen silent for good: its lease ended nothing.
BOOST_AUTO_TEST_CASE(a_run_listed_by_its_process_ends_with_its_lease)
{
  const auto start = Start();
  mNow += 1ms;
  ReportRestart(10ms);
  ReportRestart(10ms);
  Answer(start, lease::start_answer::Accepted);
  mNow += 1ms;
  ReportRestart(12ms, { { kTask, 1 } });
  BOOST_TEST(lease::IsKnownToBeThere(mTarget.mRuns.at(kTask)));
  Pass(2s);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Lost));
}

BOOST_AUTO_TEST_CASE(a_start_that_an_incarnation_took_over_runs_on_there)
{
  const auto start = Start();
  mNow += 1ms;
  ReportRestart(10ms);
  ReportRestart(10ms);
  lease::OnStartAnswer(
    mTarget, start, lease::start_answer::Accepted, 11ms, mNow, mEffects);
  mNow += 1ms;
  ReportRestart(12ms, { { kTask, 1 } });
  BOOST_TEST(Ends().empty());
  ReportRestart(
    12ms, {}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Succeeded));
}

BOOST_AUTO_TEST_CASE(a_start_in_flight_that_was_not_carried_out_is_returned)
{
  const auto start = Start();
  mNow += 1ms;
  ReportRestart(10ms);
  Answer(start, lease::start_answer::NotSent);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
}

// Double run: the next incarnation accepted a start before the agent knew of
// it. Its clock shows that it is another process.
BOOST_AUTO_TEST_CASE(an_acceptance_by_a_younger_process_proves_no_incarnation)
{
  const auto start = Start();
  mNow += 50ms;
  lease::OnStartAnswer(
    mTarget, start, lease::start_answer::Accepted, 20ms, mNow, mEffects);
  mNow += 1ms;
  ReportRestart(21ms, { { kTask, 1 } });
  BOOST_TEST(Ends().empty());
}

// Double run: the next incarnation, whose clock had started anywhere, accepted
// a start before the agent knew of it. The run was ended with the last one and
// started elsewhere.
BOOST_AUTO_TEST_CASE(an_acceptance_at_another_clock_proves_no_incarnation)
{
  for (const auto offset : { -4'900ms, -500ms, 500ms, 300'000ms }) {
    lease_fixture target;
    const auto start = target.Start();
    target.Pass(30ms);
    const auto clock = target.Clock() + offset;
    lease::OnStartAnswer(target.mTarget,
                         start,
                         lease::start_answer::Accepted,
                         clock,
                         target.mNow,
                         target.mEffects);
    target.Pass(1ms);
    target.ReportRestart(clock + 1ms, { { kTask, 1 } });
    BOOST_TEST(target.Ends().empty());
    target.Pass(1ms);
    target.ReportRestart(clock + 2ms, { { kTask, 1 } });
    BOOST_TEST(target.Ends().empty());
    BOOST_TEST(target.Count<lease::stop_call>() == 0U);
  }
}

// The same, where the lease of the last incarnation lapses first.
BOOST_AUTO_TEST_CASE(a_lapse_does_not_end_a_run_accepted_at_another_clock)
{
  for (const auto offset : { -4'000ms, 300'000ms }) {
    lease_fixture target;
    const auto start = target.Start();
    target.Pass(30ms);
    lease::OnStartAnswer(target.mTarget,
                         start,
                         lease::start_answer::Accepted,
                         target.Clock() + offset,
                         target.mNow,
                         target.mEffects);
    target.Pass(target.mTarget.mSettings.mLease + 60ms);
    BOOST_TEST(target.Ends().empty());
  }
}

// The same, where a rejected renewal showed the clock of the next incarnation,
// which it does not name.
BOOST_AUTO_TEST_CASE(a_rejected_renewal_names_no_incarnation)
{
  const auto start = Start();
  Pass(1ms);
  const auto clock = Clock() + 300'000ms;
  lease::OnRenewalFailed(
    mTarget, lease::renewal_failure::Fenced, clock, mNow, mNow, mEffects);
  lease::OnStartAnswer(
    mTarget, start, lease::start_answer::Accepted, clock, mNow, mEffects);
  Pass(1ms);
  ReportRestart(clock + 1ms, { { kTask, 1 } });
  BOOST_TEST(Ends().empty());
}

// Lost capacity: a run that its target's process had accepted was held for 31 s
// after that process had fallen silent, as its clock is slow.
BOOST_AUTO_TEST_CASE(an_acceptance_at_a_slow_clock_is_of_the_known_process)
{
  Pass(700ms);
  const auto start = Start();
  Pass(3ms);
  lease::OnStartAnswer(mTarget,
                       start,
                       lease::start_answer::Accepted,
                       Clock() - 14ms,
                       mNow,
                       mEffects);
  BOOST_TEST(lease::IsKnownToBeThere(mTarget.mRuns.at(kTask)));
}

// Double run: a target that was cut off ran on while connections were refused,
// and its runs were started elsewhere at once.
BOOST_AUTO_TEST_CASE(a_refused_connection_ends_no_run_before_its_lease)
{
  const auto unanswered = Start(0);
  Answer(Start(1), lease::start_answer::Accepted);
  Pass(1ms);
  lease::OnRenewalFailed(mTarget,
                         lease::renewal_failure::Refused,
                         std::nullopt,
                         mNow,
                         mNow,
                         mEffects);
  BOOST_TEST(Ends().empty());
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
  Answer(unanswered, lease::start_answer::NotSent);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST(Ends().front().mTask.mIndex == 0U);
  Pass(mTarget.mSettings.mLease - 50ms);
  BOOST_TEST(Ends().size() == 1U);
  Pass(110ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 2U);
  BOOST_TEST((Ends().back().mEnd == core::task_end::Lost));
}

// Double run: the same process answers again, and its runs go on.
BOOST_AUTO_TEST_CASE(a_target_that_refused_connections_keeps_its_runs)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  lease::OnRenewalFailed(mTarget,
                         lease::renewal_failure::Refused,
                         std::nullopt,
                         mNow,
                         mNow,
                         mEffects);
  mNow += 100ms;
  mEffects.clear();
  Report({ { kTask, 1 } });
  BOOST_TEST(Ends().empty());
  BOOST_TEST(Count<lease::stop_call>() == 0U);
}

// Double run: a target that was gone was replaced by a new one at its address,
// and an unanswered start by one of its former name.
BOOST_AUTO_TEST_CASE(another_target_ends_only_the_runs_that_were_there)
{
  const auto unanswered = Start(0);
  Answer(Start(1), lease::start_answer::Accepted);
  Report({ { { "job", 1 }, 1 } });
  Answer(unanswered, lease::start_answer::NoAnswer);
  Pass(1ms);
  lease::OnRenewalFailed(mTarget,
                         lease::renewal_failure::OtherTarget,
                         std::nullopt,
                         mNow,
                         mNow,
                         mEffects);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST(Ends().front().mTask.mIndex == 1U);
}

// Double run: a start was sent to a target that had ended. Its lease counted as
// lapsed by the clock of that process, and the next one carried the start out.
BOOST_AUTO_TEST_CASE(a_lapse_does_not_end_a_start_without_an_answer)
{
  const auto start = Start();
  Pass(mTarget.mSettings.mLease + 60ms);
  BOOST_TEST(Ends().empty());
  Answer(start, lease::start_answer::NoAnswer);
  Pass(mTarget.mSettings.mLease + 60ms);
  Pass(5s);
  BOOST_TEST(Ends().empty());
  // The next process has carried it out, and lists it.
  ReportRestart(10ms, { { kTask, 1 } });
  ReportRestart(10ms, { { kTask, 1 } });
  BOOST_TEST(Ends().empty());
  mNow += 10ms;
  ReportRestart(
    20ms, {}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_TEST(Ends().size() == 1U);
}

// The same, with an answer of a process that the agent does not know yet.
BOOST_AUTO_TEST_CASE(a_lapse_does_not_end_a_run_of_an_unknown_process)
{
  const auto start = Start();
  mNow += 50ms;
  lease::OnStartAnswer(
    mTarget, start, lease::start_answer::Accepted, 20ms, mNow, mEffects);
  Pass(mTarget.mSettings.mLease + 60ms);
  BOOST_TEST(Ends().empty());
}

BOOST_AUTO_TEST_CASE(
  a_start_without_an_answer_ends_once_it_cannot_be_carried_out)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  Pass(lease::kCallLifetime);
  BOOST_TEST(Ends().empty());
  Pass(mTarget.mSettings.mLongestLease + 1ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Lost));
}

// Double run: a start for the last incarnation, whose clock was far ahead, had
// extended the lease of the next one beyond what this agent had asked of it.
BOOST_AUTO_TEST_CASE(a_lease_granted_before_the_token_was_seen_is_waited_out)
{
  ReportRestart(10ms);
  ReportRestart(10ms); // The target has seen the token.
  const auto start = Start();
  lease::OnStartAnswer(
    mTarget, start, lease::start_answer::Accepted, 10ms, mNow, mEffects);
  Pass(mTarget.mSettings.mLease + 60ms);
  BOOST_TEST(Ends().empty());
  Pass(mTarget.mSettings.mRunHold);
  BOOST_TEST(Ends().size() == 1U);
}

// A token from the clock of a long-lived incarnation that reached the next one
// shut the agent out for as long as the first had lived.
BOOST_AUTO_TEST_CASE(a_token_of_an_earlier_incarnation_is_outranked_soon)
{
  constexpr std::uint64_t kSeenToken = 3'600'000; // An hour.
  constexpr int kMostCalls = 24;
  ReportRestart(10ms);
  int calls = 0;
  while (mTarget.mFencingToken < kSeenToken && calls < kMostCalls) {
    ++calls;
    mNow += 1ms;
    lease::OnRenewalFailed(mTarget,
                           lease::renewal_failure::Fenced,
                           10ms + lease::target_time(calls),
                           mNow,
                           mNow,
                           mEffects);
  }
  BOOST_TEST(mTarget.mFencingToken >= kSeenToken);
}

BOOST_AUTO_TEST_SUITE_END()
