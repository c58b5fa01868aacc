#include "libgooseberry/job/ready_queue.h"
#include "libgooseberry/quota/admission.h"
#include "libgooseberry/quota/offered_load.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <limits>
#include <map>
#include <random>

using namespace gooseberry;
using namespace std::chrono_literals;

/**
 * Replays an overload: for some seconds, more work arrives than the targets can
 * do, in jobs of different width, length and priority. Uses a fake clock and
 * the decisions of an entry: admission, order, and the refusal of late jobs.
 */
namespace {

constexpr core::duration kStep = 1ms;
constexpr core::duration kNormalLoad = 1s;
constexpr core::duration kOverload = 6s;
constexpr std::size_t kSlots = 35;

/** A kind of jobs, due after 1.52 task run times plus 60 ms. */
struct kind
{
  core::duration mRunTime;
  std::size_t mTasks;
  double mPerSecond;
  std::uint32_t mPriority; ///< Smaller values matter more.
};
/** 21.8 s of work per second; twice that under overload, for 35 slots. */
constexpr kind kKinds[] = { { 60ms, 8, 9.5, 0 },
                            { 200ms, 2, 27.5, 1 },
                            { 900ms, 4, 1.7, 2 } };

struct tally
{
  std::size_t mArrived = 0;
  std::size_t mInTime = 0;
  std::size_t mLate = 0;        ///< Late but useful.
  std::size_t mUseless = 0;     ///< Too late to be useful.
  std::size_t mRefused = 0;     ///< On arrival.
  std::size_t mRefusedLate = 0; ///< Refused after waiting.
};

struct running
{
  core::instant mEndsAt{};
  std::string mJob;
};

struct replay
{
  bool mAdmits = true;
  job::order_settings mOrder{ job::order_policy::Objective, 4 };
  job::ledger mLedger;
  job::ready_queue mQueue;
  quota::offered_load mLoad;
  std::uint64_t mWaitingTasks = 0;
  std::mt19937_64 mRandom{ 1 };
  std::vector<running> mRunning = std::vector<running>(kSlots);
  std::map<std::string, core::duration> mLongest; ///< Run time, by job.
  std::vector<std::string> mLateJobs;             ///< To be refused.
  tally mTally;
  std::array<tally, std::size(kKinds)> mByKind;

  tally& TallyOf(const job::job& aJob)
  {
    return mByKind[aJob.mSubmission.mPriority];
  }

  core::duration WaitingWork(std::int64_t aUpTo)
  {
    core::duration work{};
    const auto service = mQueue.mServices.find("press");
    if (service == mQueue.mServices.end()) {
      return work;
    }
    for (const job::ready_key& key : service->second) {
      if (key.mPriority > aUpTo) {
        break;
      }
      work += job::Find(mLedger, key.mJob)->mWaitingWork;
    }
    return work;
  }

  bool IsAdmitted(const job::submission& aSubmission,
                  const kind& aKind,
                  core::instant aNow)
  {
    quota::admission_request request;
    request.mSlots = kSlots;
    request.mTasks = static_cast<std::uint32_t>(aKind.mTasks);
    request.mWork = aKind.mRunTime * std::int64_t(aKind.mTasks);
    request.mLongestTask = aKind.mRunTime;
    quota::RecordArrival(mLoad, aKind.mPriority, request.mWork, aNow);
    const core::duration longest =
      job::LongestWait(aSubmission, aKind.mRunTime);
    request.mWorkAhead =
      WaitingWork(job::ObjectiveKey(aSubmission, aNow + longest));
    request.mWaitingTasks = mWaitingTasks;
    quota::objective_request objective;
    objective.mLongestWait = longest;
    objective.mLongestUsefulWait =
      job::LongestUsefulWait(aSubmission, aKind.mRunTime);
    objective.mFreeSlots = static_cast<std::uint32_t>(
      std::count_if(mRunning.begin(), mRunning.end(), [&](const auto& aSlot) {
        return aSlot.mEndsAt <= aNow;
      }));
    objective.mWaitingWork =
      WaitingWork(std::numeric_limits<std::int64_t>::max());
    objective.mHigherPriorityLoad =
      quota::HigherPriorityLoad(mLoad, aKind.mPriority, aNow);
    objective.mTotalLoad = quota::TotalLoad(mLoad, aNow);
    request.mObjective = objective;
    return std::holds_alternative<quota::admitted>(quota::Admit({}, request));
  }

  /** Draws a run time; estimates are off by a factor of 1.5, up or down. */
  core::duration Draw(core::duration aExpected)
  {
    std::lognormal_distribution<double> factor(0, 0.4);
    return core::duration(static_cast<core::duration::rep>(
      static_cast<double>(aExpected.count()) * factor(mRandom)));
  }

  void Arrive(const kind& aKind, core::instant aNow)
  {
    job::submission submission;
    submission.mKey = "job-" + std::to_string(mTally.mArrived++);
    submission.mService = "press";
    submission.mObjective = { 152, 60ms };
    submission.mPriority = aKind.mPriority;
    submission.mDeadline = 5s;
    submission.mTasks.resize(aKind.mTasks);
    ++mByKind[aKind.mPriority].mArrived;
    if (mAdmits && !IsAdmitted(submission, aKind, aNow)) {
      ++mTally.mRefused;
      return;
    }
    job::job& added = job::Add(mLedger, submission, aNow);
    added.mPhase = job::phase::Running;
    added.mObjective = job::ObjectiveOf(submission, aKind.mRunTime);
    added.mLatestStart = aNow + job::LongestWait(submission, aKind.mRunTime);
    for (std::uint32_t i = 0; i < aKind.mTasks; ++i) {
      added.mTasks[i].mExpected = aKind.mRunTime;
      added.mWaitingWork += aKind.mRunTime;
      added.mWaiting.push_back(i);
      ++mWaitingTasks;
    }
    job::Requeue(mQueue, mOrder, added);
  }

