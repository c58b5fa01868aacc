#include "agent_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

/** Random schedules of starts, copies, fences, pauses, domain changes and ends
 * against one agent; checks the invariants after each step. */
using namespace gooseberry;
using namespace gooseberry::agent;
using namespace gooseberry::agent::test;
using configuration::domain_state;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kSchedules = 3000;
constexpr int kMaxSteps = 160;

enum class action : std::uint8_t
{
  Start,
  Copy,
  EndTask,
  AnswerFinish,
  AnswerLoadReport,
  RegisterTarget,
  Wait,
  Pause,
  Fence,
  SwitchDomain,
  OldConfiguration,
  TargetLeaves,
  Cancel,
};

struct step
{
  action mAction = action::Start;
  std::uint32_t mPick = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const step& aStep)
{
  return aOut << int(aStep.mAction) << '/' << aStep.mPick;
}

rc::Gen<step>
AnyStep()
{
  const auto kind = rc::gen::weightedElement<action>({
    { 10, action::Start },
    { 8, action::Copy },
    { 8, action::EndTask },
    { 5, action::AnswerFinish },
    { 5, action::AnswerLoadReport },
    { 4, action::RegisterTarget },
    { 4, action::Wait },
    { 1, action::Pause },
    { 2, action::Fence },
    { 2, action::SwitchDomain },
    { 1, action::OldConfiguration },
    { 1, action::TargetLeaves },
    { 1, action::Cancel },
  });
  return rc::gen::construct<step>(kind,
                                  rc::gen::inRange<std::uint32_t>(0, 1 << 20));
}

/** An agent, and a model of it that does not read its records. */
struct schedule
{
  agent_world mWorld = OpenWorld();
  std::vector<core::start_batch> mSent;
  std::vector<core::task_start> mRunning;
  std::vector<send_finish> mUnanswered;
  /** Tasks that must not start again; a definite failure removes them. */
  std::set<core::task_ref> mStarted;
  std::set<std::uint32_t> mRefused; ///< Placements; each start has its own.
  std::map<std::string, core::ballot> mFences;
  core::instant mLastContact = mWorld.mNow;
  core::generation mGeneration = 5;
  bool mDomainIn = true;
  std::uint32_t mPlacements = 0;

  schedule()
  {
    mWorld.mControl.mSettings.mDeduplicationWindow = 24h;
    mWorld.RegisterTarget("press-2", 1);
  }
};

void
CheckRun(schedule& aSchedule, const core::task_start& aStart)
{
  RC_ASSERT(aSchedule.mDomainIn);
  RC_ASSERT(aSchedule.mWorld.mNow - aSchedule.mLastContact <= 2s);
  RC_ASSERT(!aSchedule.mRefused.contains(aStart.mPlacement));
  RC_ASSERT(!(aStart.mBallot < aSchedule.mFences[aStart.mTask.mJob]));
  RC_ASSERT(aSchedule.mStarted.insert(aStart.mTask).second);
  aSchedule.mRunning.push_back(aStart);
}

/** Checks the effects of the last step in their order. */
void
CheckEffects(schedule& aSchedule)
{
  const auto made = std::exchange(aSchedule.mWorld.mOut, {});
  for (const auto& effect : made) {
    if (const auto* run = std::get_if<run_task>(&effect)) {
      CheckRun(aSchedule, run->mStart);
    } else if (const auto* finish = std::get_if<send_finish>(&effect)) {
      aSchedule.mUnanswered.push_back(*finish);
    } else if (const auto* log = std::get_if<log_event>(&effect);
               log != nullptr && log->mEvent == agent_event::TaskReturned) {
      aSchedule.mRefused.insert(log->mPlacement);
    }
  }
  for (const auto& [name, target] : aSchedule.mWorld.mControl.mTargets) {
    RC_ASSERT(target.mRunning <= target.mSlots);
    RC_ASSERT(target.mQueue.mTasks.size() <= 2U);
  }
  RC_ASSERT(
    StateOf(aSchedule.mWorld.mControl, {}, aSchedule.mWorld.mNow).mGeneration ==
    aSchedule.mGeneration);
}

void
Deliver(schedule& aSchedule, const core::start_batch& aBatch)
{
  const auto verdict = aSchedule.mWorld.Deliver(aBatch);
  CheckEffects(aSchedule);
  if (verdict != start_verdict::Accepted &&
      verdict != start_verdict::AlreadyStarted) {
    aSchedule.mRefused.insert(aBatch.mStarts.at(0).mPlacement);
  }
}

void
SendStart(schedule& aSchedule, std::uint32_t aPick)
{
  core::task_start start = Task(aPick % 2);
  start.mTask.mJob = aPick / 2 % 2 == 0 ? "tabcraft/job" : "qamar/job";
  const std::uint32_t claimant = 1 + aPick / 4 % 3;
  start.mBallot = { claimant, claimant };
  start.mTry = 1 + aPick / 12 % 2;
  start.mTarget = aPick / 24 % 2 == 0 ? "press-1" : "press-2";
  start.mPriority = aPick / 48 % 3;
  start.mPlacement = ++aSchedule.mPlacements;
  auto batch = aSchedule.mWorld.Batch({ start });
  batch.mEntry = { "e", claimant };
  aSchedule.mSent.push_back(batch);
  // The other starts are late: only `action::Copy` delivers them.
  if (aPick / 144 % 4 != 0) {
    Deliver(aSchedule, batch);
  }
}

