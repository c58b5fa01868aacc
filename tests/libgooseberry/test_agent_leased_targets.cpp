#include "leased_agent_fixture.h"

using namespace gooseberry;
using namespace gooseberry::agent::test;

/** Registrations of a leased target, and results of its runs. */
BOOST_FIXTURE_TEST_SUITE(agent_leased, leased_agent)

BOOST_AUTO_TEST_CASE(a_draining_target_accepts_nothing_and_keeps_draining)
{
  Register(true);
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Leaving));
  Register(false);
  BOOST_TEST((Start("b", 1, kFirstEntry) == core::start_verdict::Leaving));
}

// A start after the target's draining had been acknowledged.
BOOST_AUTO_TEST_CASE(a_registration_of_unknown_incarnation_ends_no_draining)
{
  Register(true);
  Register(false, 0);
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Leaving));
  Register(false, 8); // A new incarnation, whose reports are awaited.
  BOOST_TEST((Start("b", 1, kFirstEntry) == core::start_verdict::NoTarget));
}

// A sequence number of unknown incarnation let an earlier registration in.
BOOST_AUTO_TEST_CASE(a_registration_of_unknown_incarnation_keeps_the_sequence)
{
  Register(false);
  const auto sequence = mSequence;
  Register(false, 0);
  mSequence = sequence - 2;
  Register(true); // Sent before the first one here.
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Accepted));
}

// Double run: a late or false unregistration counted active runs as over.
BOOST_AUTO_TEST_CASE(
  an_unregistration_ends_no_run_that_the_target_still_reports)
{
  Start("a", 1, kFirstEntry);
  agent::OnTargetUnregistered(mControl, "t-1", mNow, mEffects);
  Report({ { { "a", 0 }, 1 } });
  BOOST_TEST(mControl.mTargets.at("t-1").mRunning == 1U);
  BOOST_TEST((Start("b", 1, kFirstEntry) == core::start_verdict::NoTarget));
  Register(false); // The target is still there.
  BOOST_TEST((Start("c", 1, kFirstEntry) == core::start_verdict::Accepted));
}

// A start call in flight may reach the next process at the address, so its run
// is not over before the call is.
BOOST_AUTO_TEST_CASE(an_unregistered_target_is_removed_once_nothing_runs)
{
  Start("a", 1, kFirstEntry);
  const auto call = LastStartCall();
  agent::OnTargetUnregistered(mControl, "t-1", mNow, mEffects);
  BOOST_TEST(mControl.mTargets.contains("t-1"));
  RefuseRenewal();
  agent::Tick(mControl, mNow, mEffects);
  BOOST_TEST(mControl.mTargets.contains("t-1"));
  agent::OnStartAnswered(
    mControl, call, lease::start_answer::NotSent, std::nullopt, mNow, mEffects);
  agent::Tick(mControl, mNow, mEffects);
  BOOST_TEST(!mControl.mTargets.contains("t-1"));
}

