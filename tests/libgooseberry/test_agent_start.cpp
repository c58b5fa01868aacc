#include "agent_fixture.h"

#include <boost/test/unit_test.hpp>

/** Admission of starts (R4, R5). */
using namespace gooseberry;
using namespace gooseberry::agent;
using namespace gooseberry::agent::test;
using configuration::domain_state;

BOOST_AUTO_TEST_SUITE(agent_start)

BOOST_AUTO_TEST_CASE(starts_while_slots_are_free_then_queues_then_refuses)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 4; ++i) {
    BOOST_TEST((world.Start(Task(i)) == start_verdict::Accepted));
  }
  BOOST_TEST((world.Start(Task(4)) == start_verdict::Busy));
  const auto runs = world.ConsumeEffects<run_task>();
  BOOST_TEST(runs.size() == 2U);
  BOOST_TEST((runs.at(0).mMaxTime == 5s));
  world.End(Task(0), task_end::Succeeded);
  const auto next = world.ConsumeEffects<run_task>();
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST(next.at(0).mStart.mTask.mIndex == 2U);
}

BOOST_AUTO_TEST_CASE(smaller_priority_leaves_the_queue_first)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  world.Start(Task(1));
  auto late = Task(2);
  late.mPriority = 9;
  world.Start(late);
  auto soon = Task(3, { 1, 2 });
  soon.mTask.mJob = "qamar/other";
  soon.mPriority = 1;
  world.Start(soon);
  world.mOut.clear();
  world.End(Task(0), task_end::Succeeded);
  BOOST_TEST(
    (world.ConsumeEffects<run_task>().at(0).mStart.mTask == soon.mTask));
}

