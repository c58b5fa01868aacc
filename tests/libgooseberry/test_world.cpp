#include "libgooseberry/entry/internal.h"
#include "world.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;
using core::job_outcome;

BOOST_AUTO_TEST_SUITE(end_to_end)

BOOST_AUTO_TEST_CASE(a_first_attempt_returns_all_results)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(2s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 1U);
  BOOST_TEST(cluster.Starts().size() == 5U);
}

BOOST_AUTO_TEST_CASE(a_resubmission_elsewhere_attaches)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(10ms);
  cluster.Submit(1, "a", 2, 5, false);
  cluster.Submit(2, "a", 2, 5, false);
  cluster.RunFor(3s);
  cluster.Submit(2, "a", 3, 5, false);
  cluster.RunFor(3s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 4U);
  BOOST_TEST(cluster.Starts().size() == 5U);
}

BOOST_AUTO_TEST_CASE(concurrent_resubmissions_of_an_unknown_job_run_it_once)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  for (std::size_t entry = 0; entry < 3; ++entry) {
    cluster.Submit(entry, "a", 2, 4, false);
  }
  cluster.RunFor(5s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 3U);
  BOOST_TEST(cluster.Starts().size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_job_is_recovered_after_its_entry_died)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 12, false);
  cluster.RunFor(100ms);
  cluster.KillEntry(0);
  cluster.Submit(1, "a", 2, 12, false);
  cluster.RunFor(10s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 1U);
  BOOST_TEST(cluster.Starts().size() == 12U);
}

BOOST_AUTO_TEST_CASE(a_paused_entry_loses_its_job_and_starts_no_more)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 30, false);
  cluster.RunFor(50ms);
  cluster.PauseEntry(0, 8s);
  cluster.Submit(1, "a", 2, 30, false);
  cluster.RunFor(20s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 2U);
  BOOST_TEST(cluster.Starts().size() == 30U);
}

BOOST_AUTO_TEST_CASE(a_dead_agent_leaves_the_outcome_unknown)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 6, true);
  cluster.RunFor(20ms);
  cluster.KillAgent(1);
  cluster.RunFor(100ms);
  cluster.StartAgent(1);
  cluster.RunFor(20s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_REQUIRE(cluster.CountAnswers(job_outcome::Failed) == 1U);
  BOOST_TEST(cluster.Answers()[0].mAnswer.mReason.find("outcome unknown") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_domain_taken_out_gets_no_start)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  for (int i = 0; i < 100; ++i) {
    cluster.Submit(i % 3, "job-" + std::to_string(i), 1, 3, true, 60s);
    if (i == 20) {
      cluster.SetDomain(1, "brasov", false);
    }
    if (i == 70) {
      cluster.SetDomain(2, "brasov", true);
    }
    cluster.RunFor(100ms);
  }
  cluster.RunFor(30s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 100U);
}

BOOST_AUTO_TEST_CASE(work_goes_on_while_the_store_is_down)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.SetStore(false);
  cluster.RunFor(10s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(3s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 1U);
}

BOOST_AUTO_TEST_CASE(a_lone_entry_without_the_store_answers_not_run)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.SetStore(false);
  cluster.KillEntry(1);
  cluster.KillEntry(2);
  cluster.RunFor(5s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(3s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::NotRun) == 1U);
  BOOST_TEST(cluster.Starts().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(partitions)

BOOST_AUTO_TEST_CASE(two_entries_cut_off_together_get_no_domain_past_the_bound)
{
  world::options options;
  options.mEntries = 5;
  world::cluster cluster(options);
  cluster.RunFor(3s);
  for (const std::size_t isolated : { 3U, 4U }) {
    cluster.CutFromStore(isolated, true);
    for (std::size_t peer = 0; peer < 3; ++peer) {
      cluster.CutEntries(isolated, peer, true);
    }
  }
  cluster.RunFor(10ms);
  cluster.SetDomain(0, "brasov", false);
  for (int i = 0; i < 60; ++i) {
    cluster.Submit(3 + i % 2, "job-" + std::to_string(i), 1, 4, false);
    cluster.RunFor(100ms);
  }
  cluster.RunFor(25s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::NotRun) > 0U);
}

