#include "agent_fixture.h"

#include <boost/test/unit_test.hpp>

/** Results, ends of targets, load reports and leaving (R4, R7, R13). */
using namespace gooseberry;
using namespace gooseberry::agent;
using namespace gooseberry::agent::test;

BOOST_AUTO_TEST_SUITE(agent_results)

BOOST_AUTO_TEST_CASE(result_is_repeated_with_backoff_until_acknowledged)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  world.mOut.clear();
  world.End(Task(0), task_end::Succeeded);
  auto sent = world.ConsumeEffects<send_finish>();
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(sent.at(0).mEntryAddress == kEntryA);
  OnFinishFailed(world.mControl, sent.at(0).mId, world.mNow, world.mOut);
  BOOST_TEST(world.ConsumeEffects<send_finish>().empty());
  world.Advance(50ms);
  sent = world.ConsumeEffects<send_finish>();
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(sent.at(0).mFinish.mResults.at(0).mPayload == "proof");
  OnFinishFailed(world.mControl, sent.at(0).mId, world.mNow, world.mOut);
  world.Advance(50ms);
  BOOST_TEST(world.ConsumeEffects<send_finish>().empty());
  world.Advance(50ms);
  sent = world.ConsumeEffects<send_finish>();
  BOOST_REQUIRE(sent.size() == 1U);
  world.Acknowledge(sent.at(0));
  world.Advance(5s);
  BOOST_TEST(world.ConsumeEffects<send_finish>().empty());
}

BOOST_AUTO_TEST_CASE(result_goes_to_the_recoverer_after_a_fence)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  world.Start(Task(1));
  world.End(Task(0), task_end::Succeeded);
  const auto first = world.ConsumeEffects<send_finish>().at(0);
  world.Fence("tabcraft/job", { 2, 2 });
  OnFinishFailed(world.mControl, first.mId, world.mNow, world.mOut);
  world.End(Task(1), task_end::Succeeded);
  world.Advance(50ms);
  std::size_t results = 0;
  for (const auto& finish : world.ConsumeEffects<send_finish>()) {
    BOOST_TEST(finish.mEntryAddress == kEntryB);
    results += finish.mFinish.mResults.size();
  }
  BOOST_TEST(results == 2U);
}

BOOST_AUTO_TEST_CASE(acknowledged_result_stays_for_fences_until_the_window_ends)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  world.mOut.clear();
  world.End(Task(0), task_end::Succeeded, "plan");
  world.Acknowledge(world.ConsumeEffects<send_finish>().at(0));
  world.Advance(119s);
  const auto reply = world.Fence("tabcraft/job", { 2, 2 });
  BOOST_TEST(reply.mStarted.at(0).mResult.mPayload == "plan");
  world.Advance(119s);
  BOOST_TEST(world.Fence("tabcraft/job", { 2, 2 }).mStarted.size() == 1U);
  world.Advance(121s);
  BOOST_TEST(world.Fence("tabcraft/job", { 3, 2 }).mStarted.empty());
}

BOOST_AUTO_TEST_CASE(running_task_is_remembered_beyond_the_window)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  world.Advance(121s);
  world.Advance(121s);
  BOOST_TEST((world.Start(Task(0, { 2, 2 })) == start_verdict::AlreadyStarted));
}

BOOST_AUTO_TEST_CASE(oldest_result_is_dropped_over_the_limit)
{
  auto world = OpenWorld();
  world.mControl.mSettings.mMaxResultBytes = 10;
  world.Start(Task(0));
  world.Start(Task(1));
  world.End(Task(0), task_end::Succeeded, "12345678");
  world.End(Task(1), task_end::Succeeded, "abcdefgh");
  const auto started = world.Fence("tabcraft/job", { 2, 2 }).mStarted;
  BOOST_TEST((started.at(0).mState == core::record_state::ResultDropped));
  BOOST_TEST(started.at(0).mResult.mPayload.empty());
  BOOST_TEST(started.at(1).mResult.mPayload == "abcdefgh");
  BOOST_TEST((world.Start(Task(0, { 2, 2 })) == start_verdict::AlreadyStarted));
}

BOOST_AUTO_TEST_CASE(no_definite_answer_is_unknown_and_never_starts_again)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  world.mOut.clear();
  world.End(Task(0), task_end::Unknown);
  const auto result =
    world.ConsumeEffects<send_finish>().at(0).mFinish.mResults.at(0);
  BOOST_TEST((result.mEnd == task_end::Unknown));
  auto again = Task(0);
  again.mTry = 2;
  BOOST_TEST((world.Start(again) == start_verdict::AlreadyStarted));
}

BOOST_AUTO_TEST_CASE(
  refused_connection_returns_the_task_and_suspends_the_target)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  const auto batch = world.Batch({ Task(0) });
  world.mOut.clear();
  world.End(Task(0), task_end::Returned);
  const auto results =
    world.ConsumeEffects<send_finish>().at(0).mFinish.mResults;
  BOOST_REQUIRE(results.size() == 2U);
  BOOST_TEST((results.at(0).mEnd == task_end::Returned));
  BOOST_TEST((results.at(1).mTask == Task(2).mTask));
  BOOST_TEST((world.Start(Task(4)) == start_verdict::NoTarget));
  world.RegisterTarget();
  BOOST_TEST((world.Start(Task(5)) == start_verdict::Accepted));
  BOOST_TEST((world.Deliver(batch) == start_verdict::NoTarget));
  BOOST_TEST(world.Fence("tabcraft/job", { 2, 2 }).mStarted.size() == 2U);
}

