#include "world.h"

#include <algorithm>
#include <utility>

namespace gooseberry::world {

namespace {

using namespace std::chrono_literals;

constexpr duration kTick = 5ms;
constexpr duration kCallDeadline = 300ms;
constexpr duration kLease = 3s;

std::string
ResultOf(const core::task_ref& aTask)
{
  return "result of " + ToString(aTask);
}

} // namespace

std::string
DomainOf(const process& aProcess)
{
  return kDomains[aProcess.mIndex % std::size(kDomains)];
}

cluster::cluster(const options& aOptions)
  : environment(aOptions.mSeed, aOptions.mEntries, aOptions.mAgents)
  , mOptions(aOptions)
{
  mStored = { { 1, ConfigurationText({}) }, "first", "nobody", 1 };
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    mEntries[i].mName = "entry-" + std::to_string(i);
    StartEntry(i);
  }
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    mAgents[i].mName = "agent-" + std::to_string(i);
    StartAgent(i);
  }
}

bool
cluster::Chance(double aProbability)
{
  return std::uniform_real_distribution<>(0, 1)(mRandom) < aProbability;
}

duration
cluster::Latency()
{
  constexpr int kMinMicroseconds = 200;
  constexpr int kMaxMicroseconds = 2000;
  duration delay(std::uniform_int_distribution<>(kMinMicroseconds,
                                                 kMaxMicroseconds)(mRandom));
  if (Chance(mOptions.mFaults.mDelayRate)) {
    delay += duration(std::uniform_int_distribution<std::int64_t>(
      0, mOptions.mFaults.mMaxDelay.count())(mRandom));
  }
  return delay;
}

bool
cluster::IsCut(const process& aLeft, const process& aRight) const
{
  const auto names = std::minmax(aLeft.mName, aRight.mName);
  return mCuts.contains(names.first + '|' + names.second);
}

void
cluster::Call(outgoing_call aCall)
{
  process& from = *aCall.mFrom;
  process* const to = aCall.mTo;
  const open_call_ptr call = Open(std::move(aCall));
  if (to == nullptr || !to->mAlive) {
    return FailAfter(Latency(), call, false); // The connection is refused.
  }
  FailAfter(kCallDeadline, call, true);
  if (IsCut(from, *to) || Chance(mOptions.mFaults.mLossRate)) {
    return;
  }
  const std::uint64_t receiver = to->mIncarnation;
  const int copies = Chance(mOptions.mFaults.mDuplicationRate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    At(mNow + Latency(), [=, this, &from] {
      Deliver(*to, receiver, [=, this, &from] {
        const action reply = call->mCall.mServe();
        if (!Chance(mOptions.mFaults.mLossRate) && !IsCut(from, *to)) {
          ReplyAt(mNow + Latency(), call, reply);
        }
      });
    });
  }
}

bool
cluster::ReachesStore(const process& aFrom) const
{
  return mStoreUp && !mCuts.contains("store|" + aFrom.mName);
}

void
cluster::KillEntry(std::size_t aIndex)
{
  mEntries[aIndex].mAlive = false;
}

void
cluster::StartEntry(std::size_t aIndex)
{
  entry_process& entry = mEntries[aIndex];
  Activate(entry);
  mGenerationsSeen[entry.mName] = 0;
  entry::entry_options options;
  options.mName = entry.mName;
  options.mAddress = "entry:" + entry.mName;
  options.mFailureDomain = DomainOf(entry);
  options.mTrustFirstAttempt = mOptions.mTrustFirstAttempt;
  options.mPlacement.mAffinitySeed = aIndex;
  entry::effects effects;
  entry.mControl = std::make_unique<entry::entry_control>(
    entry::MakeEntry(options, entry.mIncarnation, mRandom(), mNow, effects));
  Run(entry, effects);
  TickEntry(entry, entry.mIncarnation, kTick);
}

void
cluster::KillAgent(std::size_t aIndex)
{
  mAgents[aIndex].mAlive = false;
}

void
cluster::StartAgent(std::size_t aIndex)
{
  agent_process& agent = mAgents[aIndex];
  Activate(agent);
  mGenerationsSeen[agent.mName] = 0;
  agent::control_settings settings;
  settings.mAgent = { agent.mName, agent.mIncarnation };
  settings.mAddress = "agent:" + agent.mName;
  settings.mFailureDomain = DomainOf(agent);
  agent.mControl =
    std::make_unique<agent::agent_control>(agent::MakeControl(settings));
  TickAgent(agent, agent.mIncarnation, kTick);
  RegisterTarget(aIndex, agent.mIncarnation);
}

