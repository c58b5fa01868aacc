#include "libgooseberry/job/ready_queue.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace gooseberry;
using namespace std::chrono_literals;

/**
 * Replays the peak of the load: for some seconds, more work arrives than the
 * targets can process, in jobs of very different lengths.
 */
namespace {

constexpr core::duration kStep = 1ms;
constexpr core::duration kOverload = 6s;
constexpr std::size_t kSlots = 20;

/** One kind of jobs: one task each, due after 1.6 run times plus 60 ms. */
struct kind
{
  core::duration mRunTime;
  double mPerSecond;
};
/** 26.6 s of work per second, for 20 slots. */
constexpr kind kKinds[] = { { 60ms, 160 }, { 200ms, 40 }, { 900ms, 10 } };

struct replay
{
  job::order_settings mOrder;
  job::ledger mLedger;
  job::ready_queue mQueue;
  std::vector<core::instant> mBusyUntil =
    std::vector<core::instant>(kSlots, core::instant{});
  std::size_t mArrived = 0;
  std::size_t mInTime = 0;

  void Arrive(const kind& aKind, core::instant aNow)
  {
    job::submission submission;
    submission.mKey = "job-" + std::to_string(mArrived++);
    submission.mService = "press";
    submission.mObjective = { 160, 60ms };
    submission.mDeadline = 3s;
    submission.mTasks.resize(1);
    job::job& added = job::Add(mLedger, submission, aNow);
    added.mPhase = job::phase::Running;
    added.mTasks[0].mExpected = aKind.mRunTime;
    added.mRemainingWork = aKind.mRunTime;
    added.mObjective = job::ObjectiveOf(submission, aKind.mRunTime);
    added.mLatestStart = aNow + job::LongestWait(submission, aKind.mRunTime);
    added.mWaiting = { 0 };
    job::Requeue(mQueue, mOrder, added);
  }

  void Start(core::instant aNow)
  {
    job::DemoteLate(mQueue, mOrder, mLedger, aNow);
    for (core::instant& until : mBusyUntil) {
      if (until > aNow || mQueue.mServices.empty()) {
        continue;
      }
      job::job& next =
        *job::Find(mLedger, mQueue.mServices.begin()->second.begin()->mJob);
      job::Unqueue(mQueue, next);
      until = aNow + next.mTasks[0].mExpected;
      mInTime += until <= next.mArrived + next.mObjective ? 1 : 0;
    }
  }

  /** Returns the share of jobs that end by their objective. */
  double Run()
  {
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    const core::instant start{ 100s };
    for (core::instant now = start; now < start + kOverload; now += kStep) {
      for (const kind& kind : kKinds) {
        const double chance =
          kind.mPerSecond * std::chrono::duration<double>(kStep).count();
        if (draw(random) < chance) {
          Arrive(kind, now);
        }
      }
      Start(now);
    }
    return static_cast<double>(mInTime) / static_cast<double>(mArrived);
  }
};

double
ShareInTime(job::order_policy aPolicy)
{
  replay replay;
  replay.mOrder.mPolicy = aPolicy;
  return replay.Run();
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_overload)

BOOST_AUTO_TEST_CASE(most_jobs_are_in_time_where_arrival_order_makes_all_late)
{
  const double objective = ShareInTime(job::order_policy::Objective);
  const double arrival = ShareInTime(job::order_policy::Fifo);
  BOOST_TEST_MESSAGE("objective " << objective << ", arrival " << arrival);
  BOOST_TEST(objective >= 0.7);
  BOOST_TEST(objective >= 2 * arrival);
}

BOOST_AUTO_TEST_CASE(a_late_job_goes_after_all_that_can_be_in_time)
{
  replay replay;
  replay.mOrder.mPolicy = job::order_policy::Objective;
  const core::instant start{ 100s };
  replay.Arrive({ 60ms, 0 }, start);
  const auto moved =
    job::DemoteLate(replay.mQueue, replay.mOrder, replay.mLedger, start + 97ms);
  BOOST_REQUIRE_EQUAL(moved.size(), 1U);
  replay.Arrive({ 900ms, 0 }, start + 97ms);
  BOOST_TEST(replay.mQueue.mServices.begin()->second.begin()->mJob == "job-1");
  BOOST_TEST(
    job::DemoteLate(replay.mQueue, replay.mOrder, replay.mLedger, start + 98ms)
      .empty());
}

BOOST_AUTO_TEST_SUITE_END()