BOOST_AUTO_TEST_CASE(failed_try_stays_on_record_after_a_refused_connection)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  world.End(Task(0), task_end::Failed);
  auto second = Task(0);
  second.mTry = 2;
  second.mPlacement = 2;
  world.Start(second);
  world.End(second, task_end::Returned);
  world.RegisterTarget();
  auto copy = Task(0);
  copy.mPlacement = 7;
  BOOST_TEST((world.Start(copy) == start_verdict::AlreadyStarted));
}

BOOST_AUTO_TEST_CASE(failures_in_a_row_are_counted)
{
  auto world = OpenWorld();
  const auto failures = [&] {
    return StateOf(world.mControl, {}, world.mNow)
      .mTargets.at(0)
      .mConsecutiveFailures;
  };
  world.Start(Task(0));
  world.End(Task(0), task_end::Failed);
  world.Start(Task(1));
  world.End(Task(1), task_end::Unknown);
  BOOST_TEST(failures() == 2U);
  world.Start(Task(2));
  world.End(Task(2), task_end::Succeeded);
  BOOST_TEST(failures() == 0U);
}

BOOST_AUTO_TEST_CASE(expired_lease_removes_the_target)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.mNow += 3s;
  world.mOut.clear();
  Tick(world.mControl, world.mNow, world.mOut);
  const auto results =
    world.ConsumeEffects<send_finish>().at(0).mFinish.mResults;
  BOOST_TEST((results.at(0).mReturnReason == start_verdict::NoTarget));
  world.AnswerLoadReport();
  BOOST_TEST((world.Start(Task(4)) == start_verdict::NoTarget));
  world.End(Task(0), task_end::Succeeded);
  world.End(Task(1), task_end::Succeeded);
  Tick(world.mControl, world.mNow, world.mOut);
  BOOST_TEST(world.mControl.mTargets.empty());
}

BOOST_AUTO_TEST_CASE(leaving_target_accepts_nothing_new_and_finishes)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.mOut.clear();
  OnTargetLeaving(world.mControl, "press-1", world.mNow, world.mOut);
  const auto results =
    world.ConsumeEffects<send_finish>().at(0).mFinish.mResults;
  BOOST_TEST((results.at(0).mReturnReason == start_verdict::Leaving));
  BOOST_TEST((world.Start(Task(4)) == start_verdict::Leaving));
  world.End(Task(0), task_end::Succeeded);
  BOOST_TEST(world.ConsumeEffects<run_task>().empty());
}

BOOST_AUTO_TEST_CASE(leaving_agent_exits_once_its_results_are_acknowledged)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.Advance(10ms);
  world.mOut.clear();
  Leave(world.mControl, world.mNow, world.mOut);
  BOOST_TEST(world.All<left>().empty());
  world.Acknowledge(world.ConsumeEffects<send_finish>().at(0));
  BOOST_TEST((world.Start(Task(4)) == start_verdict::Leaving));
  world.End(Task(0), task_end::Succeeded);
  world.End(Task(1), task_end::Succeeded);
  BOOST_TEST(world.All<left>().empty());
  for (const auto& finish : world.ConsumeEffects<send_finish>()) {
    world.Acknowledge(finish);
  }
  BOOST_TEST(world.ConsumeEffects<left>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(
  entry_with_a_backlog_gets_a_load_report_of_a_free_slot_at_once)
{
  auto world = OpenWorld();
  auto other = Task(0, { 1, 9 });
  other.mTask.mJob = "qamar/job";
  auto batch = world.Batch({ other });
  batch.mEntry = { "b", 9 };
  batch.mEntryAddress = kEntryB;
  batch.mBacklog = true;
  world.Deliver(batch);
  world.Start(Task(1));
  OnLoadReportAnswered(
    world.mControl, kEntryB, {}, world.mNow, world.mNow, world.mOut);
  world.Advance(10ms);
  world.mOut.clear();
  world.End(Task(1), task_end::Succeeded);
  const auto reports = world.ConsumeEffects<send_load_report>();
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(reports.at(0).mEntryAddress == kEntryB);
  BOOST_TEST(reports.at(0).mState.mTargets.at(0).mRunning == 1U);
}

BOOST_AUTO_TEST_CASE(every_entry_gets_a_load_report_each_interval)
{
  auto world = OpenWorld();
  FindOrAddEntry(world.mControl.mEntries, "a", kEntryA, world.mNow);
  world.Advance(1ms);
  BOOST_TEST(world.ConsumeEffects<send_load_report>().size() == 1U);
  world.Advance(499ms);
  BOOST_TEST(world.ConsumeEffects<send_load_report>().empty());
  world.Advance(1ms);
  BOOST_TEST(world.ConsumeEffects<send_load_report>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