BOOST_AUTO_TEST_CASE(
  a_sequence_number_far_ahead_blocks_registrations_for_one_lease)
{
  const auto sequence = mSequence;
  mSequence = 1'000'000'000;
  Register(false);
  mSequence = sequence;
  mNow += 5'001ms;
  Report();
  Register(false);
  Report();
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(
  an_incarnation_that_refuses_connections_blocks_no_registration)
{
  Register(false, 1'000'000);
  RefuseRenewal();
  Register(false);
  BOOST_TEST(mControl.mTargets.at("t-1").mLeased->mTargetIncarnation == 7U);
  Report();
  Report();
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(a_registration_of_an_earlier_incarnation_changes_nothing)
{
  Register(true, 6);
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(a_start_delayed_beyond_the_freshness_bound_is_refused)
{
  const auto sentAt = mNow;
  mNow += 2'001ms;
  Register(false);
  Report();
  core::start_batch batch;
  batch.mEntry = { "e", 1 };
  batch.mEntryAddress = kFirstEntry;
  batch.mAgentIncarnation = 5;
  batch.mAgentTimestamp = sentAt;
  core::task_start start;
  start.mTask = { "late", 0 };
  start.mService = "press";
  start.mTarget = "t-1";
  batch.mStarts = { start };
  BOOST_TEST(
    (agent::OnStart(mControl, batch, mNow, mEffects).mVerdicts.front() ==
     core::start_verdict::Stale));
}

// After a restart the agent knows nothing of a target that left before. Its
// delayed registration offers nothing, as nobody reports at its address.
BOOST_AUTO_TEST_CASE(a_late_registration_of_a_departed_target_offers_nothing)
{
  agent::control_settings settings = mControl.mSettings;
  settings.mAgent.mIncarnation = 5;
  const auto configuration = mControl.mConfiguration;
  mControl = agent::MakeControl(settings);
  agent::OnConfiguration(mControl, configuration, mNow, mEffects);
  Register(false);
  for (int i = 0; i < 3; ++i) {
    mNow += 50ms;
    RefuseRenewal();
    agent::Tick(mControl, mNow, mEffects);
    BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::NoTarget));
    const auto state = agent::StateOf(mControl, kFirstEntry, mNow);
    BOOST_TEST(state.mTargets.front().mLeaving);
  }
}

// Double run: the result of a run for an earlier submission counted for the
// start that had just been sent to the same agent.
BOOST_AUTO_TEST_CASE(a_result_names_the_latest_start_that_it_answers)
{
  Start("a", 1, kFirstEntry);
  Start("a", 2, kSecondEntry); // Already started: answers this entry now.
  const auto second = mPlacements;
  Report({}, { { 1, { "a", 0 }, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE(LastResult().has_value());
  BOOST_TEST(LastResult()->mBallot.mEntry == 2U);
  BOOST_TEST(LastResult()->mPlacement == second);
}

BOOST_AUTO_TEST_CASE(a_late_start_of_the_same_entry_does_not_take_the_result)
{
  mPlacements = 5;
  Start("a", 1, kFirstEntry);
  Start("a", 1, kFirstEntry);
  const auto latest = mPlacements;
  for (const std::uint32_t earlier : { 6U, 3U }) { // A copy, and a delayed one.
    mPlacements = earlier - 1;
    Start("a", 1, kFirstEntry);
  }
  Report({}, { { 1, { "a", 0 }, 1, core::task_end::Succeeded, "done" } });
  BOOST_REQUIRE(LastResult().has_value());
  BOOST_TEST(LastResult()->mPlacement == latest);
}

// Double run: the late answer to a start call was taken for that to a call of
// the same id, made after the target had been forgotten and had registered.
BOOST_AUTO_TEST_CASE(
  a_start_call_id_is_not_reused_after_its_target_is_forgotten)
{
  const auto first = StartCallOf("a");
  AnswerStart(first, lease::start_answer::Withdrawn);
  mNow += 6s;
  agent::Tick(mControl, mNow, mEffects);
  BOOST_REQUIRE(mControl.mTargets.empty());
  Register(false);
  Report();
  Report();
  StartCallOf("a");
  mEffects.clear();
  AnswerStart(first, lease::start_answer::NotSent);
  BOOST_TEST(!LastResult());
  BOOST_TEST(mControl.mTargets.at("t-1").mLeased->mRuns.size() == 1U);
}

// Double run: a new incarnation was first called at the next tick, and carried
// out a start for an earlier one before.
BOOST_AUTO_TEST_CASE(a_new_incarnation_is_called_when_it_registers)
{
  const auto first = StartCallOf("a");
  AnswerStart(first, lease::start_answer::Withdrawn);
  agent::TickLeases(mControl, mNow, mEffects);
  mEffects.clear();
  Register(false, 7 + 5'000);
  BOOST_TEST(Count<lease::renew_call>() == 1U);
}

// Double run: a delayed copy of a start whose run had been lost, as had that of
// the next start of the task, was started, while the task ran elsewhere.
BOOST_AUTO_TEST_CASE(a_copy_of_an_earlier_start_of_a_task_starts_nothing)
{
  const auto first = mPlacements;
  for (std::uint64_t run = 1; run <= 2; ++run) {
    Start("a", 1, kFirstEntry);
    Report({}, { { run, { "a", 0 }, 1, core::task_end::Lost, "stopped" } });
  }
  mPlacements = first; // Of the copy.
  mEffects.clear();
  Start("a", 1, kFirstEntry, 200ms);
  BOOST_TEST(Count<lease::start_call>() == 0U);
}

// Double run: the same, where the target refused the next start.
BOOST_AUTO_TEST_CASE(a_copy_of_a_start_before_a_returned_one_starts_nothing)
{
  const auto first = mPlacements;
  Start("a", 1, kFirstEntry);
  Report({}, { { 1, { "a", 0 }, 1, core::task_end::Lost, "stopped" } });
  AnswerStart(StartCallOf("a"), lease::start_answer::NoRoom);
  mPlacements = first; // Of the copy.
  mEffects.clear();
  Start("a", 1, kFirstEntry, 200ms);
  BOOST_TEST(Count<lease::start_call>() == 0U);
}

// Double run: after the host's time of day had been set back, a start made
// before its target was forgotten outranked all later ones.
BOOST_AUTO_TEST_CASE(a_token_does_not_fall_when_its_target_is_forgotten)
{
  const auto first = StartCallOf("a");
  AnswerStart(first, lease::start_answer::Withdrawn);
  mNow += 6s;
  agent::Tick(mControl, mNow, mEffects);
  BOOST_REQUIRE(mControl.mTargets.empty());
  Register(false, 3);
  BOOST_TEST(mControl.mTargets.at("t-1").mLeased->mFencingToken >
             first.mHeader.mFencingToken);
}

BOOST_AUTO_TEST_SUITE_END()
