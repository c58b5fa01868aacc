#include "leased_world.h"
#include "libgooseberry/agent/leased_runs.h"

#include <algorithm>

/** Targets, the order of the calls to them, and their runs. */
namespace gooseberry::leased_world {

using namespace std::chrono_literals;

namespace {

constexpr core::resources kCapacity{ 4'000, 4'096, 0 };
constexpr std::uint32_t kSlots = 4;
/** Threads of an agent for starts and stops. */
constexpr std::size_t kCallThreads = 4;

} // namespace

void
world::StartTarget(std::size_t aIndex)
{
  constexpr double kMaxSlowdown = 0.02;
  constexpr double kSteps = 100;
  const double rate =
    1 - kMaxSlowdown * static_cast<double>(Draw(0, 100)) / kSteps;
  constexpr std::uint64_t kMaxFirstClock = 900'000; // Milliseconds.
  const lease::target_time firstClock(Draw(0, kMaxFirstClock));
  StartProcess(mTargets[aIndex], firstClock, rate, Milliseconds(0, 20), mNow);
  Register(aIndex, mTargets[aIndex].mIncarnation);
}

void
world::Register(std::size_t aIndex, std::uint64_t aTargetIncarnation)
{
  fake_target& target = mTargets[aIndex];
  if (!target.mAlive || target.mIncarnation != aTargetIncarnation) {
    return;
  }
  agent::target_registration targetRegistration;
  targetRegistration.mName = target.mName;
  targetRegistration.mAddress = "target:" + target.mName;
  targetRegistration.mServices = { "plans" };
  targetRegistration.mSlots = kSlots;
  targetRegistration.mLease = 6s;
  targetRegistration.mCapacity = kCapacity;
  const lease::registration registration{ target.mName,
                                          targetRegistration.mAddress,
                                          aTargetIncarnation,
                                          ++target.mSequence };
  agent_process& agent = mAgents[aIndex];
  // A few registrations arrive after later ones.
  const duration late = Chance(0.03) ? Milliseconds(0, 4'000) : Latency();
  const instant sentAt = IsCutOff(aIndex) ? mTargetCuts[aIndex].mUntil : mNow;
  At(sentAt + late, [=, this, &agent, incarnation = agent.mIncarnation] {
    Arrive(agent, incarnation, [=, this, &agent] {
      WithAgent(agent, [&](agent::effects& aEffects) {
        agent::OnLeasedTargetRegistered(*agent.mControl,
                                        targetRegistration,
                                        registration,
                                        false,
                                        mNow,
                                        aEffects);
      });
    });
  });
  At(mNow + 1s, [this, aIndex, aTargetIncarnation] {
    Register(aIndex, aTargetIncarnation);
  });
}

void
world::CrashTarget(std::size_t aIndex, duration aDownFor)
{
  if (!mTargets[aIndex].mAlive) {
    return;
  }
  RecordFault(mTargets[aIndex].mName + " crashes");
  std::vector<run_change> changes;
  Advance(mTargets[aIndex], mNow, changes);
  Crash(mTargets[aIndex], changes);
  RecordChanges(aIndex, changes);
  At(mNow + aDownFor, [this, aIndex] {
    RecordFault(mTargets[aIndex].mName + " is started again");
    StartTarget(aIndex);
  });
}

void
world::HangTarget(std::size_t aIndex, const target_fault& aFault)
{
  RecordFault(mTargets[aIndex].mName + " leaves calls unanswered");
  mTargetFaults[aIndex] = aFault;
}

void
world::CutTarget(std::size_t aIndex, duration aTime, bool aRefuses)
{
  RecordFault(mTargets[aIndex].mName + " is cut off" +
              (aRefuses ? ", connections are refused" : ""));
  mTargetCuts[aIndex] = { mNow + aTime, aRefuses };
}

void
world::RestartAndCutTarget(std::size_t aIndex, bool aRefuses)
{
  const duration down = Milliseconds(300, 1'800);
  const duration up = Milliseconds(200, 2'200);
  CutTarget(aIndex, down, false);
  CrashTarget(aIndex, down);
  At(mNow + down + up, [this, aIndex, aRefuses] {
    CutTarget(aIndex, Milliseconds(2'000, 4'000), aRefuses);
  });
}

void
world::Do(agent_process& aFrom, const agent::call_target& aEffect)
{
  if (std::holds_alternative<lease::renew_call>(aEffect.mCall)) {
    return SendToTarget(aFrom, aEffect.mCall);
  }
  if (const auto* call = std::get_if<lease::withdraw_call>(&aEffect.mCall)) {
    return Withdraw(aFrom, *call);
  }
  if (const auto* call = std::get_if<lease::start_call>(&aEffect.mCall)) {
    mCalls[aFrom.mIndex].mOpenStarts.emplace(call->mId, open_start{ *call });
  }
  mCalls[aFrom.mIndex].mQueuedCalls.push_back(
    [this, &aFrom, call = aEffect.mCall] { SendToTarget(aFrom, call); });
  StartNextCall(aFrom, aFrom.mIncarnation);
}

void
world::StartNextCall(agent_process& aAgent, std::uint64_t aIncarnation)
{
  target_calls& calls = mCalls[aAgent.mIndex];
  if (aAgent.mIncarnation == aIncarnation && !calls.mQueuedCalls.empty() &&
      calls.mRunningCalls < kCallThreads) {
    ++calls.mRunningCalls;
    const action next = std::move(calls.mQueuedCalls.front());
    calls.mQueuedCalls.pop_front();
    next();
  }
}

void
world::Withdraw(agent_process& aAgent, const lease::withdraw_call& aCall)
{
  auto& starts = mCalls[aAgent.mIndex].mOpenStarts;
  const auto found = starts.find(aCall.mStartId);
  if (found == starts.end()) {
    return;
  }
  const open_start start = found->second;
  if (!start.mIsSent) {
    starts.erase(found);
  }
  const std::uint64_t sender = aAgent.mIncarnation;
  Arrive(aAgent, sender, [this, &aAgent, aCall, start] {
    WithAgent(aAgent, [&](agent::effects& aEffects) {
      if (start.mIsSent) {
        agent::OnStartSent(
          *aAgent.mControl, aCall.mTarget, aCall.mStartId, mNow);
        return;
      }
      agent::OnStartAnswered(*aAgent.mControl,
                             start.mCall,
                             lease::start_answer::Withdrawn,
                             std::nullopt,
                             mNow,
                             aEffects);
    });
  });
}

void
world::ScheduleChange(std::size_t aIndex)
{
  const auto next = NextChange(mTargets[aIndex]);
  instant& scheduled = mScheduledChange[aIndex];
  if (!next || (scheduled > mNow && scheduled <= *next)) {
    return;
  }
  scheduled = std::max(*next, mNow + 1us);
  At(scheduled, [this, aIndex, at = scheduled] {
    if (mScheduledChange[aIndex] != at) {
      return; // An earlier change was scheduled meanwhile.
    }
    std::vector<run_change> changes;
    Advance(mTargets[aIndex], mNow, changes);
    RecordChanges(aIndex, changes);
    ScheduleChange(aIndex);
  });
}

} // namespace gooseberry::leased_world
