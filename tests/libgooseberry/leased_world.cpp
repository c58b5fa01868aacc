#include "leased_world.h"

#include <algorithm>

/** Random draws, and the start and end of processes. */
namespace gooseberry::leased_world {

using namespace std::chrono_literals;

namespace {

constexpr duration kTick = 10ms;
constexpr std::uint64_t kMillisecond = 1'000;
constexpr const char* kConfiguration =
  "[state]\nformat = 1\nname = x\n[failure_domain d]\nregion = r\n"
  "state = in\n[service plans]\ntargets = *\n";

entry::entry_options
EntryOptions(const std::string& aName)
{
  entry::entry_options options;
  options.mName = aName;
  options.mAddress = "entry:" + aName;
  options.mFailureDomain = "d";
  options.mWindow = 5s;
  options.mFreshnessBound = 1s;
  options.mAgentLost = 1300ms;
  options.mMembersPeriod = 2s;
  options.mLeasedRuns = true;
  options.mOrder.mPolicy = job::order_policy::Objective;
  options.mPlacement.mPrefetch = 0;
  options.mPlacement.mAffinitySeed = std::hash<std::string>{}(aName);
  return options;
}

agent::control_settings
AgentSettings(const std::string& aName, std::uint64_t aIncarnation)
{
  agent::control_settings settings;
  settings.mAgent = { aName, aIncarnation };
  settings.mAddress = "agent:" + aName;
  settings.mFailureDomain = "d";
  settings.mFreshnessBound = 700ms;
  settings.mDeduplicationWindow = 5s;
  settings.mQueuePerTarget = 0;
  settings.mLoadReportInterval = 300ms;
  settings.mLeasedRuns = true;
  settings.mEntryContactTimeout = 910ms;
  settings.mLease.mLease = 1s;
  settings.mLease.mRunHold = 1196ms;
  return settings;
}

} // namespace

world::world(const options& aOptions)
  : environment(aOptions.mSeed, aOptions.mEntries, aOptions.mAgents)
  , mOptions(aOptions)
  , mCalls(aOptions.mAgents)
  , mTargets(aOptions.mAgents)
  , mTargetFaults(aOptions.mAgents)
  , mTargetCuts(aOptions.mAgents)
  , mScheduledChange(aOptions.mAgents)
{
  mStored = { { 1, kConfiguration }, "", "", 1 };
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    mEntries[i].mName = "e" + std::to_string(i);
    StartEntry(i);
  }
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    mAgents[i].mName = "a" + std::to_string(i);
    mTargets[i].mName = "t" + std::to_string(i);
    StartAgent(i);
    StartTarget(i);
  }
  RunFor(3s);
}

std::uint64_t
world::Draw(std::uint64_t aFirst, std::uint64_t aLast)
{
  // Distributions of the standard library differ between platforms.
  return aFirst + mRandom() % (aLast - aFirst + 1);
}

duration
world::Milliseconds(std::uint64_t aFirst, std::uint64_t aLast)
{
  return duration(Draw(aFirst * kMillisecond, aLast * kMillisecond));
}

bool
world::Chance(double aProbability)
{
  constexpr std::uint64_t kParts = 1'000'000;
  return static_cast<double>(Draw(0, kParts - 1)) <
         aProbability * static_cast<double>(kParts);
}

void
world::Arrive(process& aTo, std::uint64_t aIncarnation, const action& aAction)
{
  if (aTo.mSlowUntil <= mNow) {
    return Deliver(aTo, aIncarnation, aAction);
  }
  const duration delay(
    Draw(0, static_cast<std::uint64_t>(aTo.mMaxInputDelay.count())));
  At(mNow + delay, [this, &aTo, aIncarnation, aAction] {
    Deliver(aTo, aIncarnation, aAction);
  });
}

instant
world::DrawWakeTime(const process& aFrozen)
{
  // Several threads read the waiting messages, so in any order.
  return aFrozen.mFrozenUntil + duration(Draw(0, 3 * kMillisecond));
}

void
world::WithEntry(entry_process& aEntry, const entry_step& aStep)
{
  entry::effects effects;
  aStep(effects);
  for (const entry::effect& effect : effects) {
    std::visit([&](const auto& aEffect) { Do(aEntry, aEffect); }, effect);
  }
}

void
world::WithAgent(agent_process& aAgent, const agent_step& aStep)
{
  agent::effects effects;
  aStep(effects);
  for (const agent::effect& effect : effects) {
    std::visit([&](const auto& aEffect) { Do(aAgent, aEffect); }, effect);
  }
}

void
world::StartEntry(std::size_t aIndex)
{
  entry_process& started = mEntries[aIndex];
  Activate(started);
  WithEntry(started, [&](entry::effects& aEffects) {
    started.mControl = std::make_unique<entry::entry_control>(
      entry::MakeEntry(EntryOptions(started.mName),
                       started.mIncarnation,
                       mRandom(),
                       mNow,
                       aEffects));
  });
  TickEntry(started, started.mIncarnation, kTick);
}

void
world::StartAgent(std::size_t aIndex)
{
  agent_process& started = mAgents[aIndex];
  Activate(started);
  mCalls[aIndex] = {};
  started.mControl = std::make_unique<agent::agent_control>(
    agent::MakeControl(AgentSettings(started.mName, started.mIncarnation)));
  TickAgent(started, started.mIncarnation, kTick);
}

void
world::Freeze(process& aProcess, duration aTime)
{
  RecordFault(aProcess.mName + " is frozen for " +
              std::to_string(aTime.count() / kMillisecond) + " ms");
  aProcess.mFrozenUntil = std::max(aProcess.mFrozenUntil, mNow + aTime);
}

void
world::Slow(process& aProcess, duration aBy, duration aTime)
{
  RecordFault(aProcess.mName + " is slow by " +
              std::to_string(aBy.count() / kMillisecond) + " ms for " +
              std::to_string(aTime.count() / kMillisecond) + " ms");
  aProcess.mMaxInputDelay = aBy;
  aProcess.mSlowUntil = mNow + aTime;
}

void
world::KillEntry(std::size_t aIndex, duration aDownFor)
{
  if (!std::exchange(mEntries[aIndex].mAlive, false)) {
    return;
  }
  RecordFault(mEntries[aIndex].mName + " is killed");
  BreakConnections(aIndex);
  At(mNow + aDownFor, [this, aIndex] {
    RecordFault(mEntries[aIndex].mName + " is started again");
    StartEntry(aIndex);
  });
}

void
world::KillAgent(std::size_t aIndex, duration aDownFor)
{
  if (!std::exchange(mAgents[aIndex].mAlive, false)) {
    return;
  }
  RecordFault(mAgents[aIndex].mName + " is killed");
  At(mNow + aDownFor, [this, aIndex] {
    RecordFault(mAgents[aIndex].mName + " is started again");
    StartAgent(aIndex);
  });
}

} // namespace gooseberry::leased_world
