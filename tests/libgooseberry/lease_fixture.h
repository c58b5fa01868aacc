#pragma once

#include "libgooseberry/lease/leased_target.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

/** Fixture for a target that runs tasks under leases, on a simulated clock. */
namespace gooseberry::lease::test {

using namespace std::chrono_literals;

inline constexpr core::instant kStart{ 100s };

/** A target that has registered and reported for longer than a lease, and the
 * effects since `kStart`. */
struct lease_fixture
{
  lease::leased_target mTarget;
  lease::effects mEffects;
  core::instant mNow = kStart - mTarget.mSettings.mLongestLease;

  lease_fixture()
  {
    lease::OnRegistration(
      mTarget, { "t-1", "127.0.0.1:1", 7, 1 }, mNow, mEffects);
    Report({}); // Brings the clock, from which the token is chosen.
    Report({});
    mNow = kStart;
    Report({});
    mEffects.clear();
  }

  /** Returns the target's clock, which runs at the rate of the agent's. */
  lease::target_time Clock() const
  {
    return 5'000ms +
           std::chrono::duration_cast<lease::target_time>(mNow - kStart);
  }

  void Report(std::vector<lease::listed_run> aRunning,
              std::vector<lease::listed_end> aEnded = {},
              std::uint64_t aIncarnation = 7)
  {
    lease::OnReport(
      mTarget,
      { Clock(), aIncarnation, std::move(aRunning), std::move(aEnded) },
      mNow,
      mNow,
      mEffects);
  }

  /** Reports as an incarnation 8 whose clock shows `aClock`. */
  void ReportRestart(lease::target_time aClock,
                     std::vector<lease::listed_run> aRunning = {},
                     std::vector<lease::listed_end> aEnded = {})
  {
    lease::OnReport(mTarget,
                    { aClock, 8, std::move(aRunning), std::move(aEnded) },
                    mNow,
                    mNow,
                    mEffects);
  }

  void Register(std::uint64_t aIncarnation, std::uint64_t aSequence)
  {
    lease::OnRegistration(mTarget,
                          { "t-1", "127.0.0.1:1", aIncarnation, aSequence },
                          mNow,
                          mEffects);
  }

  lease::start_call Start(std::uint32_t aIndex = 0)
  {
    core::task_start start;
    start.mTask = { "job", aIndex };
    lease::StartRun(mTarget, start, mNow, mNow, mEffects);
    return Last<lease::start_call>();
  }

  void Answer(const lease::start_call& aCall, lease::start_answer aAnswer)
  {
    lease::OnStartAnswer(mTarget, aCall, aAnswer, Clock(), mNow, mEffects);
  }

  void Pass(core::duration aTime)
  {
    mNow += aTime;
    lease::Tick(mTarget, mNow, mEffects);
  }

  template<typename Call>
  Call Last() const
  {
    for (auto at = mEffects.rbegin(); at != mEffects.rend(); ++at) {
      if (const auto* call = std::get_if<lease::call>(&*at);
          call != nullptr && std::holds_alternative<Call>(*call)) {
        return std::get<Call>(*call);
      }
    }
    BOOST_FAIL("no such call");
    return {};
  }

  template<typename Call>
  std::size_t Count() const
  {
    std::size_t count = 0;
    for (const lease::effect& effect : mEffects) {
      const auto* call = std::get_if<lease::call>(&effect);
      count += call != nullptr && std::holds_alternative<Call>(*call) ? 1 : 0;
    }
    return count;
  }

  std::vector<lease::run_end> Ends() const
  {
    std::vector<lease::run_end> ends;
    for (const lease::effect& effect : mEffects) {
      if (const auto* end = std::get_if<lease::run_end>(&effect)) {
        ends.push_back(*end);
      }
    }
    return ends;
  }
};

inline const core::task_ref kTask{ "job", 0 };

} // namespace gooseberry::lease::test
