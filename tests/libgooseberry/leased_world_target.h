#pragma once

#include "libgooseberry/lease/call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/**
 * A target that follows the platform's rules for runs under leases. It has no
 * timers: the caller runs `Advance` at each time that `NextChange` returns.
 */
namespace gooseberry::leased_world {

using core::duration;
using core::instant;

/** The start or end of a run at a target. */
struct run_change
{
  core::task_ref mTask;
  std::uint32_t mRun = 0;
  bool mIsStart = false;
  std::string mEndReason; ///< Empty for a start.
};

struct fake_run
{
  instant mEndsAt{};
  std::optional<instant> mStoppedAt; ///< A stop ends the run then.
};

struct fake_target
{
  using run_key = std::pair<core::task_ref, std::uint32_t>;

  std::string mName;
  bool mAlive = false;
  std::uint64_t mIncarnation = 0;
  instant mStartedAt{};
  lease::target_time mFirstClock{}; ///< Shown by its clock at the start.
  double mRate = 1;       ///< Of its clock; below 1, the clock is slow.
  duration mTimerDelay{}; ///< By which its timers fire late.
  std::uint64_t mToken = 0;
  lease::target_time mLeaseUntil{};
  std::map<run_key, fake_run> mRuns;
  /** By task: the highest run that has ended or was to be stopped. */
  std::map<core::task_ref, std::uint32_t> mSupersededRun;
  std::vector<lease::listed_end> mEnds;
  std::uint64_t mEndCount = 0;
  std::uint64_t mSequence = 0; ///< Of its last registration.
};

/** Starts the process: it has no runs, and its clock starts at any value. */
void
StartProcess(fake_target& aTarget,
             lease::target_time aFirstClock,
             double aRate,
             duration aDelay,
             instant aNow);

/** Ends the process and all its runs. */
void
Crash(fake_target& aTarget, std::vector<run_change>& aOut);

/** Returns the time of the target's own clock. */
lease::target_time
ClockOf(const fake_target& aTarget, instant aNow);

/** Ends the runs that are due or whose lease has expired. */
void
Advance(fake_target& aTarget, instant aNow, std::vector<run_change>& aOut);

/** Returns when the next run ends if no call comes before; none if no run. */
std::optional<instant>
NextChange(const fake_target& aTarget);

/** Handles a start call; `aRunTime` is the run time of the task. */
lease::start_answer
HandleStart(fake_target& aTarget,
            const lease::start_call& aCall,
            duration aRunTime,
            instant aNow,
            std::vector<run_change>& aOut);

/** Handles a stop call; runs end `aStopTime` later. False: fenced. */
bool
HandleStop(fake_target& aTarget,
           const lease::stop_call& aCall,
           duration aStopTime,
           instant aNow,
           std::vector<run_change>& aOut);

/** Handles a renewal up to its wait. Returns false if it is fenced. */
bool
HandleRenewal(fake_target& aTarget,
              const lease::renew_call& aCall,
              instant aNow,
              std::vector<run_change>& aOut);

/** Returns whether a run has ended that the renewal does not know of. */
bool
HasNewEnd(const fake_target& aTarget, const lease::renew_call& aCall);

lease::target_report
MakeReport(const fake_target& aTarget, instant aNow);

} // namespace gooseberry::leased_world