BOOST_AUTO_TEST_CASE(copies_of_a_start_start_once)
{
  auto world = OpenWorld();
  const auto batch = world.Batch({ Task(0) });
  BOOST_TEST((world.Deliver(batch) == start_verdict::Accepted));
  BOOST_TEST((world.Deliver(batch) == start_verdict::Accepted));
  world.End(Task(0), task_end::Succeeded);
  BOOST_TEST((world.Deliver(batch) == start_verdict::Accepted));
  BOOST_TEST(world.ConsumeEffects<run_task>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(other_placement_or_ballot_of_a_started_task_is_refused)
{
  auto world = OpenWorld();
  world.Start(Task(0));
  auto other = Task(0);
  other.mPlacement = 2;
  BOOST_TEST((world.Start(other) == start_verdict::AlreadyStarted));
  BOOST_TEST((world.Start(Task(0, { 2, 2 })) == start_verdict::AlreadyStarted));
  BOOST_TEST(world.ConsumeEffects<run_task>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(later_try_needs_a_definite_failure_here)
{
  for (const auto& [end, expected] :
       { std::pair(task_end::Failed, start_verdict::Accepted),
         std::pair(task_end::Unknown, start_verdict::AlreadyStarted),
         std::pair(task_end::Succeeded, start_verdict::AlreadyStarted) }) {
    auto world = OpenWorld();
    world.Start(Task(0));
    auto again = Task(0);
    again.mTry = 2;
    again.mPlacement = 2;
    auto early = again;
    early.mPlacement = 3;
    BOOST_TEST((world.Start(early) == start_verdict::AlreadyStarted));
    world.End(Task(0), end);
    BOOST_TEST((world.Start(again) == expected));
    BOOST_TEST((world.Start(Task(0)) != start_verdict::Stale));
  }
}

BOOST_AUTO_TEST_CASE(start_for_another_incarnation_is_refused)
{
  auto world = OpenWorld();
  auto batch = world.Batch({ Task(0) });
  batch.mAgentIncarnation = kIncarnation + 1;
  BOOST_TEST((world.Deliver(batch) == start_verdict::WrongIncarnation));
}

BOOST_AUTO_TEST_CASE(timestamp_older_than_the_bound_is_refused)
{
  auto world = OpenWorld();
  const auto batch = world.Batch({ Task(0) });
  const auto edge = world.Batch({ Task(1) });
  world.Advance(2s);
  BOOST_TEST((world.Deliver(edge) == start_verdict::Accepted));
  world.Advance(1us);
  BOOST_TEST((world.Deliver(batch) == start_verdict::Stale));
}

BOOST_AUTO_TEST_CASE(agent_without_contact_starts_nothing)
{
  auto world = OpenWorld();
  world.mNow += 2s;
  BOOST_TEST((world.Start(Task(0)) == start_verdict::Accepted));
  world.mNow += 1us;
  BOOST_TEST((world.Start(Task(1)) == start_verdict::Stale));
}

BOOST_AUTO_TEST_CASE(queued_task_is_checked_when_it_leaves_the_queue)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.mNow += 2s + 1us;
  world.mOut.clear();
  world.End(Task(0), task_end::Succeeded);
  BOOST_TEST(world.All<run_task>().empty());
  const auto finish =
    world.ConsumeEffects<send_finish>().at(0).mFinish.mResults;
  BOOST_REQUIRE(finish.size() == 2U);
  BOOST_TEST((finish.at(1).mEnd == task_end::Returned));
  BOOST_TEST((finish.at(1).mReturnReason == start_verdict::Stale));
}

BOOST_AUTO_TEST_CASE(domain_out_refuses_starts_and_returns_the_queue_at_once)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.mOut.clear();
  world.Configure(6, domain_state::Out);
  const auto finish =
    world.ConsumeEffects<send_finish>().at(0).mFinish.mResults;
  BOOST_REQUIRE(finish.size() == 1U);
  BOOST_TEST(finish.at(0).mTask.mIndex == 2U);
  BOOST_TEST((finish.at(0).mReturnReason == start_verdict::DomainOut));
  BOOST_TEST((world.Start(Task(3)) == start_verdict::DomainOut));
  world.End(Task(0), task_end::Succeeded);
  BOOST_TEST(world.All<run_task>().empty());
  BOOST_TEST(world.mControl.mTargets.at("press-1").mRunning == 1U);
}

BOOST_AUTO_TEST_CASE(
  target_must_exist_and_be_registered_and_configured_to_serve)
{
  auto world = OpenWorld();
  auto start = Task(0);
  start.mTarget = "press-9";
  BOOST_TEST((world.Start(start) == start_verdict::NoTarget));
  start = Task(1);
  start.mService = "almanac";
  BOOST_TEST((world.Start(start) == start_verdict::NoTarget));
  world.RegisterTarget("other-1");
  start = Task(2);
  start.mTarget = "other-1";
  BOOST_TEST((world.Start(start) == start_verdict::NoTarget));
}

BOOST_AUTO_TEST_CASE(
  refused_placement_stays_refused_until_its_timestamp_is_stale)
{
  auto world = OpenWorld();
  world.Configure(6, domain_state::Out);
  const auto batch = world.Batch({ Task(0) });
  BOOST_TEST((world.Deliver(batch) == start_verdict::DomainOut));
  world.Configure(7, domain_state::In);
  world.Advance(1s);
  BOOST_TEST((world.Deliver(batch) == start_verdict::DomainOut));
  world.Advance(10s);
  BOOST_TEST((world.Deliver(batch) == start_verdict::Stale));
  auto other = Task(0);
  other.mPlacement = 2;
  BOOST_TEST((world.Start(other) == start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(returned_placement_never_starts_until_it_is_acknowledged)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.mOut.clear();
  world.Configure(6, domain_state::Out);
  const auto finish = world.ConsumeEffects<send_finish>().at(0);
  world.Configure(7, domain_state::In);
  world.Advance(60s);
  // The entry does not know of the return, and sends the placement with a new
  // timestamp.
  BOOST_TEST((world.Start(Task(2)) == start_verdict::DomainOut));
  const auto batch = world.Batch({ Task(2) });
  world.Acknowledge(finish);
  world.Advance(2s);
  BOOST_TEST((world.Deliver(batch) == start_verdict::DomainOut));
  BOOST_TEST(world.All<run_task>().empty());
}

BOOST_AUTO_TEST_CASE(fence_refuses_lower_ballots_and_lists_started_tasks)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.End(Task(0), task_end::Succeeded, "plan");
  world.mOut.clear();
  world.Start(Task(3));
  const auto reply = world.Fence("tabcraft/job", { 2, 2 });
  BOOST_REQUIRE(reply.mStarted.size() == 3U);
  BOOST_TEST((reply.mBallot == core::ballot{ 2, 2 }));
  BOOST_TEST(reply.mStarted.at(0).mResult.mPayload == "plan");
  BOOST_TEST((reply.mStarted.at(1).mState == core::record_state::Running));
  world.End(Task(1), task_end::Succeeded);
  BOOST_TEST(world.ConsumeEffects<run_task>().empty());
  BOOST_TEST((world.Start(Task(3)) == start_verdict::Fenced));
  BOOST_TEST((world.Start(Task(4)) == start_verdict::Fenced));
  BOOST_TEST((world.Start(Task(4, { 2, 2 })) == start_verdict::Accepted));
  const core::fence_request lower{
    { "c", 9 }, "10.0.0.3:9000", "tabcraft/job", { 1, 9 }
  };
  const auto refused = OnFence(world.mControl, lower, world.mNow, world.mOut);
  BOOST_TEST((refused.mBallot == core::ballot{ 2, 2 }));
  BOOST_TEST(refused.mHolder == kEntryA); // Holder by the last start.
}

BOOST_AUTO_TEST_CASE(later_placement_replaces_a_queued_one)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  auto later = Task(2);
  later.mPlacement = 2;
  BOOST_TEST((world.Start(later) == start_verdict::Accepted));
  world.mOut.clear();
  world.End(Task(0), task_end::Succeeded);
  world.End(Task(1), task_end::Succeeded);
  const auto runs = world.ConsumeEffects<run_task>();
  BOOST_REQUIRE(runs.size() == 1U);
  BOOST_TEST(runs.at(0).mStart.mPlacement == 2U);
}

BOOST_AUTO_TEST_CASE(cancellation_returns_the_queued_tasks_of_its_entry)
{
  auto world = OpenWorld();
  for (std::uint32_t i = 0; i < 3; ++i) {
    world.Start(Task(i));
  }
  world.mOut.clear();
  OnCancel(
    world.mControl, { { "b", 2 }, { "tabcraft/job" } }, world.mNow, world.mOut);
  BOOST_TEST(world.ConsumeEffects<send_finish>().empty());
  OnCancel(
    world.mControl, { { "a", 1 }, { "tabcraft/job" } }, world.mNow, world.mOut);
  const auto results =
    world.ConsumeEffects<send_finish>().at(0).mFinish.mResults;
  BOOST_REQUIRE(results.size() == 1U);
  BOOST_TEST((results.at(0).mReturnReason == start_verdict::Cancelled));
  BOOST_TEST(world.mControl.mTargets.at("press-1").mRunning == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
