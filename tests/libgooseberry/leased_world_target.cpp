#include "leased_world_target.h"

#include <algorithm>

namespace gooseberry::leased_world {

namespace {

using lease::start_answer;
using lease::target_time;
using std::chrono::duration_cast;

/** A lease ends at most this long after it was granted. */
constexpr target_time kMaxLease{ 1'000 };

/** Returns the instant at which the target's clock shows `aTime`. */
instant
InstantOf(const fake_target& aTarget, target_time aTime)
{
  using micros = std::chrono::duration<double, std::micro>;
  return aTarget.mStartedAt +
         duration_cast<duration>(micros(aTime - aTarget.mFirstClock) /
                                 aTarget.mRate);
}

void
EndRun(fake_target& aTarget,
       const fake_target::run_key& aKey,
       core::task_end aEnd,
       const std::string& aReason,
       std::vector<run_change>& aOut)
{
  const auto [task, run] = aKey;
  aTarget.mRuns.erase(aKey);
  auto& superseded = aTarget.mSupersededRun[task];
  superseded = std::max(superseded, run);
  aTarget.mEnds.push_back({ ++aTarget.mEndCount, task, run, aEnd, aReason });
  aOut.push_back({ task, run, false, aReason });
}

void
EndExpiredRuns(fake_target& aTarget, std::vector<run_change>& aOut)
{
  while (!aTarget.mRuns.empty()) {
    const auto key = aTarget.mRuns.begin()->first;
    EndRun(aTarget, key, core::task_end::Lost, "lapsed", aOut);
  }
}

/** Ends the runs of an expired lease, then checks the fencing token. Returns
 * false if the token is lower than the highest known one. */
bool
AcceptCall(fake_target& aTarget,
           const lease::call_header& aHeader,
           instant aNow,
           std::vector<run_change>& aOut)
{
  Advance(aTarget, aNow, aOut);
  if (ClockOf(aTarget, aNow) >= aTarget.mLeaseUntil) {
    EndExpiredRuns(aTarget, aOut);
  }
  if (aHeader.mFencingToken < aTarget.mToken) {
    return false;
  }
  aTarget.mToken = aHeader.mFencingToken;
  return true;
}

void
ExtendLease(fake_target& aTarget, target_time aUntil, instant aNow)
{
  const auto longest = ClockOf(aTarget, aNow) + kMaxLease;
  aTarget.mLeaseUntil =
    std::max(aTarget.mLeaseUntil, std::min(aUntil, longest));
}

} // namespace

void
StartProcess(fake_target& aTarget,
             target_time aFirstClock,
             double aRate,
             duration aDelay,
             instant aNow)
{
  fake_target fresh;
  fresh.mName = aTarget.mName;
  fresh.mAlive = true;
  fresh.mIncarnation = static_cast<std::uint64_t>(
    duration_cast<target_time>(aNow.time_since_epoch()).count());
  fresh.mStartedAt = aNow;
  fresh.mFirstClock = aFirstClock;
  fresh.mRate = aRate;
  fresh.mTimerDelay = aDelay;
  aTarget = std::move(fresh);
}

void
Crash(fake_target& aTarget, std::vector<run_change>& aOut)
{
  for (const auto& [key, run] : aTarget.mRuns) {
    aOut.push_back({ key.first, key.second, false, "crashed" });
  }
  aTarget.mRuns.clear();
  aTarget.mAlive = false;
}

target_time
ClockOf(const fake_target& aTarget, instant aNow)
{
  return aTarget.mFirstClock + duration_cast<target_time>(
                                 (aNow - aTarget.mStartedAt) * aTarget.mRate);
}

void
Advance(fake_target& aTarget, instant aNow, std::vector<run_change>& aOut)
{
  if (InstantOf(aTarget, aTarget.mLeaseUntil) + aTarget.mTimerDelay <= aNow) {
    EndExpiredRuns(aTarget, aOut);
  }
  const auto runs = aTarget.mRuns;
  for (const auto& [key, run] : runs) {
    if (run.mStoppedAt && *run.mStoppedAt <= aNow) {
      EndRun(aTarget, key, core::task_end::Lost, "stopped", aOut);
    } else if (run.mEndsAt <= aNow) {
      EndRun(aTarget, key, core::task_end::Succeeded, "done", aOut);
    }
  }
}

std::optional<instant>
NextChange(const fake_target& aTarget)
{
  if (aTarget.mRuns.empty()) {
    return std::nullopt;
  }
  auto next = InstantOf(aTarget, aTarget.mLeaseUntil) + aTarget.mTimerDelay;
  for (const auto& [key, run] : aTarget.mRuns) {
    next = std::min({ next, run.mEndsAt, run.mStoppedAt.value_or(next) });
  }
  return next;
}

start_answer
HandleStart(fake_target& aTarget,
            const lease::start_call& aCall,
            duration aRunTime,
            instant aNow,
            std::vector<run_change>& aOut)
{
  if (!AcceptCall(aTarget, aCall.mHeader, aNow, aOut)) {
    return start_answer::Fenced;
  }
  const fake_target::run_key key{ aCall.mTask, aCall.mRun };
  if (ClockOf(aTarget, aNow) > aCall.mValidUntil) {
    return start_answer::Late;
  }
  if (const auto run = aTarget.mRuns.find(key);
      run != aTarget.mRuns.end() && !run->second.mStoppedAt) {
    return start_answer::Accepted;
  }
  if (const auto superseded = aTarget.mSupersededRun.find(aCall.mTask);
      superseded != aTarget.mSupersededRun.end() &&
      aCall.mRun <= superseded->second) {
    ExtendLease(aTarget, aCall.mValidUntil, aNow);
    return start_answer::Superseded;
  }
  ExtendLease(aTarget, aCall.mValidUntil, aNow);
  aTarget.mRuns[key] = { aNow + aRunTime, std::nullopt };
  aOut.push_back({ aCall.mTask, aCall.mRun, true, {} });
  return start_answer::Accepted;
}

bool
HandleStop(fake_target& aTarget,
           const lease::stop_call& aCall,
           duration aStopTime,
           instant aNow,
           std::vector<run_change>& aOut)
{
  if (!AcceptCall(aTarget, aCall.mHeader, aNow, aOut)) {
    return false;
  }
  auto& superseded = aTarget.mSupersededRun[aCall.mTask];
  superseded = std::max(superseded, aCall.mRun);
  for (auto& [key, run] : aTarget.mRuns) {
    const bool isCovered = key.first == aCall.mTask && key.second <= aCall.mRun;
    if (isCovered && !run.mStoppedAt) {
      run.mStoppedAt = aNow + aStopTime;
    }
  }
  return true;
}

bool
HandleRenewal(fake_target& aTarget,
              const lease::renew_call& aCall,
              instant aNow,
              std::vector<run_change>& aOut)
{
  if (!AcceptCall(aTarget, aCall.mHeader, aNow, aOut)) {
    return false;
  }
  ExtendLease(aTarget, aCall.mLeaseUntil, aNow);
  std::erase_if(aTarget.mEnds, [&](const lease::listed_end& aEnd) {
    return aEnd.mNumber <= aCall.mLastEnd;
  });
  return true;
}

bool
HasNewEnd(const fake_target& aTarget, const lease::renew_call& aCall)
{
  return !aTarget.mEnds.empty() &&
         aTarget.mEnds.back().mNumber > aCall.mLastEnd;
}

lease::target_report
MakeReport(const fake_target& aTarget, instant aNow)
{
  lease::target_report report;
  report.mClock = ClockOf(aTarget, aNow);
  report.mTargetIncarnation = aTarget.mIncarnation;
  for (const auto& [key, run] : aTarget.mRuns) {
    report.mRunning.push_back({ key.first, key.second });
  }
  report.mEnded = aTarget.mEnds;
  return report;
}

} // namespace gooseberry::leased_world
