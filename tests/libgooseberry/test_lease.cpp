#include "libgooseberry/lease/leased_target.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr core::instant kStart{ 100s };

/** A target that has registered and reported once, and what was asked for. */
struct lease_fixture
{
  lease::leased_target mTarget;
  lease::effects mEffects;
  core::instant mNow = kStart;

  lease_fixture()
  {
    lease::OnRegistration(
      mTarget, { "t-1", "127.0.0.1:1", 7, 1 }, mNow, mEffects);
    Report({}); // Brings the clock, from which the token is taken.
    Report({});
    mEffects.clear();
  }

  /** The target's clock, which runs as the agent's does. */
  lease::target_time Clock() const
  {
    return 5'000ms +
           std::chrono::duration_cast<lease::target_time>(mNow - kStart);
  }

  void Report(std::vector<lease::listed_run> aRunning,
              std::vector<lease::listed_end> aEnded = {},
              std::uint64_t aLife = 7)
  {
    lease::OnReport(mTarget,
                    { Clock(), aLife, std::move(aRunning), std::move(aEnded) },
                    mNow,
                    mNow,
                    mEffects);
  }

  void Register(std::uint64_t aLife, std::uint64_t aSequence)
  {
    lease::OnRegistration(
      mTarget, { "t-1", "127.0.0.1:1", aLife, aSequence }, mNow, mEffects);
  }

  lease::start_call Start(std::uint32_t aIndex = 0)
  {
    core::task_start start;
    start.mTask = { "job", aIndex };
    lease::StartRun(mTarget, start, mNow, mNow, mEffects);
    return Last<lease::start_call>();
  }

  void Answer(const lease::start_call& aCall, lease::start_answer aAnswer)
  {
    lease::OnStartAnswer(mTarget, aCall, aAnswer, Clock(), mNow, mEffects);
  }

  void Pass(core::duration aTime)
  {
    mNow += aTime;
    lease::Tick(mTarget, mNow, mEffects);
  }

  template<typename Call>
  Call Last() const
  {
    for (auto at = mEffects.rbegin(); at != mEffects.rend(); ++at) {
      if (const auto* call = std::get_if<lease::call>(&*at);
          call != nullptr && std::holds_alternative<Call>(*call)) {
        return std::get<Call>(*call);
      }
    }
    BOOST_FAIL("no such call");
    return {};
  }

  template<typename Call>
  std::size_t Count() const
  {
    std::size_t count = 0;
    for (const lease::effect& effect : mEffects) {
      const auto* call = std::get_if<lease::call>(&effect);
      count += call != nullptr && std::holds_alternative<Call>(*call) ? 1 : 0;
    }
    return count;
  }

  std::vector<lease::run_end> Ends() const
  {
    std::vector<lease::run_end> ends;
    for (const lease::effect& effect : mEffects) {
      if (const auto* end = std::get_if<lease::run_end>(&effect)) {
        ends.push_back(*end);
      }
    }
    return ends;
  }
};

const core::task_ref kTask{ "job", 0 };

} // namespace

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

BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_not_over_until_it_cannot_come)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  Pass(1ms);
  const auto stop = Last<lease::stop_call>();
  BOOST_TEST((stop.mTask == kTask));
  Report({}); // It is not there yet; it may still come.
  BOOST_TEST(Ends().empty());
  Pass(1ms);
  lease::OnStopAnswer(mTarget, stop, mNow);
  BOOST_TEST(Ends().empty());
  Report({}); // Asked for after the stop: it is refused from now on.
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
}

BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_over_once_its_validity_is)
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