void
cluster::PauseEntry(std::size_t aIndex, duration aTime)
{
  mEntries[aIndex].mFrozenUntil = mNow + aTime;
}

void
cluster::PauseAgent(std::size_t aIndex, duration aTime)
{
  mAgents[aIndex].mFrozenUntil = mNow + aTime;
}

void
cluster::CutEntries(std::size_t aLeft, std::size_t aRight, bool aCut)
{
  const auto names = std::minmax(mEntries[aLeft].mName, mEntries[aRight].mName);
  const std::string key = names.first + '|' + names.second;
  if (aCut) {
    mCuts.insert(key);
  } else {
    mCuts.erase(key);
  }
}

void
cluster::CutFromStore(std::size_t aEntry, bool aCut)
{
  const std::string key = "store|" + mEntries[aEntry].mName;
  if (aCut) {
    mCuts.insert(key);
  } else {
    mCuts.erase(key);
  }
}

void
cluster::CheckGeneration(const process& aProcess, core::generation aNow)
{
  core::generation& seen = mGenerationsSeen[aProcess.mName];
  if (aNow < seen) {
    mViolation = "generation decreased at " + aProcess.mName;
  }
  seen = aNow;
}

void
cluster::WithEntry(entry_process& aEntry, const entry_step& aStep)
{
  entry::effects effects;
  aStep(effects);
  CheckGeneration(aEntry, aEntry.mControl->mRow.mConfiguration.mGeneration);
  Run(aEntry, effects);
}

void
cluster::WithAgent(agent_process& aAgent, const agent_step& aStep)
{
  agent::effects effects;
  aStep(effects);
  CheckGeneration(aAgent, aAgent.mControl->mConfiguration.mGeneration);
  Run(aAgent, effects);
}

void
cluster::Run(entry_process& aEntry, const entry::effects& aEffects)
{
  for (const entry::effect& effect : aEffects) {
    std::visit([&](const auto& aEffect) { Do(aEntry, aEffect); }, effect);
  }
}

void
cluster::Run(agent_process& aAgent, const agent::effects& aEffects)
{
  for (const agent::effect& effect : aEffects) {
    std::visit([&](const auto& aEffect) { Do(aAgent, aEffect); }, effect);
  }
}

void
cluster::RegisterTarget(std::size_t aIndex, std::uint64_t aIncarnation)
{
  agent_process& agent = mAgents[aIndex];
  Deliver(agent, aIncarnation, [this, aIndex, aIncarnation, &agent] {
    WithAgent(agent, [&](agent::effects& aEffects) {
      agent::OnTargetRegistered(*agent.mControl,
                                { "target-" + std::to_string(aIndex),
                                  "target:" + std::to_string(aIndex),
                                  { "plans" },
                                  mOptions.mSlots,
                                  kLease },
                                mNow,
                                aEffects);
    });
    At(mNow + kLease / 3,
       [this, aIndex, aIncarnation] { RegisterTarget(aIndex, aIncarnation); });
  });
}

void
cluster::Do(agent_process& aFrom, const agent::run_task& aEffect)
{
  StartTask(aFrom, aEffect);
}

void
cluster::StartTask(agent_process& aAgent, const agent::run_task& aEffect)
{
  const core::task_start& start = aEffect.mStart;
  Trace(aAgent.mName,
        { "start",
          { { "task", ToString(start.mTask) },
            { "domain", DomainOf(aAgent) },
            { "round", std::to_string(start.mBallot.mRound) },
            { "try", std::to_string(start.mTry) } } });
  const std::size_t index = mStarts.size();
  mStarts.push_back(
    { start.mTask, start.mTry, DomainOf(aAgent), mNow, false, {} });
  const duration time(std::uniform_int_distribution<std::int64_t>(
    mOptions.mMinRunTime.count(), mOptions.mMaxRunTime.count())(mRandom));
  const bool fails = Chance(mOptions.mFaults.mTaskFailureRate);
  const std::uint64_t run = aAgent.mIncarnation;
  At(mNow + time, [this, &aAgent, run, index, start, fails, time] {
    mStarts[index].mEndedAt = mNow;
    mStarts[index].mFailed = fails;
    Deliver(aAgent, run, [this, &aAgent, start, fails, time] {
      WithAgent(aAgent, [&](agent::effects& aEffects) {
        agent::OnTaskEnded(
          *aAgent.mControl,
          { start.mTask,
            start.mTry,
            fails ? core::task_end::Failed : core::task_end::Succeeded,
            time,
            fails ? "task failed" : ResultOf(start.mTask) },
          mNow,
          aEffects);
      });
    });
  });
}

} // namespace gooseberry::world
