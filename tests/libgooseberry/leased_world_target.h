#pragma once

#include "libgooseberry/lease/call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/**
 * A target that keeps the platform's rules for runs under leases. It has no
 * events of its own: `Advance` is to be called at each of `NextChange`.
 */
namespace gooseberry::leased_world {

using core::duration;
using core::instant;

/** What a target does, as the checks see it. */
struct run_change
{
  core::task_ref mTask;
  std::uint32_t mRun = 0;
  bool mIsStart = false;
  std::string mEndReason; ///< Of an end.
};

struct fake_run
{
  instant mEndsAt{};
  std::optional<instant> mStoppedAt; ///< A stop is under way until then.
};

struct fake_target
{
  using run_key = std::pair<core::task_ref, std::uint32_t>;

  std::string mName;
  bool mAlive = false;
  std::uint64_t mIncarnation = 0;
  instant mStartedAt{};
  double mRate = 1;       ///< Of its clock; below one it is slow.
  duration mTimerDelay{}; ///< Its timers fire so much late.
  std::uint64_t mToken = 0;
  lease::target_time mLeaseUntil{};
  std::map<run_key, fake_run> mRuns;
  std::map<core::task_ref, std::uint32_t>
    mSupersededRun; ///< Highest run by task.
  std::vector<lease::listed_end> mEnds;
  std::uint64_t mEndCount = 0;
  std::uint64_t mSequence = 0; ///< Of its registrations.
};

/** A process that has just started: nothing runs, and its clock is zero. */
void
StartProcess(fake_target& aTarget, double aRate, duration aDelay, instant aNow);

/** The process is gone with all that it ran. */
void
Crash(fake_target& aTarget, std::vector<run_change>& aOut);

lease::target_time
ClockOf(const fake_target& aTarget, instant aNow);

/** Ends what is due. */
void
Advance(fake_target& aTarget, instant aNow, std::vector<run_change>& aOut);

/** When something ends unless a call changes that; none where nothing runs. */
std::optional<instant>
NextChange(const fake_target& aTarget);

/** `aRunTime` is how long the task takes. */
lease::start_answer
HandleStart(fake_target& aTarget,
            const lease::start_call& aCall,
            duration aRunTime,
            instant aNow,
            std::vector<run_change>& aOut);

/** `aStopTime` is how long it takes a run to end; false: fenced. */
bool
HandleStop(fake_target& aTarget,
           const lease::stop_call& aCall,
           duration aStopTime,
           instant aNow,
           std::vector<run_change>& aOut);

/** The first part of a renewal, before its wait; false: fenced. */
bool
HandleRenewal(fake_target& aTarget,
              const lease::renew_call& aCall,
              instant aNow,
              std::vector<run_change>& aOut);

/** Whether there is an end that a renewal does not know of. */
bool
HasNewEnd(const fake_target& aTarget, const lease::renew_call& aCall);

lease::target_report
MakeReport(const fake_target& aTarget, instant aNow);

} // namespace gooseberry::leased_world
