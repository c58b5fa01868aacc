#include "entry_fixture.h"
#include "libgooseberry/entry/status.h"
#include "libgooseberry/lease/settings.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Handling of starts without a further message: answers to callers,
 * cancellations and retries. */
namespace {

constexpr core::duration kAgentLost = 1'300ms;
constexpr core::duration kTick = 20ms;

/** An entry with one agent that has one target. */
struct resubmission_fixture : entry::test::leased_entry
{
  core::agent_state mAgent;

  resubmission_fixture()
  {
    mControl.mOptions.mAgentLost = kAgentLost;
    mAgent.mAgent = { "w", 1 };
    mAgent.mAddress = "w:1";
    mAgent.mFailureDomain = "d";
    mAgent.mOpen = true;
    core::target_load load;
    load.mName = "t";
    load.mServices = { entry::test::kService };
    load.mSlots = 4;
    mAgent.mTargets = { load };
    ReportLoad();
  }

  core::entry_reply ReportLoad()
  {
    mAgent.mTimestamp = mNow;
    return entry::OnAnnounce(mControl, mAgent, mNow, mEffects);
  }

  /** Reports from the next process of the agent, which knows of no job. */
  void ReplaceAgent()
  {
    ++mAgent.mAgent.mIncarnation;
    mAgent.mJobsInDoubt.clear();
    mNow += 1ms;
    ReportLoad();
  }

  /** Submits a job with one task; returns the call that starts the task. */
  entry::send_start Submit(std::uint64_t aToken, const std::string& aKey)
  {
    entry::OnSubmit(mControl,
                    aToken,
                    entry::test::MakeSubmission(aKey, 500ms),
                    mNow,
                    mEffects);
    const auto found =
      std::find_if(mEffects.rbegin(), mEffects.rend(), [](const auto& aEffect) {
        return std::holds_alternative<entry::send_start>(aEffect);
      });
    BOOST_REQUIRE(found != mEffects.rend());
    return std::get<entry::send_start>(*found);
  }

  static core::task_start StartOf(const entry::send_start& aCall)
  {
    return aCall.mBatch.mStarts.front();
  }

  /** Reports the end of the first try of a job's task. */
  void Finish(const core::ballot& aBallot,
              std::uint32_t aPlacement,
              core::task_end aEnd)
  {
    core::task_result result;
    result.mTask = { "job", 0 };
    result.mBallot = aBallot;
    result.mPlacement = aPlacement;
    result.mEnd = aEnd;
    entry::OnFinish(mControl, { mAgent, { result } }, mNow, mEffects);
  }

  void Advance(core::duration aTime)
  {
    for (const core::instant end = mNow + aTime; mNow < end;) {
      mNow += kTick;
      entry::Tick(mControl, mNow, mEffects);
    }
  }

