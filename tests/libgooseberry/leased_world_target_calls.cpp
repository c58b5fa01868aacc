#include "leased_world.h"
#include "libgooseberry/agent/leased_runs.h"

#include <type_traits>
#include <utility>

/** Calls of agents to their targets, and the answers. */
namespace gooseberry::leased_world {

using namespace std::chrono_literals;

bool
world::BeginSending(const agent_process& aAgent, const lease::call& aCall)
{
  const auto* call = std::get_if<lease::start_call>(&aCall);
  if (call == nullptr) {
    return true;
  }
  auto& starts = mCalls[aAgent.mIndex].mOpenStarts;
  const auto found = starts.find(call->mId);
  if (found == starts.end()) {
    return false;
  }
  found->second.mIsSent = true;
  return true;
}

void
world::SendToTarget(agent_process& aAgent, const lease::call& aCall)
{
  const std::uint64_t sender = aAgent.mIncarnation;
  At(mNow + duration(Draw(20, 300)), [this, &aAgent, aCall, sender] {
    Arrive(aAgent, sender, [this, &aAgent, aCall] {
      std::visit(
        [&](const auto& aWire) {
          using wire = std::decay_t<decltype(aWire)>;
          if constexpr (!std::is_same_v<wire, lease::withdraw_call>) {
            CallTarget(aAgent, aWire);
          }
        },
        aCall);
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
        --mCalls[aAgent.mIndex].mRunningCalls;
        StartNextCall(aAgent, sender);
      }
      aReply();
    });
  };
}

bool
world::IsCutOff(std::size_t aTarget) const
{
  return mTargetCuts[aTarget].mUntil > mNow;
}

bool
world::IsRefused(std::size_t aTarget) const
{
  return IsCutOff(aTarget) ? mTargetCuts[aTarget].mRefuses
                           : !mTargets[aTarget].mAlive;
}

world::call_outcome
world::DrawCallOutcome(std::size_t aTarget, std::size_t aKind)
{
  if (IsCutOff(aTarget)) {
    return { mTargetCuts[aTarget].mUntil + Latency(), false };
  }
  const target_fault& fault = mTargetFaults[aTarget];
  const bool hangs = fault.mUntil > mNow &&
                     fault.mOnlyKind.value_or(aKind) == aKind &&
                     Chance(fault.mUnansweredShare);
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
world::CarryOut(const received_call& aCall, const Wire& aWire, bool aIsAnswered)
{
  if (!aIsAnswered && !mTargets[aCall.mTarget].mAlive) {
    // A call that waits unanswered is carried out by the next process,
    // before an agent has called that one.
    At(mNow + 500us, [=, this] { CarryOut(aCall, aWire, aIsAnswered); });
    return;
  }
  if (!aIsAnswered || IsSameProcess(aCall)) {
    Serve(aCall, aWire);
    ScheduleChange(aCall.mTarget);
  }
}

template<typename Wire>
void
world::CallTarget(agent_process& aAgent, const Wire& aCall)
{
  const std::size_t index = aAgent.mIndex;
  const instant sentAt = mNow;
  const settler settle =
    SettleOnce(aAgent, !std::is_same_v<Wire, lease::renew_call>);
  if (IsTooLateToSend(lease::call(aCall))) {
    return settle([=, this, &aAgent] { Expire(aAgent, lease::call(aCall)); });
  }
  if (!BeginSending(aAgent, lease::call(aCall))) {
    return settle([] {});
  }
  const auto fail = [=, this, &aAgent](bool aDelivered) {
    settle([=, this, &aAgent] { Fail(aAgent, aCall, aDelivered, sentAt); });
  };
  if (IsRefused(index)) {
    At(mNow + Latency(), [fail] { fail(false); });
    return;
  }
  At(mNow + aCall.mHeader.mDeadline, [fail] { fail(true); });
  const call_outcome outcome =
    DrawCallOutcome(index, lease::call(aCall).index());
  if (!outcome.mArrivesAt) {
    return;
  }
  const auto reply = [this, settle, outcome, index](const action& aReply) {
    if (outcome.mIsAnswered && !IsCutOff(index)) {
      At(mNow + Latency(), [=] { settle(aReply); });
    }
  };
  const received_call call{
    index, sentAt, mTargets[index].mIncarnation, reply
  };
  At(*outcome.mArrivesAt,
     [=, this] { CarryOut(call, aCall, outcome.mIsAnswered); });
}

bool
world::IsSameProcess(const received_call& aCall) const
{
  const fake_target& target = mTargets[aCall.mTarget];
  return target.mAlive && target.mIncarnation == aCall.mTargetIncarnation;
}

void
world::Serve(const received_call& aReceived, const lease::start_call& aCall)
{
  fake_target& target = mTargets[aReceived.mTarget];
  std::vector<run_change> changes;
  const auto runTime =
    mJobs.at(aCall.mTask.mJob).mRunTimes.at(aCall.mTask.mIndex);
  const auto answer = HandleStart(target, aCall, runTime, mNow, changes);
  RecordChanges(aReceived.mTarget, changes);
  agent_process& agent = mAgents[aReceived.mTarget];
  aReceived.mReply([=, this, &agent, clock = ClockOf(target, mNow)] {
    mCalls[agent.mIndex].mOpenStarts.erase(aCall.mId);
    WithAgent(agent, [&](agent::effects& aEffects) {
      agent::OnStartAnswered(
        *agent.mControl, aCall, answer, clock, mNow, aEffects);
    });
  });
}

void
world::Serve(const received_call& aReceived, const lease::stop_call& aCall)
{
  fake_target& target = mTargets[aReceived.mTarget];
  std::vector<run_change> changes;
  const bool isDone =
    HandleStop(target, aCall, Milliseconds(0, 50), mNow, changes);
  RecordChanges(aReceived.mTarget, changes);
  agent_process& agent = mAgents[aReceived.mTarget];
  aReceived.mReply([=, this, &agent] {
    if (isDone) {
      WithAgent(agent, [&](agent::effects& aEffects) {
        agent::OnStopAnswered(*agent.mControl, aCall, mNow, aEffects);
      });
    }
  });
}

void
world::Serve(const received_call& aReceived, const lease::renew_call& aCall)
{
  fake_target& target = mTargets[aReceived.mTarget];
  std::vector<run_change> changes;
  const bool isDone = HandleRenewal(target, aCall, mNow, changes);
  RecordChanges(aReceived.mTarget, changes);
  if (isDone) {
    return AnswerRenewal(aReceived, aCall, mNow + aCall.mWait);
  }
  agent_process& agent = mAgents[aReceived.mTarget];
  aReceived.mReply([=, this, &agent, clock = ClockOf(target, mNow)] {
    WithAgent(agent, [&](agent::effects& aEffects) {
      agent::OnRenewalFailed(*agent.mControl,
                             aCall.mHeader.mTarget,
                             lease::renewal_failure::Fenced,
                             clock,
                             aReceived.mSentAt,
                             mNow,
                             aEffects);
    });
  });
}

void
world::AnswerRenewal(const received_call& aReceived,
                     const lease::renew_call& aCall,
                     instant aUntil)
{
  constexpr duration kPollInterval = 2ms;
  const fake_target& target = mTargets[aReceived.mTarget];
  if (!IsSameProcess(aReceived)) {
    return;
  }
  if (mNow < aUntil && !HasNewEnd(target, aCall)) {
    At(std::min(mNow + kPollInterval, aUntil),
       [=, this] { AnswerRenewal(aReceived, aCall, aUntil); });
    return;
  }
  agent_process& agent = mAgents[aReceived.mTarget];
  aReceived.mReply([=, this, &agent, report = MakeReport(target, mNow)] {
    WithAgent(agent, [&](agent::effects& aEffects) {
      agent::OnTargetReport(*agent.mControl,
                            aCall.mHeader.mTarget,
                            report,
                            aReceived.mSentAt,
                            mNow,
                            aEffects);
    });
  });
}

void
world::AnswerStart(agent_process& aAgent,
                   const lease::start_call& aCall,
                   lease::start_answer aAnswer)
{
  mCalls[aAgent.mIndex].mOpenStarts.erase(aCall.mId);
  WithAgent(aAgent, [&](agent::effects& aEffects) {
    agent::OnStartAnswered(
      *aAgent.mControl, aCall, aAnswer, std::nullopt, mNow, aEffects);
  });
}

void
world::Fail(agent_process& aAgent,
            const lease::start_call& aCall,
            bool aDelivered,
            instant)
{
  AnswerStart(aAgent,
              aCall,
              aDelivered ? lease::start_answer::NoAnswer
                         : lease::start_answer::NotSent);
}

bool
world::IsTooLateToSend(const lease::call& aCall) const
{
  const auto* const start = std::get_if<lease::start_call>(&aCall);
  return start != nullptr && mNow >= start->mSendBefore;
}

void
world::Expire(agent_process& aAgent, const lease::call& aCall)
{
  AnswerStart(
    aAgent, std::get<lease::start_call>(aCall), lease::start_answer::Withdrawn);
}

void
world::Fail(agent_process& aAgent,
            const lease::renew_call& aCall,
            bool aDelivered,
            instant aSentAt)
{
  const auto failure = aDelivered ? lease::renewal_failure::NoAnswer
                                  : lease::renewal_failure::Refused;
  WithAgent(aAgent, [&](agent::effects& aEffects) {
    agent::OnRenewalFailed(*aAgent.mControl,
                           aCall.mHeader.mTarget,
                           failure,
                           std::nullopt,
                           aSentAt,
                           mNow,
                           aEffects);
  });
}

} // namespace gooseberry::leased_world