void
EndTask(schedule& aSchedule, std::uint32_t aPick)
{
  auto& running = aSchedule.mRunning;
  if (running.empty()) {
    return;
  }
  const auto at =
    running.begin() + static_cast<std::ptrdiff_t>(aPick % running.size());
  const auto start = *at;
  running.erase(at);
  const auto end = static_cast<task_end>(aPick / 64 % 4);
  if (end == task_end::Failed || end == task_end::Returned) {
    aSchedule.mStarted.erase(start.mTask);
  }
  if (end == task_end::Returned) {
    aSchedule.mRefused.insert(start.mPlacement);
  }
  aSchedule.mWorld.End(start, end);
}

void
AnswerFinish(schedule& aSchedule, std::uint32_t aPick)
{
  auto& unanswered = aSchedule.mUnanswered;
  if (unanswered.empty()) {
    return;
  }
  const auto at =
    unanswered.begin() + static_cast<std::ptrdiff_t>(aPick % unanswered.size());
  const auto finish = *at;
  unanswered.erase(at);
  auto& world = aSchedule.mWorld;
  if (aPick / 64 % 2 == 0) {
    world.Acknowledge(finish);
    aSchedule.mLastContact = world.mNow;
  } else {
    OnFinishFailed(world.mControl, finish.mId, world.mNow, world.mOut);
  }
}

void
Fence(schedule& aSchedule, std::uint32_t aPick)
{
  const std::string job = aPick % 2 == 0 ? "tabcraft/job" : "qamar/job";
  const std::uint32_t claimant = 1 + aPick / 2 % 3;
  const core::ballot ballot{ claimant, claimant };
  const auto reply = aSchedule.mWorld.Fence(job, ballot);
  if (reply.mBallot == ballot) {
    auto& fence = aSchedule.mFences[job];
    fence = std::max(fence, ballot);
    for (const auto& start : aSchedule.mRunning) {
      RC_ASSERT(start.mTask.mJob != job ||
                std::any_of(reply.mStarted.begin(),
                            reply.mStarted.end(),
                            [&](const auto& aStarted) {
                              return aStarted.mResult.mTask == start.mTask;
                            }));
    }
  }
}

void
PerformStep(schedule& aSchedule, const step& aStep)
{
  auto& world = aSchedule.mWorld;
  const auto pick = aStep.mPick;
  switch (aStep.mAction) {
    case action::Start:
      return SendStart(aSchedule, pick);
    case action::Copy:
      if (!aSchedule.mSent.empty()) {
        Deliver(aSchedule, aSchedule.mSent[pick % aSchedule.mSent.size()]);
      }
      return;
    case action::EndTask:
      return EndTask(aSchedule, pick);
    case action::AnswerFinish:
      return AnswerFinish(aSchedule, pick);
    case action::AnswerLoadReport:
      world.AnswerLoadReport(std::chrono::milliseconds(pick % 500));
      aSchedule.mLastContact =
        std::max(aSchedule.mLastContact,
                 world.mNow - std::chrono::milliseconds(pick % 500));
      return;
    case action::RegisterTarget:
      return pick % 2 == 0 ? world.RegisterTarget("press-1", 2)
                           : world.RegisterTarget("press-2", 1);
    case action::Wait:
      world.mNow += std::chrono::milliseconds(pick % 400);
      return Tick(world.mControl, world.mNow, world.mOut);
    case action::Pause:
      world.mNow += std::chrono::milliseconds(pick % 6000);
      return;
    case action::Fence:
      return Fence(aSchedule, pick);
    case action::SwitchDomain:
      aSchedule.mDomainIn = !aSchedule.mDomainIn;
      return world.Configure(++aSchedule.mGeneration,
                             aSchedule.mDomainIn ? domain_state::In
                                                 : domain_state::Out);
    case action::OldConfiguration:
      return world.Configure(pick % (aSchedule.mGeneration + 1),
                             domain_state::In);
    case action::TargetLeaves:
      OnTargetLeaving(world.mControl, "press-1", world.mNow, world.mOut);
      return;
    case action::Cancel:
      return OnCancel(world.mControl,
                      { { "e", 1 + pick % 3 }, { "tabcraft/job" } },
                      world.mNow,
                      world.mOut);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_schedules)

BOOST_AUTO_TEST_CASE(invariants_hold_at_each_step)
{
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = kSchedules;
  params.maxSize = kMaxSteps;
  std::size_t runs = 0;
  const auto result = rc::detail::checkTestable(
    [&] {
      const auto steps = *rc::gen::container<std::vector<step>>(AnyStep());
      schedule made;
      for (const auto& next : steps) {
        PerformStep(made, next);
        CheckEffects(made);
      }
      runs += made.mPlacements;
    },
    rc::detail::TestMetadata(),
    params);
  std::ostringstream report;
  rc::detail::printResultMessage(result, report);
  BOOST_TEST(result.is<rc::detail::SuccessResult>(), report.str());
  BOOST_TEST(runs > 10000U); // Guards against empty schedules.
}

BOOST_AUTO_TEST_SUITE_END()
