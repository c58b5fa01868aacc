#include "libgooseberry/agent/leased_runs.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr core::instant kStart{ 100s };
constexpr const char* kFirstEntry = "127.0.0.1:11";
constexpr const char* kSecondEntry = "127.0.0.1:12";
constexpr core::resources kTwoCores{ 2'000, 64, 0 };

/** An agent with one target of four cores, ready for starts. */
struct leased_agent
{
  agent::agent_control mControl;
  agent::effects mEffects;
  core::instant mNow = kStart;
  std::uint64_t mSequence = 0;

  leased_agent()
  {
    agent::control_settings settings;
    settings.mAgent = { "agent", 5 };
    settings.mFailureDomain = "north";
    settings.mLeasedRuns = true;
    settings.mQueuePerTarget = 0;
    mControl = agent::MakeControl(settings);
    configuration::desired_state state;
    state.mName = "test";
    state.mFailureDomains["north"].mRegion = "r";
    state.mServices["press"].mTargets = { "*" };
    agent::OnConfiguration(
      mControl, { 1, configuration::Format(state) }, mNow, mEffects);
    Register(false);
    Report(); // Brings the target's clock, which the token is taken from.
    Report();
  }

  bool Register(bool aIsDraining, std::uint64_t aIncarnation = 7)
  {
    agent::target_registration registration;
    registration.mName = "t-1";
    registration.mAddress = "127.0.0.1:1";
    registration.mServices = { "press" };
    registration.mSlots = 8;
    registration.mLease = 5s;
    registration.mCapacity = { 4'000, 1'024, 0 };
    return agent::OnLeasedTargetRegistered(
      mControl,
      registration,
      { "t-1", "127.0.0.1:1", aIncarnation, ++mSequence },
      aIsDraining,
      mNow,
      mEffects);
  }

  void Report(std::vector<lease::listed_run> aRunning = {},
              std::vector<lease::listed_end> aEnded = {})
  {
    agent::OnTargetReport(
      mControl,
      "t-1",
      { 1'000ms, 7, std::move(aRunning), std::move(aEnded) },
      mNow,
      mNow,
      mEffects);
  }

  /** `aTimestampAge`: age of the agent's timestamp in the batch. */
  core::start_verdict Start(const std::string& aJob,
                            std::uint64_t aEntry,
                            const char* aAddress,
                            core::duration aTimestampAge = 0ms)
  {
    core::start_batch batch;
    batch.mEntry = { aAddress, aEntry };
    batch.mEntryAddress = aAddress;
    batch.mAgentIncarnation = 5;
    batch.mAgentTimestamp = mNow - aTimestampAge;
    core::task_start start;
    start.mTask = { aJob, 0 };
    start.mBallot = { 1, aEntry };
    start.mPlacement = ++mPlacements;
    start.mService = "press";
    start.mTarget = "t-1";
    start.mMayQueue = false;
    start.mNeeds = kTwoCores;
    batch.mStarts = { start };
    return agent::OnStart(mControl, batch, mNow, mEffects).mVerdicts.front();
  }

  /** Handles an entry's answer to a load report sent `aReportAge` ago. */
  void AnswerLoadReport(std::uint64_t aEntry,
                        const char* aAddress,
                        core::duration aReportAge = 0ms)
  {
    core::entry_reply reply;
    reply.mEntry = { aAddress, aEntry };
    agent::OnLoadReportAnswered(
      mControl, aAddress, reply, mNow - aReportAge, mNow, mEffects);
  }

  /** Handles that the target's address refuses connections. */
  void RefuseRenewal()
  {
    agent::OnRenewalFailed(mControl,
                           "t-1",
                           lease::renewal_failure::Refused,
                           std::nullopt,
                           mNow,
                           mNow,
                           mEffects);
  }

  /** Advances the clock and returns the number of stop calls. */
  std::size_t StopsWithin(core::duration aTime)
  {
    mEffects.clear();
    mNow += aTime;
    agent::TickLeases(mControl, mNow, mEffects);
    return Count<lease::stop_call>();
  }

  /** Returns the number of calls of a kind since the effects were cleared. */
  template<typename Call>
  std::size_t Count() const
  {
    std::size_t count = 0;
    for (const agent::effect& effect : mEffects) {
      const auto* call = std::get_if<agent::call_target>(&effect);
      count +=
        call != nullptr && std::holds_alternative<Call>(call->mCall) ? 1 : 0;
    }
    return count;
  }

  lease::start_call StartCallOf(const std::string& aJob)
  {
    BOOST_REQUIRE(
      (Start(aJob, 1, kFirstEntry) == core::start_verdict::Accepted));
    return LastStartCall();
  }

  lease::start_call LastStartCall() const
  {
    lease::start_call last;
    for (const agent::effect& effect : mEffects) {
      const auto* call = std::get_if<agent::call_target>(&effect);
      if (call != nullptr &&
          std::holds_alternative<lease::start_call>(call->mCall)) {
        last = std::get<lease::start_call>(call->mCall);
      }
    }
    return last;
  }

  /** Returns the last result that was sent to an entry. */
  std::optional<core::task_result> LastResult() const
  {
    std::optional<core::task_result> last;
    for (const agent::effect& effect : mEffects) {
      const auto* sent = std::get_if<agent::send_finish>(&effect);
      if (sent != nullptr && !sent->mFinish.mResults.empty()) {
        last = sent->mFinish.mResults.back();
      }
    }
    return last;
  }

  std::uint32_t mPlacements = 0;
};

} // namespace

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

BOOST_AUTO_TEST_CASE(a_draining_target_accepts_nothing_and_keeps_draining)
{
  Register(true);
  BOOST_TEST((Start("a", 1, kFirstEntry) == core::start_verdict::Leaving));
  Register(false);
  BOOST_TEST((Start("b", 1, kFirstEntry) == core::start_verdict::Leaving));
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
  const auto answerFirst = [&, first = StartCallOf("a")](auto aAnswer) {
    agent::OnStartAnswered(
      mControl, first, aAnswer, std::nullopt, mNow, mEffects);
  };
  answerFirst(lease::start_answer::Withdrawn);
  mNow += 6s;
  agent::Tick(mControl, mNow, mEffects);
  BOOST_REQUIRE(mControl.mTargets.empty());
  Register(false);
  Report();
  Report();
  StartCallOf("a");
  mEffects.clear();
  answerFirst(lease::start_answer::NotSent);
  BOOST_TEST(!LastResult());
  BOOST_TEST(mControl.mTargets.at("t-1").mLeased->mRuns.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
