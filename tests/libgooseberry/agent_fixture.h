#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/** An agent with a fake clock: joined, with recent contact and one target of
 * two slots. */
namespace gooseberry::agent::test {

using core::start_verdict;
using core::task_end;
using namespace std::chrono_literals;

inline constexpr std::uint64_t kIncarnation = 77;
inline const std::string kEntryA = "10.0.0.1:9000";
inline const std::string kEntryB = "10.0.0.2:9000";

inline core::versioned_configuration
Configuration(core::generation aGeneration, configuration::domain_state aState)
{
  configuration::desired_state desired;
  desired.mName = "test";
  desired.mFailureDomains["north"] = { "region", aState };
  desired.mFailureDomains["south"] = { "region",
                                       configuration::domain_state::In };
  desired.mServices["tabs"].mTargets = { "press-*" };
  desired.mServices["tabs"].mMaxTaskTime = 5s;
  return { aGeneration, configuration::Format(desired) };
}

inline control_settings
Settings()
{
  control_settings settings;
  settings.mAgent = { "press-host", kIncarnation };
  settings.mAddress = "10.0.0.9:9100";
  settings.mFailureDomain = "north";
  settings.mQueuePerTarget = 2;
  return settings;
}

/** One agent, its clock and all its effects. */
struct agent_world
{
  agent_control mControl = MakeControl(Settings());
  core::instant mNow = core::instant(1h);
  effects mOut;

  template<typename Effect>
  std::vector<Effect> All() const
  {
    std::vector<Effect> found;
    for (const auto& effect : mOut) {
      if (const auto* match = std::get_if<Effect>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  /** Returns the effects of one type, and clears all effects. */
  template<typename Effect>
  std::vector<Effect> ConsumeEffects()
  {
    auto found = All<Effect>();
    mOut.clear();
    return found;
  }

  void RegisterTarget(const std::string& aTarget = "press-1",
                      std::uint32_t aSlots = 2)
  {
    OnTargetRegistered(mControl,
                       { aTarget, "10.0.0.9:8080", { "tabs" }, aSlots, 3s },
                       mNow,
                       mOut);
  }

  /** Handles an entry's answer to a load report that was sent just now. */
  void AnswerLoadReport(core::duration aAge = {})
  {
    core::entry_reply reply;
    reply.mEntry = { "a", 1 };
    reply.mGeneration = mControl.mConfiguration.mGeneration;
    reply.mLastContactAge = aAge;
    OnLoadReportAnswered(mControl, kEntryA, reply, mNow, mNow, mOut);
  }

  void Configure(core::generation aGeneration,
                 configuration::domain_state aState)
  {
    OnConfiguration(mControl, Configuration(aGeneration, aState), mNow, mOut);
  }

  core::start_batch Batch(std::vector<core::task_start> aStarts) const
  {
    core::start_batch batch;
    batch.mEntry = { "a", 1 };
    batch.mEntryAddress = kEntryA;
    batch.mAgentIncarnation = kIncarnation;
    batch.mAgentTimestamp = mNow;
    batch.mStarts = std::move(aStarts);
    return batch;
  }

  start_verdict Deliver(const core::start_batch& aBatch)
  {
    return OnStart(mControl, aBatch, mNow, mOut).mVerdicts.at(0);
  }

  start_verdict Start(const core::task_start& aStart)
  {
    return Deliver(Batch({ aStart }));
  }

  void End(const core::task_start& aStart,
           task_end aEnd,
           std::string aPayload = "proof")
  {
    OnTaskEnded(mControl,
                { aStart.mTask, aStart.mTry, aEnd, 50ms, std::move(aPayload) },
                mNow,
                mOut);
  }

  core::fence_reply Fence(const std::string& aJob, core::ballot aBallot)
  {
    return OnFence(
      mControl, { { "b", 2 }, kEntryB, aJob, aBallot }, mNow, mOut);
  }

  void Acknowledge(const send_finish& aFinish)
  {
    core::entry_reply reply;
    reply.mGeneration = mControl.mConfiguration.mGeneration;
    reply.mLastContactAge = core::duration{};
    OnFinishAnswered(
      mControl, aFinish.mId, aFinish.mEntryAddress, reply, mNow, mNow, mOut);
  }

  /** Advances the clock, renews the targets' leases and records a contact with
   * an entry. */
  void Advance(core::duration aTime)
  {
    mNow += aTime;
    for (auto& [name, target] : mControl.mTargets) {
      target.mLeaseEnd = mNow + 3s;
    }
    AnswerLoadReport();
    Tick(mControl, mNow, mOut);
  }
};

inline core::task_start
Task(std::uint32_t aIndex, core::ballot aBallot = { 1, 1 })
{
  core::task_start start;
  start.mTask = { "tabcraft/job", aIndex };
  start.mBallot = aBallot;
  start.mPlacement = 1;
  start.mService = "tabs";
  start.mKind = "proof";
  start.mTarget = "press-1";
  return start;
}

inline agent_world
OpenWorld()
{
  agent_world world;
  OnRowWritten(world.mControl, world.mNow, world.mOut);
  OnRows(world.mControl, {}, world.mNow, world.mOut);
  world.Configure(5, configuration::domain_state::In);
  world.RegisterTarget();
  world.AnswerLoadReport();
  world.mOut.clear();
  return world;
}

} // namespace gooseberry::agent::test
