#include "simulation.h"

#include <algorithm>
#include <utility>

/** Virtual time, delivery to processes, and their ticks. */
namespace gooseberry::simulation {

environment::environment(std::uint64_t aSeed,
                         std::size_t aEntries,
                         std::size_t aAgents)
  : mRandom(aSeed)
  , mEntries(aEntries)
  , mAgents(aAgents)
{
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    mEntries[i].mIndex = i;
  }
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    mAgents[i].mIndex = i;
  }
}

void
environment::At(instant aWhen, action aAction)
{
  mEvents.push(
    { aWhen, mOrder++, std::make_shared<action>(std::move(aAction)) });
}

void
environment::RunFor(duration aTime)
{
  const instant end = mNow + aTime;
  while (!HasEnded() && !mEvents.empty() && mEvents.top().mDueAt <= end) {
    const scheduled_action next = mEvents.top();
    mEvents.pop();
    mNow = std::max(mNow, next.mDueAt);
    (*next.mAction)();
  }
  mNow = HasEnded() ? mNow : end;
}

instant
environment::DrawWakeTime(const process& aFrozen)
{
  return aFrozen.mFrozenUntil;
}

void
environment::Activate(process& aProcess)
{
  aProcess.mAlive = true;
  aProcess.mIncarnation = mRandom() >> 1U;
  aProcess.mStartedAt = mNow;
  aProcess.mFrozenUntil = {};
}

void
environment::Deliver(process& aTo,
                     std::uint64_t aIncarnation,
                     const action& aAction)
{
  if (!aTo.mAlive || aTo.mIncarnation != aIncarnation) {
    return;
  }
  if (aTo.mFrozenUntil <= mNow) {
    return aAction();
  }
  At(DrawWakeTime(aTo), [this, &aTo, aIncarnation, aAction] {
    Deliver(aTo, aIncarnation, aAction);
  });
}

void
environment::Arrive(process& aTo,
                    std::uint64_t aIncarnation,
                    const action& aAction)
{
  Deliver(aTo, aIncarnation, aAction);
}

void
environment::TickEntry(entry_process& aEntry,
                       std::uint64_t aIncarnation,
                       duration aPeriod)
{
  At(mNow + aPeriod, [this, &aEntry, aIncarnation, aPeriod] {
    Deliver(aEntry, aIncarnation, [this, &aEntry, aIncarnation, aPeriod] {
      WithEntry(aEntry, [&](entry::effects& aEffects) {
        entry::Tick(*aEntry.mControl, mNow, aEffects);
      });
      TickEntry(aEntry, aIncarnation, aPeriod);
    });
  });
}

void
environment::TickAgent(agent_process& aAgent,
                       std::uint64_t aIncarnation,
                       duration aPeriod)
{
  At(mNow + aPeriod, [this, &aAgent, aIncarnation, aPeriod] {
    Deliver(aAgent, aIncarnation, [this, &aAgent, aIncarnation, aPeriod] {
      WithAgent(aAgent, [&](agent::effects& aEffects) {
        agent::Tick(*aAgent.mControl, mNow, aEffects);
      });
      TickAgent(aAgent, aIncarnation, aPeriod);
    });
  });
}

entry_process*
environment::EntryAt(const std::string& aAddress)
{
  const auto found = std::find_if(
    mEntries.begin(), mEntries.end(), [&](const entry_process& aEntry) {
      return aAddress == "entry:" + aEntry.mName;
    });
  return found == mEntries.end() ? nullptr : &*found;
}

agent_process*
environment::AgentAt(const std::string& aAddress)
{
  const auto found = std::find_if(
    mAgents.begin(), mAgents.end(), [&](const agent_process& aAgent) {
      return aAddress == "agent:" + aAgent.mName;
    });
  return found == mAgents.end() ? nullptr : &*found;
}

} // namespace gooseberry::simulation