  void EndJob(job::job& aJob, core::instant aNow)
  {
    const core::duration took = aNow - aJob.mArrived;
    const core::duration objective =
      job::ObjectiveOf(aJob.mSubmission, mLongest[aJob.mSubmission.mKey]);
    if (took <= objective) {
      ++mTally.mInTime;
      ++TallyOf(aJob).mInTime;
    } else if (took <= 3 * objective) {
      ++mTally.mLate;
    } else {
      ++mTally.mUseless;
    }
  }

  void EndTasks(core::instant aNow)
  {
    for (running& slot : mRunning) {
      if (slot.mJob.empty() || slot.mEndsAt > aNow) {
        continue;
      }
      job::job& ended = *job::Find(mLedger, slot.mJob);
      slot.mJob.clear();
      if (++ended.mEnded == ended.mTasks.size()) {
        EndJob(ended, aNow);
      }
    }
  }

  void StartTasks(core::instant aNow)
  {
    for (const auto& late : job::DemoteLate(mQueue, mOrder, mLedger, aNow)) {
      mLateJobs.push_back(late);
    }
    for (running& slot : mRunning) {
      if (!slot.mJob.empty() || mQueue.mServices.empty()) {
        continue;
      }
      job::job& next =
        *job::Find(mLedger, mQueue.mServices.begin()->second.begin()->mJob);
      const std::uint32_t task = next.mWaiting.back();
      next.mWaiting.pop_back();
      --mWaitingTasks;
      next.mTasks[task].mState = job::task_state::Running;
      next.mTasks[task].mEverStarted = true;
      next.mWaitingWork -= next.mTasks[task].mExpected;
      const core::duration runTime = Draw(next.mTasks[task].mExpected);
      core::duration& longest = mLongest[next.mSubmission.mKey];
      longest = std::max(longest, runTime);
      slot = { aNow + runTime, next.mSubmission.mKey };
      job::Requeue(mQueue, mOrder, next);
    }
  }

  /** Refuses late jobs without any start once their result is useless. */
  void RefuseLate(core::instant aNow)
  {
    std::erase_if(mLateJobs, [&](const std::string& aName) {
      job::job& late = *job::Find(mLedger, aName);
      const core::duration useful =
        job::LongestUsefulWait(late.mSubmission, late.mTasks.front().mExpected);
      if (job::MayHaveStarted(late) || late.mArrived + useful > aNow) {
        return job::MayHaveStarted(late);
      }
      job::Unqueue(mQueue, late);
      mWaitingTasks -= late.mWaiting.size();
      ++mTally.mRefusedLate;
      return true;
    });
  }

  tally Run()
  {
    std::uniform_real_distribution<double> draw(0, 1);
    const core::instant start{ 100s };
    const core::instant end = start + kNormalLoad + kOverload;
    for (core::instant now = start; now < end + 2s; now += kStep) {
      const double factor = now < start + kNormalLoad ? 1 : 2;
      for (const kind& kind : kKinds) {
        const double chance = factor * kind.mPerSecond *
                              std::chrono::duration<double>(kStep).count();
        if (now < end && draw(mRandom) < chance) {
          Arrive(kind, now);
        }
      }
      EndTasks(now);
      RefuseLate(now);
      StartTasks(now);
    }
    return mTally;
  }
};

std::ostream&
operator<<(std::ostream& aOut, const tally& aTally)
{
  return aOut << "arrived " << aTally.mArrived << ", in time " << aTally.mInTime
              << ", late " << aTally.mLate << ", useless " << aTally.mUseless
              << ", refused " << aTally.mRefused << ", refused late "
              << aTally.mRefusedLate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_overload)

BOOST_AUTO_TEST_CASE(jobs_that_would_be_late_are_refused_on_arrival)
{
  replay with;
  const tally admitted = with.Run();
  replay without;
  without.mAdmits = false;
  const tally all = without.Run();
  BOOST_TEST_MESSAGE("with " << admitted);
  BOOST_TEST_MESSAGE("without " << all);
  BOOST_TEST(admitted.mRefusedLate * 50 <= admitted.mArrived); // 2%
  BOOST_TEST(admitted.mUseless * 50 <= admitted.mArrived);     // 2%
  BOOST_TEST(all.mRefusedLate + all.mUseless >
             5 * (admitted.mRefusedLate + admitted.mUseless));
  BOOST_TEST(admitted.mInTime > all.mInTime);
}

BOOST_AUTO_TEST_CASE(jobs_of_the_highest_priority_are_in_time)
{
  replay replay;
  static_cast<void>(replay.Run());
  const tally& first = replay.mByKind.front();
  BOOST_TEST_MESSAGE(first.mInTime << " of " << first.mArrived);
  BOOST_TEST(first.mInTime * 10 >= first.mArrived * 9);
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_while_slots_are_free)
{
  replay replay;
  const core::instant start{ 100s };
  for (int i = 0; i < 4; ++i) {
    replay.Arrive(kKinds[0], start);
    replay.StartTasks(start);
  }
  BOOST_TEST(replay.mTally.mRefused == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
