#include "leased_world.h"
#include "libgooseberry/agent/leased_runs.h"

#include <algorithm>

/** Targets, what agents ask of them, and what they run. */
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
  constexpr double kSlowest = 0.02;
  constexpr double kSteps = 100;
  const double rate = 1 - kSlowest * static_cast<double>(Draw(0, 100)) / kSteps;
  StartLife(mTargets[aIndex], rate, Milliseconds(0, 20), mNow);
  Register(aIndex, mTargets[aIndex].mLife);
}

void
world::Register(std::size_t aIndex, std::uint64_t aLife)
{
  fake_target& target = mTargets[aIndex];
  if (!target.mAlive || target.mLife != aLife) {
    return;
  }
  agent::target_announcement announcement;
  announcement.mName = target.mName;
  announcement.mAddress = "target:" + target.mName;
  announcement.mServices = { "plans" };
  announcement.mSlots = kSlots;
  announcement.mLease = 6s;
  announcement.mCapacity = kCapacity;
  const lease::registration registration{
    target.mName, announcement.mAddress, aLife, ++target.mSequence
  };
  agent_process& agent = mAgents[aIndex];
  // Now and then one is overtaken.
  const duration late = Chance(0.03) ? Milliseconds(0, 4'000) : Latency();
  At(mNow + late, [=, this, &agent, incarnation = agent.mIncarnation] {
    Arrive(agent, incarnation, [=, this, &agent] {
      WithAgent(agent, [&](agent::effects& aEffects) {
        agent::OnLeasedTarget(
          *agent.mControl, announcement, registration, false, mNow, aEffects);
      });
    });
  });
  At(mNow + 1s, [this, aIndex, aLife] { Register(aIndex, aLife); });
}

void
world::CrashTarget(std::size_t aIndex, duration aDownFor)
{
  if (!mTargets[aIndex].mAlive) {
    return;
  }
  NoteFault(mTargets[aIndex].mName + " crashes");
  std::vector<run_change> changes;
  Advance(mTargets[aIndex], mNow, changes);
  Crash(mTargets[aIndex], changes);
  TakeChanges(aIndex, changes);
  At(mNow + aDownFor, [this, aIndex] {
    NoteFault(mTargets[aIndex].mName + " is started again");
    StartTarget(aIndex);
  });
}

void
world::HangTarget(std::size_t aIndex, const target_fault& aFault)
{
  NoteFault(mTargets[aIndex].mName + " leaves calls unanswered");
  mTargetFaults[aIndex] = aFault;
}

void
world::Do(agent_process& aFrom, const agent::call_target& aEffect)
{
  if (std::holds_alternative<lease::renew_call>(aEffect.mCall)) {
    return SendToTarget(aFrom, aEffect.mCall);
  }
  aFrom.mWaitingCalls.push_back(
    [this, &aFrom, call = aEffect.mCall] { SendToTarget(aFrom, call); });
  NextCall(aFrom, aFrom.mIncarnation);
}

void
world::NextCall(agent_process& aAgent, std::uint64_t aIncarnation)
{
  if (aAgent.mIncarnation == aIncarnation && !aAgent.mWaitingCalls.empty() &&
      aAgent.mCallsUnderWay < kCallThreads) {
    ++aAgent.mCallsUnderWay;
    const action next = std::move(aAgent.mWaitingCalls.front());
    aAgent.mWaitingCalls.pop_front();
    next();
  }
}

void
world::SendToTarget(agent_process& aAgent, const lease::call& aCall)
{
  const std::uint64_t sender = aAgent.mIncarnation;
  At(mNow + duration(Draw(20, 300)), [this, &aAgent, aCall, sender] {
    Arrive(aAgent, sender, [this, &aAgent, aCall] {
      std::visit([&](const auto& aWire) { CallTarget(aAgent, aWire); }, aCall);
    });
  });
}

world::settler
world::SettleOnce(agent_process& aAgent, bool aHoldsThread)
{
  auto settled = std::make_shared<bool>(false);
  const std::uint64_t sender = aAgent.mIncarnation;
  return [=, this, &aAgent](const action& aReply) {
    Arrive(aAgent, sender, [=, this, &aAgent] {
      if (std::exchange(*settled, true)) {
        return;
      }
      if (aHoldsThread) {
        --aAgent.mCallsUnderWay;
        NextCall(aAgent, sender);
      }
      aReply();
    });
  };
}

world::fate
world::DrawFate(std::size_t aTarget, std::size_t aKind)
{
  const target_fault& fault = mTargetFaults[aTarget];
  const bool hangs = fault.mUntil > mNow &&
                     fault.mOnly.value_or(aKind) == aKind &&
                     Chance(fault.mUnanswered);
  if (!hangs) {
    return { mNow + Latency(), true };
  }
  switch (fault.mIsDropped ? 2 : Draw(0, 2)) {
    case 0:
      return { mNow + Latency(), false };
    case 1:
      return { mNow + Milliseconds(2'000, 12'000), false };
    default:
      return { std::nullopt, false };
  }
}

template<typename Wire>
void
world::CallTarget(agent_process& aAgent, const Wire& aCall)
{
  const std::size_t index = aAgent.mIndex;
  const instant askedAt = mNow;
  const settler settle =
    SettleOnce(aAgent, !std::is_same_v<Wire, lease::renew_call>);
  const auto fail = [=, this, &aAgent](bool aDelivered) {
    settle([=, this, &aAgent] { Fail(aAgent, aCall, aDelivered, askedAt); });
  };
  if (!mTargets[index].mAlive) {
    At(mNow + Latency(), [fail] { fail(false); });
    return;
  }
  At(mNow + aCall.mHeader.mDeadline, [fail] { fail(true); });
  const fate drawn = DrawFate(index, lease::call(aCall).index());
  if (!drawn.mArrivesAt) {
    return;
  }
  const auto reply = [this, settle, drawn](const action& aReply) {
    if (drawn.mIsAnswered) {
      At(mNow + Latency(), [=] { settle(aReply); });
    }
  };
  const served call{ index, askedAt, mTargets[index].mLife, reply };
  At(*drawn.mArrivesAt, [this, call, aCall] {
    if (IsThere(call)) {
      Serve(call, aCall);
      WatchTarget(call.mTarget);
    }
  });
}

bool
world::IsThere(const served& aCall) const
{
  const fake_target& target = mTargets[aCall.mTarget];
  return target.mAlive && target.mLife == aCall.mLife;
}

void
world::Serve(const served& aServed, const lease::start_call& aCall)
{
  fake_target& target = mTargets[aServed.mTarget];
  std::vector<run_change> changes;
  const auto runTime =
    mJobs.at(aCall.mTask.mJob).mRunTimes.at(aCall.mTask.mIndex);
  const auto answer = TakeStart(target, aCall, runTime, mNow, changes);
  TakeChanges(aServed.mTarget, changes);
  agent_process& agent = mAgents[aServed.mTarget];
  aServed.mReply([=, this, &agent, clock = ClockOf(target, mNow)] {
    WithAgent(agent, [&](agent::effects& aEffects) {
      agent::OnStartAnswered(
        *agent.mControl, aCall, answer, clock, mNow, aEffects);
    });
  });
}

void
world::Serve(const served& aServed, const lease::stop_call& aCall)
{
  fake_target& target = mTargets[aServed.mTarget];
  std::vector<run_change> changes;
  const bool isDone =
    TakeStop(target, aCall, Milliseconds(0, 50), mNow, changes);
  TakeChanges(aServed.mTarget, changes);
  agent_process& agent = mAgents[aServed.mTarget];
  aServed.mReply([=, this, &agent] {
    if (isDone) {
      WithAgent(agent, [&](agent::effects& aEffects) {
        agent::OnStopAnswered(*agent.mControl, aCall, mNow, aEffects);
      });
    }
  });
}

void
world::Serve(const served& aServed, const lease::renew_call& aCall)
{
  fake_target& target = mTargets[aServed.mTarget];
  std::vector<run_change> changes;
  const bool isDone = TakeRenewal(target, aCall, mNow, changes);
  TakeChanges(aServed.mTarget, changes);
  if (isDone) {
    return AnswerRenewal(aServed, aCall, mNow + aCall.mWait);
  }
  agent_process& agent = mAgents[aServed.mTarget];
  aServed.mReply([=, this, &agent, clock = ClockOf(target, mNow)] {
    WithAgent(agent, [&](agent::effects& aEffects) {
      agent::OnRenewalFailed(*agent.mControl,
                             aCall.mHeader.mTarget,
                             lease::renewal_failure::Fenced,
                             clock,
                             aServed.mAskedAt,
                             mNow,
                             aEffects);
    });
  });
}

void
world::AnswerRenewal(const served& aServed,
                     const lease::renew_call& aCall,
                     instant aUntil)
{
  constexpr duration kLook = 2ms;
  const fake_target& target = mTargets[aServed.mTarget];
  if (!IsThere(aServed)) {
    return;
  }
  if (mNow < aUntil && !HasNewEnd(target, aCall)) {
    At(std::min(mNow + kLook, aUntil),
       [=, this] { AnswerRenewal(aServed, aCall, aUntil); });
    return;
  }
  agent_process& agent = mAgents[aServed.mTarget];
  aServed.mReply([=, this, &agent, report = MakeReport(target, mNow)] {
    WithAgent(agent, [&](agent::effects& aEffects) {
      agent::OnTargetReport(*agent.mControl,
                            aCall.mHeader.mTarget,
                            report,
                            aServed.mAskedAt,
                            mNow,
                            aEffects);
    });
  });
}

void
world::Fail(agent_process& aAgent,
            const lease::start_call& aCall,
            bool aDelivered,
            instant)
{
  const auto answer =
    aDelivered ? lease::start_answer::NoAnswer : lease::start_answer::NotSent;
  WithAgent(aAgent, [&](agent::effects& aEffects) {
    agent::OnStartAnswered(
      *aAgent.mControl, aCall, answer, std::nullopt, mNow, aEffects);
  });
}

void
world::Fail(agent_process& aAgent,
            const lease::renew_call& aCall,
            bool aDelivered,
            instant aAskedAt)
{
  const auto failure = aDelivered ? lease::renewal_failure::NoAnswer
                                  : lease::renewal_failure::Refused;
  WithAgent(aAgent, [&](agent::effects& aEffects) {
    agent::OnRenewalFailed(*aAgent.mControl,
                           aCall.mHeader.mTarget,
                           failure,
                           std::nullopt,
                           aAskedAt,
                           mNow,
                           aEffects);
  });
}

void
world::WatchTarget(std::size_t aIndex)
{
  const auto next = NextChange(mTargets[aIndex]);
  instant& watched = mWatchedAt[aIndex];
  if (!next || (watched > mNow && watched <= *next)) {
    return;
  }
  watched = std::max(*next, mNow + 1us);
  At(watched, [this, aIndex, at = watched] {
    if (mWatchedAt[aIndex] != at) {
      return; // Something earlier was due meanwhile.
    }
    std::vector<run_change> changes;
    Advance(mTargets[aIndex], mNow, changes);
    TakeChanges(aIndex, changes);
    WatchTarget(aIndex);
  });
}

} // namespace gooseberry::leased_world