BOOST_AUTO_TEST_CASE(a_change_that_most_entries_lack_is_not_reported_accepted)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.CutEntries(0, 1, true);
  cluster.CutEntries(0, 2, true);
  cluster.CutFromStore(1, true);
  cluster.CutFromStore(2, true);
  cluster.SetDomain(0, "brasov", false);
  cluster.RunFor(10s);
  BOOST_TEST(cluster.AcceptedChanges() == 0U);
  BOOST_TEST(cluster.Check() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(locating)

namespace {

/** One entry that has joined; its two registered peers do not answer. */
struct lone_fixture
{
  core::instant mNow{ 1000s };
  entry::effects mEffects;
  entry::entry_control mControl;

  lone_fixture()
    : mControl(entry::MakeEntry(Options(), 5, 1, mNow, mEffects))
  {
    entry::OnMemberWritten(mControl, true, mNow, mEffects);
    entry::OnMembers(mControl, Rows(), mNow, mNow, mEffects);
    entry::OnPromisesCopied(mControl, { { "b", 6 }, true, {} }, mNow, mEffects);
    entry::OnConfigurationRead(
      mControl,
      { { 1, "[state]\nformat = 1\nname = x\n[service plans]\ntargets = *\n" },
        "",
        "",
        1 },
      mNow,
      mNow,
      mEffects);
  }

  static entry::entry_options Options()
  {
    entry::entry_options options;
    options.mName = "a";
    options.mAddress = "a:1";
    return options;
  }

  static std::vector<membership::member_row> Rows()
  {
    return { { membership::role::Entry, { "a", 5 }, "a:1", "" },
             { membership::role::Entry, { "b", 6 }, "b:1", "" },
             { membership::role::Entry, { "c", 7 }, "c:1", "" } };
  }

  job::job& SubmitResubmission()
  {
    job::submission submission;
    submission.mKey = "t/j";
    submission.mService = "plans";
    submission.mTeam = "t";
    submission.mAttempt = 2;
    submission.mDeadline = 20s;
    submission.mTasks.assign(1, { "kind", 100ms, "" });
    entry::OnSubmit(mControl, 1, submission, mNow, mEffects);
    return *job::Find(mControl.mLedger, "t/j");
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_entry_that_may_have_started_tasks_reports_started,
                        lone_fixture)
{
  job::job& fenced = SubmitResubmission();
  BOOST_REQUIRE((fenced.mPhase == job::phase::Locating));
  fenced.mTasks[0].mEverStarted = true; // As in a fenced home.
  const auto replies = entry::OnLocate(
    mControl, { { { "b", 6 }, "b:1", "t/j", 0, { 9, 6 } } }, mNow, mEffects);
  BOOST_TEST((replies[0].mVerdict == core::locate_verdict::Started));
}

BOOST_FIXTURE_TEST_CASE(a_job_abandoned_in_doubt_is_not_reported_unknown,
                        lone_fixture)
{
  job::job& fenced = SubmitResubmission();
  fenced.mTasks[0].mEverStarted = true; // As in a fenced home.
  mNow += 21s;                          // After the caller's deadline.
  entry::Tick(mControl, mNow, mEffects);
  BOOST_REQUIRE(job::Find(mControl.mLedger, "t/j") == nullptr);
  const auto replies = entry::OnLocate(
    mControl, { { { "b", 6 }, "b:1", "t/j", 0, { 9, 6 } } }, mNow, mEffects);
  BOOST_TEST((replies[0].mVerdict == core::locate_verdict::Started));
  mControl.mLastContact = mNow;
  BOOST_TEST(job::MayHaveStarted(SubmitResubmission()));
}

BOOST_FIXTURE_TEST_CASE(a_silent_entry_may_know_the_outcome, lone_fixture)
{
  auto rows = Rows();
  rows.push_back({ membership::role::Agent, { "x", 8 }, "x:1", "" });
  rows.push_back({ membership::role::Agent, { "x", 9 }, "x:1", "" });
  entry::OnMembers(mControl, rows, mNow, mNow, mEffects);
  mControl.mMembers.mAgents["x"].mState.mAgent = { "x", 9 };
  job::job& asked = SubmitResubmission();
  mNow += 2s; // After the wait for entries; b and c do not answer.
  entry::Tick(mControl, mNow, mEffects);
  BOOST_REQUIRE((asked.mPhase == job::phase::Recovering));
  entry::OnFenceReplies(mControl,
                        { "x", 9 },
                        { { { "x", 9 }, "t/j", asked.mBallot, {}, {} } },
                        mNow,
                        mEffects);
  mEffects.clear();
  for (int round = 0; round < 3; ++round) {
    entry::Tick(mControl, mNow, mEffects);
    entry::OnMembers(mControl, rows, mNow, mNow, mEffects);
    mNow += 1s;
  }
  std::vector<core::job_answer> answers;
  for (const auto& effect : mEffects) {
    if (const auto* answer = std::get_if<entry::answer_caller>(&effect)) {
      answers.push_back(answer->mAnswer);
    }
  }
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers[0].mStatus == 503U);
  BOOST_TEST(answers[0].mReason.find("undecided") == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_home_asks_other_entries_after_its_agent_ended,
                        lone_fixture)
{
  job::job& own = SubmitResubmission();
  entry::BecomeHome(mControl, own, mNow, mEffects);
  own.mTasks[0].mState = job::task_state::Running;
  own.mTasks[0].mEverStarted = true;
  own.mTasks[0].mAgent = { "x", 8 };
  mControl.mAgentTasks["x"].insert({ "t/j", 0 });
  entry::OnAgentEnded(mControl, "x", { "x", 8 }, mNow, mEffects);
  BOOST_TEST((own.mPhase == job::phase::Locating));
  BOOST_TEST(job::MayHaveStarted(own));
}

BOOST_FIXTURE_TEST_CASE(an_answer_to_an_earlier_ballot_does_not_count,
                        lone_fixture)
{
  job::job& asked = SubmitResubmission();
  const core::ballot present = asked.mBallot;
  const core::ballot earlier{ present.mRound - 1, present.mEntry };
  const auto answer = [&](const core::ballot& aBallot) {
    return core::locate_reply{
      { "b", 6 }, "t/j", core::locate_verdict::Unknown, aBallot, {}
    };
  };
  entry::OnLocateReplies(
    mControl, { "b", 6 }, { answer(earlier) }, mNow, mEffects);
  BOOST_TEST(asked.mInquiry.mPending.size() == 2U);
  entry::OnLocateReplies(
    mControl, { "b", 6 }, { answer(present) }, mNow, mEffects);
  BOOST_TEST(asked.mInquiry.mPending.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_is_not_from_the_home_is_ignored,
                        lone_fixture)
{
  job::job& asked = SubmitResubmission();
  core::job_answer late;
  late.mJob = "t/j";
  late.mOutcome = core::job_outcome::NotRun;
  entry::OnDeliver(mControl, { { "b", 6 }, { late } }, mNow, mEffects);
  BOOST_TEST((asked.mPhase == job::phase::Locating));
}

BOOST_AUTO_TEST_SUITE_END()
