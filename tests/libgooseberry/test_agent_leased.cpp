#include "leased_agent_fixture.h"

using namespace gooseberry;
using namespace gooseberry::agent::test;

BOOST_FIXTURE_TEST_SUITE(agent_leased, leased_agent)

BOOST_AUTO_TEST_CASE(starts_are_bounded_by_the_capacity_of_the_target)
{
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Accepted));
  BOOST_TEST((Start("b", 1, kFirstEntry) == core::start_verdict::Accepted));
  BOOST_TEST((Start("c", 1, kFirstEntry) == core::start_verdict::Busy));
}

BOOST_AUTO_TEST_CASE(a_run_being_stopped_still_uses_capacity)
{
  Start("a", 1, kFirstEntry);
  Start("b", 1, kFirstEntry);
  mEffects.clear();
  agent::OnCancel(
    mControl, { { "e", 1 }, { "a" }, kFirstEntry }, mNow, mEffects);
  BOOST_TEST(Count<lease::stop_call>() == 1U);
  BOOST_TEST((Start("c", 1, kFirstEntry) == core::start_verdict::Busy));
  Report({ { { "b", 0 }, 1 } },
         { { 1, { "a", 0 }, 1, core::task_end::Lost, "stopped" } });
  BOOST_TEST((Start("d", 1, kFirstEntry) == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(runs_of_a_silent_entry_are_stopped)
{
  Start("a", 1, kFirstEntry);
  Start("b", 2, kSecondEntry);
  mNow += 900ms;
  Report({ { { "a", 0 }, 1 }, { { "b", 0 }, 1 } });
  AnswerLoadReport(2, kSecondEntry);
  mEffects.clear();
  agent::Tick(mControl, mNow, mEffects);
  BOOST_TEST(Count<lease::stop_call>() == 0U);
  mNow += 101ms;
  agent::TickLeases(mControl, mNow, mEffects);
  BOOST_TEST(Count<lease::stop_call>() == 1U);
}

// Double run: the agent's timeout for an entry started later than the entry's.
BOOST_AUTO_TEST_CASE(a_start_confirms_its_run_as_of_its_timestamp)
{
  Start("a", 1, kFirstEntry, 400ms);
  BOOST_TEST(StopsWithin(505ms) == 0U);
  BOOST_TEST(StopsWithin(10ms) == 1U);
}

BOOST_AUTO_TEST_CASE(a_reply_confirms_runs_as_of_the_sending_of_its_call)
{
  Start("a", 1, kFirstEntry);
  mNow += 800ms;
  Report({ { { "a", 0 }, 1 } });
  AnswerLoadReport(1, kFirstEntry, 500ms);
  BOOST_TEST(StopsWithin(405ms) == 0U);
  BOOST_TEST(StopsWithin(10ms) == 1U);
}

BOOST_AUTO_TEST_CASE(starts_of_other_jobs_do_not_confirm_a_run)
{
  Start("a", 1, kFirstEntry);
  mNow += 900ms;
  Register(false);
  Report({ { { "a", 0 }, 1 } });
  Start("b", 1, kFirstEntry);
  BOOST_TEST(StopsWithin(15ms) == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_entry_does_not_confirm_earlier_runs)
{
  Start("a", 1, kFirstEntry);
  mNow += 900ms;
  AnswerLoadReport(2, kFirstEntry);
  BOOST_TEST(StopsWithin(15ms) == 1U);
}

BOOST_AUTO_TEST_CASE(a_start_older_than_the_entry_contact_timeout_is_refused)
{
  BOOST_TEST((Start("a", 1, kFirstEntry, 911ms) == core::start_verdict::Stale));
}

// Double run: a lease granted before a run starts cannot be shortened for it.
BOOST_AUTO_TEST_CASE(a_start_that_the_granted_lease_would_outlast_is_refused)
{
  agent::TickLeases(mControl, mNow, mEffects);
  const auto& settings = mControl.mSettings.mLease;
  const auto oldest = settings.mRunHold - settings.mLease;
  BOOST_TEST(
    (Start("a", 1, kFirstEntry, oldest) == core::start_verdict::Accepted));
  BOOST_TEST(
    (Start("b", 1, kFirstEntry, oldest + 1ms) == core::start_verdict::Stale));
}

BOOST_AUTO_TEST_CASE(a_repeated_start_does_not_take_over_the_job_again)
{
  Start("a", 1, kFirstEntry);
  const auto placement = mPlacements;
  Start("a", 2, kSecondEntry);
  mPlacements = placement - 1; // Repeats the first entry's start.
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Accepted));
  mNow += 900ms;
  AnswerLoadReport(1, kFirstEntry);
  BOOST_TEST(StopsWithin(15ms) == 1U);
}

// Double run: a late start of an entry that had abandoned the job took over the
// run of the job's new entry.
BOOST_AUTO_TEST_CASE(a_late_start_does_not_take_over_another_entrys_run)
{
  Start("a", 2, kSecondEntry);
  BOOST_TEST(
    (Start("a", 1, kFirstEntry, 1'420ms) == core::start_verdict::Stale));
  agent::OnCancel(
    mControl, { { "e", 1 }, { "a" }, kFirstEntry }, mNow, mEffects);
  BOOST_TEST(
    (Start("a", 1, kFirstEntry, 1ms) == core::start_verdict::Cancelled));
  BOOST_TEST(mControl.mRecordStore.mJobs.at("a").mHolder.mAddress ==
             kSecondEntry);
}

BOOST_AUTO_TEST_CASE(another_entry_may_start_a_task_again_once_it_is_over)
{
  Start("a", 9, kFirstEntry);
  Report({}, { { 1, { "a", 0 }, 1, core::task_end::Lost, "stopped" } });
  // A lower incarnation is allowed, as runs end by lease.
  BOOST_TEST((Start("a", 2, kSecondEntry) == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(a_cancellation_by_the_previous_entry_stops_nothing)
{
  Start("a", 1, kFirstEntry);
  BOOST_TEST(
    (Start("a", 2, kSecondEntry) == core::start_verdict::AlreadyStarted));
  mEffects.clear();
  agent::OnCancel(
    mControl, { { "e", 1 }, { "a" }, kFirstEntry }, mNow, mEffects);
  BOOST_TEST(Count<lease::stop_call>() == 0U);
}

// Double run: an agent was killed after its start call, and its entry did not
// know that the call had no answer.
BOOST_AUTO_TEST_CASE(an_agent_names_the_jobs_with_an_unanswered_start)
{
  const auto call = StartCallOf("a");
  const auto jobsInDoubt = [this] {
    return agent::StateOf(mControl, kFirstEntry, mNow).mJobsInDoubt;
  };
  BOOST_TEST(jobsInDoubt() == std::vector<std::string>{ "a" });
  AnswerStart(call, lease::start_answer::NoAnswer);
  BOOST_TEST(jobsInDoubt() == std::vector<std::string>{ "a" });
  mNow += 1ms;
  Report({ { { "a", 0 }, 1 } });
  BOOST_TEST(jobsInDoubt().empty());
}

// Double run: the agent forgot with a target which stopped starts could yet be
// carried out there.
BOOST_AUTO_TEST_CASE(an_agent_names_the_late_starts_of_a_forgotten_target)
{
  Start("a", 1, kFirstEntry);
  auto& target = mControl.mTargets.at("t-1");
  target.mLeased->mLateStarts[{ "a", 1 }] = mNow + 9s;
  target.mLeased->mLateStarts[{ "b", 0 }] = mNow + 9s;
  const auto jobsInDoubt = [this] {
    return agent::StateOf(mControl, kFirstEntry, mNow).mJobsInDoubt;
  };
  BOOST_TEST(jobsInDoubt() == std::vector<std::string>({ "a", "b" }));
  target.mRunning = 0;
  target.mLeaseEnd = mNow;
  agent::Tick(mControl, mNow, mEffects);
  BOOST_REQUIRE(!mControl.mTargets.contains("t-1"));
  BOOST_TEST(jobsInDoubt() == std::vector<std::string>({ "a", "b" }));
  mNow += 10s;
  agent::Tick(mControl, mNow, mEffects);
  BOOST_TEST(jobsInDoubt().empty());
}

// Double run: a cancellation was lost while replies still arrived.
BOOST_AUTO_TEST_CASE(cancellations_in_a_reply_stop_runs)
{
  Start("a", 1, kFirstEntry);
  mEffects.clear();
  core::entry_reply reply;
  reply.mEntry = { kFirstEntry, 1 };
  reply.mCancelled = { "a" };
  agent::OnLoadReportAnswered(
    mControl, kFirstEntry, reply, mNow + 1ms, mNow + 2ms, mEffects);
  BOOST_TEST(Count<lease::stop_call>() == 1U);
  const auto& runs = mControl.mTargets.at("t-1").mLeased->mRuns;
  BOOST_TEST((runs.begin()->second.mConfirmedAt == mNow));
}

// Double run: a cancellation overtook the start that it was meant for.
BOOST_AUTO_TEST_CASE(a_start_that_its_cancellation_overtook_is_refused)
{
  agent::OnCancel(
    mControl, { { "e", 1 }, { "a" }, kFirstEntry }, mNow, mEffects);
  BOOST_TEST(
    (Start("a", 1, kFirstEntry, 1ms) == core::start_verdict::Cancelled));
  BOOST_TEST((Start("a", 2, kSecondEntry) == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(a_job_submitted_again_after_its_cancellation_is_started)
{
  agent::OnCancel(
    mControl, { { "e", 1 }, { "a" }, kFirstEntry }, mNow, mEffects);
  mNow += 20ms;
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_SUITE_END()
