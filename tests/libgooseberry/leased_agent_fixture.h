#pragma once

#include "libgooseberry/agent/leased_runs.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

/** Fixture for an agent whose target runs tasks under leases. */
namespace gooseberry::agent::test {

using namespace std::chrono_literals;

inline constexpr core::instant kStart{ 100s };
inline constexpr const char* kFirstEntry = "127.0.0.1:11";
inline constexpr const char* kSecondEntry = "127.0.0.1:12";
inline constexpr core::resources kTwoCores{ 2'000, 64, 0 };

/** An agent with one target of four cores, ready for starts. The target has
 * reported for longer than a lease. */
struct leased_agent
{
  agent::agent_control mControl;
  agent::effects mEffects;
  core::instant mNow = kStart - lease::lease_settings{}.mLongestLease;
  lease::target_time mClock{}; ///< The target's; only `Report` shows it.
  std::uint64_t mSequence = 0;

  leased_agent()
  {
    agent::control_settings settings;
    settings.mAgent = { "agent", 5 };
    settings.mFailureDomain = "north";
    settings.mLeasedRuns = true;
    settings.mQueuePerTarget = 0;
    mControl = agent::MakeControl(settings);
    configuration::desired_state state;
    state.mName = "test";
    state.mFailureDomains["north"].mRegion = "r";
    state.mServices["press"].mTargets = { "*" };
    agent::OnConfiguration(
      mControl, { 1, configuration::Format(state) }, mNow, mEffects);
    Register(false);
    Report(); // Brings the target's clock, which the token is taken from.
    Report();
    mNow = kStart;
    mClock = 1'000ms;
    Report();
  }

  bool Register(bool aIsDraining, std::uint64_t aIncarnation = 7)
  {
    agent::target_registration registration;
    registration.mName = "t-1";
    registration.mAddress = "127.0.0.1:1";
    registration.mServices = { "press" };
    registration.mSlots = 8;
    registration.mLease = 5s;
    registration.mCapacity = { 4'000, 1'024, 0 };
    return agent::OnLeasedTargetRegistered(
      mControl,
      registration,
      { "t-1", "127.0.0.1:1", aIncarnation, ++mSequence },
      aIsDraining,
      mNow,
      mEffects);
  }

  void Report(std::vector<lease::listed_run> aRunning = {},
              std::vector<lease::listed_end> aEnded = {})
  {
    agent::OnTargetReport(mControl,
                          "t-1",
                          { mClock, 7, std::move(aRunning), std::move(aEnded) },
                          mNow,
                          mNow,
                          mEffects);
  }

  /** `aTimestampAge`: age of the agent's timestamp in the batch. */
  core::start_verdict Start(const std::string& aJob,
                            std::uint64_t aEntry,
                            const char* aAddress,
                            core::duration aTimestampAge = 0ms)
  {
    core::start_batch batch;
    batch.mEntry = { aAddress, aEntry };
    batch.mEntryAddress = aAddress;
    batch.mAgentIncarnation = 5;
    batch.mAgentTimestamp = mNow - aTimestampAge;
    core::task_start start;
    start.mTask = { aJob, 0 };
    start.mBallot = { 1, aEntry };
    start.mPlacement = ++mPlacements;
    start.mService = "press";
    start.mTarget = "t-1";
    start.mMayQueue = false;
    start.mNeeds = kTwoCores;
    batch.mStarts = { start };
    return agent::OnStart(mControl, batch, mNow, mEffects).mVerdicts.front();
  }

  /** Handles an entry's answer to a load report sent `aReportAge` ago. */
  void AnswerLoadReport(std::uint64_t aEntry,
                        const char* aAddress,
                        core::duration aReportAge = 0ms)
  {
    core::entry_reply reply;
    reply.mEntry = { aAddress, aEntry };
    agent::OnLoadReportAnswered(
      mControl, aAddress, reply, mNow - aReportAge, mNow, mEffects);
  }

  /** Handles that the target's address refuses connections. */
  void RefuseRenewal()
  {
    agent::OnRenewalFailed(mControl,
                           "t-1",
                           lease::renewal_failure::Refused,
                           std::nullopt,
                           mNow,
                           mNow,
                           mEffects);
  }

  /** Advances the clock and returns the number of stop calls. */
  std::size_t StopsWithin(core::duration aTime)
  {
    mEffects.clear();
    mNow += aTime;
    agent::TickLeases(mControl, mNow, mEffects);
    return Count<lease::stop_call>();
  }

  /** Returns the number of calls of a kind since the effects were cleared. */
  template<typename Call>
  std::size_t Count() const
  {
    std::size_t count = 0;
    for (const agent::effect& effect : mEffects) {
      const auto* call = std::get_if<agent::call_target>(&effect);
      count +=
        call != nullptr && std::holds_alternative<Call>(call->mCall) ? 1 : 0;
    }
    return count;
  }

  lease::start_call StartCallOf(const std::string& aJob)
  {
    BOOST_REQUIRE(
      (Start(aJob, 1, kFirstEntry) == core::start_verdict::Accepted));
    return LastStartCall();
  }

  /** Handles an answer to a start call that brings no clock. */
  void AnswerStart(const lease::start_call& aCall, lease::start_answer aAnswer)
  {
    agent::OnStartAnswered(
      mControl, aCall, aAnswer, std::nullopt, mNow, mEffects);
  }

  lease::start_call LastStartCall() const
  {
    lease::start_call last;
    for (const agent::effect& effect : mEffects) {
      const auto* call = std::get_if<agent::call_target>(&effect);
      if (call != nullptr &&
          std::holds_alternative<lease::start_call>(call->mCall)) {
        last = std::get<lease::start_call>(call->mCall);
      }
    }
    return last;
  }

  /** Returns the last result that was sent to an entry. */
  std::optional<core::task_result> LastResult() const
  {
    std::optional<core::task_result> last;
    for (const agent::effect& effect : mEffects) {
      const auto* sent = std::get_if<agent::send_finish>(&effect);
      if (sent != nullptr && !sent->mFinish.mResults.empty()) {
        last = sent->mFinish.mResults.back();
      }
    }
    return last;
  }

  std::uint32_t mPlacements = 0;
};

} // namespace gooseberry::agent::test