  std::vector<core::job_answer> Answers() const
  {
    std::vector<core::job_answer> answers;
    for (const auto& effect : mEffects) {
      if (const auto* answer = std::get_if<entry::answer_caller>(&effect)) {
        answers.push_back(answer->mAnswer);
      }
    }
    return answers;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_resubmission, resubmission_fixture)

// REFUSED: a job was answered with "not run" although its task had started.
BOOST_AUTO_TEST_CASE(a_start_at_a_lost_agent_is_never_reported_as_not_run)
{
  const auto start = Submit(1, "job");
  entry::OnStartFailed(mControl, start.mCall, true, mNow, mEffects);
  Advance(6s); // The job's deadline is 5 s.
  BOOST_REQUIRE_EQUAL(Answers().size(), 1U);
  BOOST_TEST((Answers().front().mOutcome == core::job_outcome::Failed));
}

BOOST_AUTO_TEST_CASE(an_undelivered_start_is_reported_as_not_run)
{
  const auto start = Submit(1, "job");
  mControl.mTargets.mTargets.front().mLoad.mLeaving = true;
  entry::OnStartFailed(mControl, start.mCall, false, mNow, mEffects);
  Advance(6s);
  BOOST_REQUIRE_EQUAL(Answers().size(), 1U);
  BOOST_TEST((Answers().front().mOutcome == core::job_outcome::NotRun));
}

// Double run: a lost agent had sent a start that its target carried out later.
BOOST_AUTO_TEST_CASE(an_unanswered_start_of_a_lost_agent_is_not_repeated)
{
  const auto start = Submit(1, "job");
  mAgent.mJobsInDoubt = { "job" };
  mAgent.mTimestamp = mNow;
  entry::OnStartReply(mControl,
                      start.mCall,
                      { mAgent, { core::start_verdict::Accepted } },
                      mNow,
                      mEffects);
  Advance(kAgentLost + 500ms);
  BOOST_TEST(mControl.mCounters.mRetries == 0U);
  // Its next process offers the target, whose next process may carry the start
  // out before that one has called it.
  ReplaceAgent();
  Advance(500ms);
  BOOST_TEST(mControl.mCounters.mRetries == 0U);
  Advance(5s); // Past the job's deadline.
  BOOST_REQUIRE_EQUAL(Answers().size(), 1U);
  BOOST_TEST(Answers().front().mStatus == entry::kStatusDeadline);
}

// Double run: the same, where the entry heard the next process of the agent
// before it had counted the last one as lost.
BOOST_AUTO_TEST_CASE(an_unanswered_start_of_a_replaced_agent_is_not_repeated)
{
  Submit(1, "job");
  Submit(2, "other");
  mAgent.mJobsInDoubt = { "job" };
  ReportLoad();
  mNow += 50ms;
  ReplaceAgent();
  BOOST_TEST(mControl.mCounters.mRetries == 1U); // Of the other job.
  mAgent.mAgent.mIncarnation = 3;
  ReportLoad();
  BOOST_TEST(mControl.mAgentTasks.at("w").contains({ "job", 0 }));
  const auto& task = job::Find(mControl.mLedger, "job")->mTasks.front();
  BOOST_TEST(task.mTry == 1U);
  BOOST_TEST(task.mIsInDoubt);
}

// Double run: a job was started again here while a start that a replaced agent
// had sent could yet be carried out.
BOOST_AUTO_TEST_CASE(a_job_in_doubt_at_a_replaced_agent_is_not_started_again)
{
  mAgent.mJobsInDoubt = { "job" };
  ReportLoad();
  const core::instant heardAt = mNow;
  mNow += 50ms;
  ReplaceAgent();
  mEffects.clear();
  auto submission = entry::test::MakeSubmission("job", 500ms);
  submission.mAttempt = job::kAttemptUnknown;
  entry::OnSubmit(mControl, 1, submission, mNow, mEffects);
  BOOST_REQUIRE_EQUAL(Answers().size(), 1U);
  BOOST_TEST(Answers().front().mStatus == entry::kStatusUnavailable);
  const auto isInDoubtAfter = [&](core::duration aTime) {
    return membership::IsInDoubt(
      mControl.mMembers, "job", heardAt + aTime, lease::kCallLifetime);
  };
  BOOST_TEST(isInDoubtAfter(lease::kCallLifetime));
  BOOST_TEST(!isInDoubtAfter(lease::kCallLifetime + 1ms));
}

// Memory: an agent that is replaced again and again filled its entries.
BOOST_AUTO_TEST_CASE(the_jobs_kept_of_replaced_agents_are_bounded)
{
  for (std::uint64_t i = 0; i < 60; ++i) {
    mAgent.mJobsInDoubt.assign(100, "job" + std::to_string(i));
    mNow += 1ms;
    ReportLoad();
    ++mAgent.mAgent.mIncarnation;
  }
  ReplaceAgent();
  std::size_t names = 0;
  for (const auto& ended : mControl.mMembers.mEndedAgents) {
    names += ended.mJobsInDoubt.size();
  }
  BOOST_TEST(names == membership::kMaxJobsOfEnded);
  BOOST_TEST(
    membership::IsInDoubt(mControl.mMembers, "job59", mNow, 30s)); // Newest.
}

BOOST_AUTO_TEST_CASE(an_answered_start_of_a_lost_agent_is_repeated)
{
  const auto start = Submit(1, "job");
  mAgent.mJobsInDoubt = { "job" };
  mAgent.mTimestamp = mNow;
  entry::OnStartReply(mControl,
                      start.mCall,
                      { mAgent, { core::start_verdict::Accepted } },
                      mNow,
                      mEffects);
  mNow += 10ms;
  mAgent.mJobsInDoubt.clear();
  ReportLoad();
  Advance(kAgentLost + 500ms);
  BOOST_TEST(mControl.mCounters.mRetries > 0U);
}

// Double run: a caller sent a job again while a start of its first submission
// could yet be carried out.
BOOST_AUTO_TEST_CASE(a_job_with_a_start_in_doubt_is_not_started_again)
{
  mAgent.mJobsInDoubt = { "job" };
  ReportLoad();
  mEffects.clear();
  auto submission = entry::test::MakeSubmission("job", 500ms);
  submission.mAttempt = job::kAttemptUnknown;
  entry::OnSubmit(mControl, 1, std::move(submission), mNow, mEffects);
  BOOST_REQUIRE_EQUAL(Answers().size(), 1U);
  BOOST_TEST(Answers().front().mStatus == entry::kStatusUnavailable);
  BOOST_TEST(Answers().front().mRetryAfter.has_value());
  mNow += 10ms;
  mAgent.mJobsInDoubt.clear();
  ReportLoad();
  Submit(2, "job");
}

// Double run: a cancellation was lost while replies still reached the agent.
BOOST_AUTO_TEST_CASE(replies_name_a_cancelled_job_until_it_is_confirmed)
{
  Submit(1, "job");
  entry::OnCallerLeft(mControl, 1, "job", mNow, mEffects);
  const std::vector<std::string> cancelled{ "job" };
  BOOST_TEST(ReportLoad().mCancelled == cancelled);
  Advance(kTick);
  entry::OnCancelFailed(mControl, "w:1", cancelled);
  BOOST_TEST(ReportLoad().mCancelled == cancelled);
  entry::OnCancelAnswered(mControl, "w:1", cancelled);
  BOOST_TEST(ReportLoad().mCancelled.empty());
}

// The answer to the call for the first cancellation arrives after the job has
// been submitted and cancelled again.
BOOST_AUTO_TEST_CASE(a_late_answer_does_not_confirm_a_later_cancellation)
{
  Submit(1, "job");
  entry::OnCallerLeft(mControl, 1, "job", mNow, mEffects);
  Advance(kTick);
  mEffects.clear();
  Submit(2, "job");
  entry::OnCallerLeft(mControl, 2, "job", mNow, mEffects);
  entry::OnCancelAnswered(mControl, "w:1", { "job" });
  BOOST_TEST(ReportLoad().mCancelled.size() == 1U);
}

// A late message of its predecessor, taken for that of a successor, shut an
// agent out that had been silent for a while.
BOOST_AUTO_TEST_CASE(a_late_message_of_its_predecessor_shuts_no_agent_out)
{
  core::agent_state earlier = mAgent;
  earlier.mAgent.mIncarnation = 3;
  mNow += 10ms;
  ReportLoad();
  mNow += 1'400ms;
  entry::OnAnnounce(mControl, earlier, mNow, mEffects);
  mNow += 10ms;
  for (int i = 0; i < 100; ++i) {
    ReportLoad();
    Advance(100ms);
  }
  const auto& known = mControl.mMembers.mAgents.at("w").mState.mAgent;
  BOOST_TEST(known.mIncarnation == 1U);
}

BOOST_AUTO_TEST_CASE(a_cancellation_is_repeated_while_a_run_may_be_there)
{
  Submit(1, "job");
  entry::OnCallerLeft(mControl, 1, "job", mNow, mEffects);
  const auto cancels = [this] {
    return std::count_if(
      mEffects.begin(), mEffects.end(), [](const auto& aEffect) {
        return std::holds_alternative<entry::send_cancel>(aEffect);
      });
  };
  Advance(kTick);
  BOOST_TEST(cancels() == 1);
  Advance(kTick);
  BOOST_TEST(cancels() == 1);
  entry::OnCancelFailed(mControl, "w:1", { "job" });
  Advance(kTick);
  BOOST_TEST(cancels() == 2);
  Advance(kAgentLost);
  entry::OnCancelFailed(mControl, "w:1", { "job" });
  Advance(kTick);
  BOOST_TEST(cancels() == 2);
}

// Double run: after a stall, an entry started a job before it handled that the
// caller had disconnected and submitted the job elsewhere.
BOOST_AUTO_TEST_CASE(after_a_stall_disconnected_callers_are_handled_first)
{
  auto submission = entry::test::MakeSubmission("job", 4s);
  submission.mTasks.assign(8, submission.mTasks.front());
  entry::OnSubmit(mControl, 1, std::move(submission), mNow, mEffects);
  BOOST_REQUIRE(!job::Find(mControl.mLedger, "job")->mWaiting.empty());
  mNow += 400ms;
  mAgent.mTargets.push_back(mAgent.mTargets.front());
  mAgent.mTargets.back().mName = "u";
  mEffects.clear();
  ReportLoad();
  mNow += 20ms;
  entry::OnCallerLeft(mControl, 1, "job", mNow, mEffects);
  Advance(200ms);
  BOOST_TEST(
    std::none_of(mEffects.begin(), mEffects.end(), [](const auto& aEffect) {
      return std::holds_alternative<entry::send_start>(aEffect);
    }));
  Submit(2, "next");
}

// Double run: after a late message of an agent's earlier process, all runs of
// the agent counted as ended.
BOOST_AUTO_TEST_CASE(a_late_message_of_an_earlier_agent_process_ends_nothing)
{
  Submit(1, "job");
  core::agent_state earlier = mAgent;
  earlier.mAgent.mIncarnation = 9;
  earlier.mTimestamp = mAgent.mTimestamp - 1s;
  entry::OnAnnounce(mControl, earlier, mNow, mEffects);
  BOOST_TEST(mControl.mCounters.mRetries == 0U);
  BOOST_TEST(
    (mControl.mMembers.mAgents.at("w").mState.mAgent == mAgent.mAgent));
}

// Double run: the end of a run for another entry counted as the end of this
// entry's run.
BOOST_AUTO_TEST_CASE(a_result_of_another_agent_is_ignored)
{
  Submit(1, "job");
  core::finish_batch batch;
  batch.mState = mAgent;
  batch.mState.mAgent = { "v", 1 };
  batch.mState.mAddress = "v:1";
  batch.mState.mTargets.clear();
  core::task_result lost;
  lost.mTask = { "job", 0 };
  lost.mTry = 1;
  lost.mEnd = core::task_end::Lost;
  batch.mResults = { lost };
  const auto retries = mControl.mCounters.mRetries;
  entry::OnFinish(mControl, batch, mNow, mEffects);
  BOOST_TEST(mControl.mCounters.mRetries == retries);
  batch.mState = mAgent;
  entry::OnFinish(mControl, batch, mNow, mEffects);
  BOOST_TEST(mControl.mCounters.mRetries == retries + 1);
}

// Double run: the same, where both runs were at one agent. The first result
// arrives after the start for the second submission was sent.
BOOST_AUTO_TEST_CASE(a_result_of_an_earlier_submission_is_ignored)
{
  const auto first = StartOf(Submit(1, "job"));
  entry::OnCallerLeft(mControl, 1, "job", mNow, mEffects);
  const auto second = StartOf(Submit(2, "job"));
  BOOST_REQUIRE_NE(first.mPlacement, second.mPlacement);
  const auto retries = mControl.mCounters.mRetries;
  Finish(first.mBallot, first.mPlacement, core::task_end::Lost);
  BOOST_TEST(mControl.mCounters.mRetries == retries);
  Finish(second.mBallot, second.mPlacement, core::task_end::Lost);
  BOOST_TEST(mControl.mCounters.mRetries == retries + 1);
}

// Double run: an agent stopped a run while its entry was silent, with a start
// call that the target's next process could carry out.
BOOST_AUTO_TEST_CASE(a_run_that_may_yet_start_is_not_placed_again)
{
  const auto start = StartOf(Submit(1, "job"));
  const auto retries = mControl.mCounters.mRetries;
  Finish(start.mBallot, start.mPlacement, core::task_end::Unknown);
  BOOST_TEST(mControl.mCounters.mRetries == retries);
  BOOST_REQUIRE_EQUAL(Answers().size(), 1U);
  BOOST_TEST(Answers().front().mStatus == entry::kStatusDeadline);
}

// Placements of a restarted entry are numbered from the beginning.
BOOST_AUTO_TEST_CASE(a_result_for_another_process_of_the_entry_is_ignored)
{
  const auto start = StartOf(Submit(1, "job"));
  core::ballot other = start.mBallot;
  ++other.mEntry;
  const auto retries = mControl.mCounters.mRetries;
  Finish(other, start.mPlacement, core::task_end::Lost);
  BOOST_TEST(mControl.mCounters.mRetries == retries);
}

// An agent of the version before does not name the start; its result is taken
// by the number of the try, as that version took it.
BOOST_AUTO_TEST_CASE(a_result_that_names_no_start_is_taken_by_its_try)
{
  const auto start = StartOf(Submit(1, "job"));
  const auto finishes = mControl.mCounters.mFinishes;
  Finish({}, start.mPlacement + 1, core::task_end::Succeeded);
  BOOST_TEST(mControl.mCounters.mFinishes == finishes + 1);
}

BOOST_AUTO_TEST_SUITE_END()
