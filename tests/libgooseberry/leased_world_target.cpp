#include "leased_world_target.h"

#include <algorithm>

namespace gooseberry::leased_world {

namespace {

using lease::start_answer;
using lease::target_time;
using std::chrono::duration_cast;

/** Longest time ahead that a lease is granted for. */
constexpr target_time kLongestLease{ 1'000 };

/** The instant at which the target's clock shows `aTime`. */
instant
InstantOf(const fake_target& aTarget, target_time aTime)
{
  using micros = std::chrono::duration<double, std::micro>;
  return aTarget.mBornAt +
         duration_cast<duration>(micros(aTime) / aTarget.mRate);
}

void
EndRun(fake_target& aTarget,
       const fake_target::run_key& aKey,
       core::task_end aEnd,
       const std::string& aHow,
       std::vector<run_change>& aOut)
{
  const auto [task, run] = aKey;
  aTarget.mRuns.erase(aKey);
  auto& over = aTarget.mOver[task];
  over = std::max(over, run);
  aTarget.mEnds.push_back({ ++aTarget.mEndCount, task, run, aEnd, aHow });
  aOut.push_back({ task, run, false, aHow });
}

void
EndLapsed(fake_target& aTarget, std::vector<run_change>& aOut)
{
  while (!aTarget.mRuns.empty()) {
    const auto key = aTarget.mRuns.begin()->first;
    EndRun(aTarget, key, core::task_end::Lost, "lapsed", aOut);
  }
}

/** The lease is looked at before each call, and false is given for a call of a
 * lower token than was seen. */
bool
Accept(fake_target& aTarget,
       const lease::call_header& aHeader,
       instant aNow,
       std::vector<run_change>& aOut)
{
  Advance(aTarget, aNow, aOut);
  if (ClockOf(aTarget, aNow) >= aTarget.mLeaseUntil) {
    EndLapsed(aTarget, aOut);
  }
  if (aHeader.mFencingToken < aTarget.mToken) {
    return false;
  }
  aTarget.mToken = aHeader.mFencingToken;
  return true;
}

void
Extend(fake_target& aTarget, target_time aUntil, instant aNow)
{
  const auto longest = ClockOf(aTarget, aNow) + kLongestLease;
  aTarget.mLeaseUntil =
    std::max(aTarget.mLeaseUntil, std::min(aUntil, longest));
}

} // namespace

void
StartLife(fake_target& aTarget, double aRate, duration aDelay, instant aNow)
{
  fake_target born;
  born.mName = aTarget.mName;
  born.mAlive = true;
  born.mLife = static_cast<std::uint64_t>(
    duration_cast<target_time>(aNow.time_since_epoch()).count());
  born.mBornAt = aNow;
  born.mRate = aRate;
  born.mTimerDelay = aDelay;
  aTarget = std::move(born);
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
  return duration_cast<target_time>((aNow - aTarget.mBornAt) * aTarget.mRate);
}

void
Advance(fake_target& aTarget, instant aNow, std::vector<run_change>& aOut)
{
  if (InstantOf(aTarget, aTarget.mLeaseUntil) + aTarget.mTimerDelay <= aNow) {
    EndLapsed(aTarget, aOut);
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
TakeStart(fake_target& aTarget,
          const lease::start_call& aCall,
          duration aRunTime,
          instant aNow,
          std::vector<run_change>& aOut)
{
  if (!Accept(aTarget, aCall.mHeader, aNow, aOut)) {
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
  if (const auto over = aTarget.mOver.find(aCall.mTask);
      over != aTarget.mOver.end() && aCall.mRun <= over->second) {
    return start_answer::Superseded;
  }
  Extend(aTarget, aCall.mValidUntil, aNow);
  aTarget.mRuns[key] = { aNow + aRunTime, std::nullopt };
  aOut.push_back({ aCall.mTask, aCall.mRun, true, {} });
  return start_answer::Accepted;
}

bool
TakeStop(fake_target& aTarget,
         const lease::stop_call& aCall,
         duration aStopTime,
         instant aNow,
         std::vector<run_change>& aOut)
{
  if (!Accept(aTarget, aCall.mHeader, aNow, aOut)) {
    return false;
  }
  auto& over = aTarget.mOver[aCall.mTask];
  over = std::max(over, aCall.mRun);
  for (auto& [key, run] : aTarget.mRuns) {
    const bool isMeant = key.first == aCall.mTask && key.second <= aCall.mRun;
    if (isMeant && !run.mStoppedAt) {
      run.mStoppedAt = aNow + aStopTime;
    }
  }
  return true;
}

bool
TakeRenewal(fake_target& aTarget,
            const lease::renew_call& aCall,
            instant aNow,
            std::vector<run_change>& aOut)
{
  if (!Accept(aTarget, aCall.mHeader, aNow, aOut)) {
    return false;
  }
  Extend(aTarget, aCall.mLeaseUntil, aNow);
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
  report.mTargetIncarnation = aTarget.mLife;
  for (const auto& [key, run] : aTarget.mRuns) {
    report.mRunning.push_back({ key.first, key.second });
  }
  report.mEnded = aTarget.mEnds;
  return report;
}

} // namespace gooseberry::leased_world