BOOST_AUTO_TEST_CASE(a_start_carried_out_late_is_taken_up)
{
  Answer(Start(), lease::start_answer::NoAnswer);
  Report({ { kTask, 1 } });
  Pass(100ms);
  BOOST_TEST(Count<lease::stop_call>() == 0U);
  Report({}, { { 1, kTask, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Succeeded));
}

BOOST_AUTO_TEST_CASE(what_nobody_here_started_is_stopped_before_new_starts)
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

// TWICE: a stop that is not answered must not let a run outlive its entry.
BOOST_AUTO_TEST_CASE(no_lease_outlasts_what_an_entry_is_known_to_want)
{
  const core::instant wantedAt = mNow;
  const core::instant over = wantedAt + mTarget.mSettings.mRunHold;
  mNow += 500ms;
  core::task_start start;
  start.mTask = kTask;
  lease::StartRun(mTarget, start, wantedAt, mNow, mEffects);
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

BOOST_AUTO_TEST_CASE(a_run_that_is_being_stopped_is_not_wanted_again)
{
  Answer(Start(), lease::start_answer::Accepted);
  lease::StopRun(mTarget, kTask, mNow, mEffects);
  lease::NoteWanted(mTarget.mRuns.at(kTask), mNow + 500ms);
  BOOST_TEST((mTarget.mRuns.at(kTask).mWantedAt == mNow));
}

BOOST_AUTO_TEST_CASE(a_new_life_of_the_target_runs_nothing_of_the_old_one)
{
  Answer(Start(), lease::start_answer::Accepted);
  const auto token = mTarget.mFencingToken;
  mNow += 1ms;
  Register(8, 1);
  BOOST_TEST(Ends().empty()); // It may be late, or of another hand.
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
  mNow += 1ms;
  lease::OnReport(mTarget, { 10ms, 8, {}, {} }, mNow, mNow, mEffects);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST((Ends().front().mEnd == core::task_end::Lost));
  BOOST_TEST(mTarget.mFencingToken < token); // Of the new life's clock.
  BOOST_TEST(!lease::IsReady(mTarget, mNow));
}

// TWICE: a false registration made runs count as over that went on.
BOOST_AUTO_TEST_CASE(a_registration_of_another_life_is_asked_about)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  mEffects.clear();
  Register(1'000'000, 1);
  Pass(0ms);
  BOOST_TEST(Count<lease::renew_call>() == 1U);
  Report({ { kTask, 1 } });
  BOOST_TEST(Ends().empty());
  BOOST_TEST(mTarget.mLife == 7U);
  BOOST_TEST(lease::IsReady(mTarget, mNow));
}

// TWICE: the same under the target's own name and life, at another address.
BOOST_AUTO_TEST_CASE(a_registration_does_not_lead_calls_elsewhere)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  lease::OnRegistration(
    mTarget, { "t-1", "127.0.0.1:2", 0, 2 }, mNow, mEffects);
  mEffects.clear();
  Pass(0ms);
  BOOST_TEST(Last<lease::renew_call>().mHeader.mAddress == "127.0.0.1:1");
}

// TWICE: an agent that stood still while another took its place accepted a
// start, with a token raised above the other's.
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

BOOST_AUTO_TEST_CASE(a_report_asked_for_without_the_token_proves_nothing)
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

BOOST_AUTO_TEST_CASE(a_life_that_nobody_answers_for_is_over_with_its_lease)
{
  Answer(Start(), lease::start_answer::Accepted);
  Pass(1ms);
  Register(8, 1);
  Pass(0ms);
  Pass(mTarget.mSettings.mLease);
  BOOST_TEST(Ends().empty());
  Pass(60ms);
  BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
  BOOST_TEST(mTarget.mLife == 8U);
}

// TWICE: a late report of a life before made runs count as over that went on.
BOOST_AUTO_TEST_CASE(a_late_report_of_a_life_before_changes_nothing)
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
  BOOST_TEST(mTarget.mLife == 8U);
}

BOOST_AUTO_TEST_CASE(answers_to_calls_of_a_life_before_change_nothing)
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

BOOST_AUTO_TEST_CASE(a_restarted_agent_outranks_the_one_before)
{
  lease::leased_target second;
  lease::effects effects;
  Pass(300ms);
  lease::OnRegistration(second, { "t-1", "127.0.0.1:1", 7, 2 }, mNow, effects);
  lease::OnReport(second, { Clock(), 7, {}, {} }, mNow, mNow, effects);
  BOOST_TEST(second.mFencingToken > mTarget.mFencingToken);
  // The target has not seen the token: it may take starts of the first yet.
  BOOST_TEST(!lease::IsReady(second, mNow));
  lease::OnReport(second, { Clock(), 7, {}, {} }, mNow, mNow, effects);
  BOOST_TEST(lease::IsReady(second, mNow));
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
  const auto giveBack = [this](lease::start_answer aAnswer) {
    mEffects.clear();
    Answer(Start(), aAnswer);
    BOOST_REQUIRE_EQUAL(Ends().size(), 1U);
    BOOST_TEST((Ends().front().mEnd == core::task_end::Returned));
    return Ends().front().mWhy;
  };
  BOOST_TEST(
    (giveBack(lease::start_answer::NoRoom) == core::start_verdict::Busy));
  BOOST_TEST(
    (giveBack(lease::start_answer::Late) == core::start_verdict::Stale));
  BOOST_TEST((giveBack(lease::start_answer::Unhealthy) ==
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

// Load pattern: a target leaves some calls unanswered while tasks end often.
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

BOOST_AUTO_TEST_SUITE_END()
