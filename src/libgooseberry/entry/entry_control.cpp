#include "libgooseberry/entry/entry_control.h"

#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/internal.h"
#include "libgooseberry/membership/standby.h"

#include <utility>

namespace gooseberry::entry {

void
Log(effects& aEffects, std::string aEvent, std::vector<log_field> aFields)
{
  aEffects.emplace_back(log_line{ std::move(aEvent), std::move(aFields) });
}

entry_control
MakeEntry(entry_options aOptions,
          std::uint64_t aIncarnation,
          std::uint64_t aSeed,
          core::instant aNow,
          effects& aEffects)
{
  entry_control control;
  control.mSelf = { aOptions.mName, aIncarnation };
  control.mRandom.seed(aSeed);
  control.mMembers.mSelf = control.mSelf;
  control.mLedger.mWindow = aOptions.mWindow;
  control.mTargets.mSettings = aOptions.mPlacement;
  control.mRetryBudget.mSettings = aOptions.mRetry;
  control.mOptions = std::move(aOptions);
  control.mStartedAt = aNow;
  if (control.mOptions.mLeasedRuns) {
    control.mJoining.mStage = join_stage::Open;
  }
  Tick(control, aNow, aEffects);
  return control;
}

bool
IsFresh(const entry_control& aControl, core::instant aNow)
{
  if (aControl.mOptions.mLeasedRuns) {
    return aControl.mRow.mConfiguration.mGeneration > 0;
  }
  return aControl.mLastContact.has_value() &&
         aNow - *aControl.mLastContact <= aControl.mOptions.mFreshnessBound;
}

bool
AwaitsTargets(const entry_control& aControl, core::instant aNow)
{
  // Heartbeats take this long to make a new entry known to agents, and a new
  // agent known to targets.
  constexpr core::duration kTargetsExpectedWithin = std::chrono::seconds(3);
  return aControl.mTargets.mTargets.empty() &&
         aNow - aControl.mStartedAt < kTargetsExpectedWithin;
}

namespace {

/** Returns the capacity of the other entries as last reported. */
std::vector<membership::entry_capacity>
OtherEntries(const entry_control& aControl, core::instant aNow)
{
  std::vector<membership::entry_capacity> others;
  for (const auto& [name, view] : aControl.mMembers.mEntries) {
    const bool isRateFresh =
      aNow - view.mRateAt <= aControl.mOptions.mPeerSuspect;
    others.push_back({ view.mFailureDomain,
                       view.mMillicores,
                       !view.mLeaving && IsEntryInContact(aControl, name, aNow),
                       view.mBusy,
                       isRateFresh ? view.mJobsPerSecond : std::nullopt });
  }
  return others;
}

membership::entry_capacity
OwnCapacity(const entry_control& aControl, core::instant aNow)
{
  return { aControl.mOptions.mFailureDomain,
           aControl.mOptions.mMillicores,
           true,
           quota::IsBusy(aControl.mQueueDelay, aNow),
           aControl.mJobMeter.mJobsPerSecond };
}

traffic_state
CurrentTrafficState(const entry_control& aControl, core::instant aNow)
{
  const auto others = OtherEntries(aControl, aNow);
  const auto self = OwnCapacity(aControl, aNow);
  if (self.mIsBusy && membership::HaveSpareCapacity(others)) {
    return traffic_state::Busy;
  }
  return aControl.mCallerLoad.mIsHigh && membership::IsStandby(self, others)
           ? traffic_state::Standby
           : traffic_state::Accepting;
}

} // namespace

bool
IsReady(const entry_control& aControl, core::instant aNow)
{
  return aControl.mJoining.mStage == join_stage::Open && !aControl.mLeaving &&
         IsFresh(aControl, aNow) && !AwaitsTargets(aControl, aNow) &&
         CurrentTrafficState(aControl, aNow) == traffic_state::Accepting;
}

namespace {

/** Removes and returns the next key that is due, if any. */
std::optional<std::string>
PopDue(std::multimap<core::instant, std::string>& aTimes, core::instant aNow)
{
  if (aTimes.empty() || aTimes.begin()->first > aNow) {
    return std::nullopt;
  }
  return std::move(aTimes.extract(aTimes.begin()).mapped());
}

/** Ends the jobs whose deadline has passed. */
void
TickDeadlines(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  while (const auto key = PopDue(aControl.mDeadlines, aNow)) {
    job::job* late = job::Find(aControl.mLedger, *key);
    if (late == nullptr || late->mPhase == job::phase::Ended ||
        late->mDeadline > aNow) {
      continue;
    }
    if (late->mPhase != job::phase::Running) {
      AbandonJob(
        aControl,
        *late,
        { "locate job", late->mHome.mName, "undecided at the deadline" },
        kStatusUnavailable,
        aNow,
        aEffects);
    } else if (job::MayHaveStarted(*late)) {
      FailJob(aControl,
              *late,
              { "run job", "", "deadline exceeded" },
              kStatusDeadline,
              aNow,
              aEffects);
    } else {
      RefuseJob(aControl,
                *late,
                { "place job", "", "deadline passed before any start" },
                kStatusUnavailable,
                aNow,
                aEffects);
    }
  }
}

/** Refuses late jobs that cannot be started in useful time any more. */
void
TickLateRefusals(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  while (const auto key = PopDue(aControl.mLateRefusals, aNow)) {
    job::job* late = job::Find(aControl.mLedger, *key);
    if (late != nullptr && late->mPhase == job::phase::Running && late->mLate &&
        !job::MayHaveStarted(*late)) {
      RefuseJob(aControl,
                *late,
                { "place job", "", "overloaded: no start in useful time" },
                kStatusUnavailable,
                aNow,
                aEffects);
    }
  }
}

/** Ends or restarts the tasks of agents without contact for too long. */
void
TickLostAgents(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    const auto tasks = aControl.mAgentTasks.find(name);
    if (tasks != aControl.mAgentTasks.end() && !tasks->second.empty() &&
        aNow - view.mLastSeen > aControl.mOptions.mAgentLost) {
      OnAgentEnded(aControl, name, view.mState.mAgent, aNow, aEffects);
    }
  }
}

void
TickMembers(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  if (aNow < aControl.mNextMembers) {
    return;
  }
  aControl.mNextMembers = aNow + aControl.mOptions.mMembersPeriod;
  ReadMembers(aControl, aEffects);
  for (const membership::member_row& row :
       membership::ObsoleteRows(aControl.mMembers,
                                aNow,
                                aControl.mOptions.mAgentLost,
                                aControl.mOptions.mWindow)) {
    aEffects.emplace_back(delete_member{ row });
  }
}

void
TickHeartbeats(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  if (aNow >= aControl.mNextConfiguration) {
    aControl.mNextConfiguration = aNow + aControl.mOptions.mHeartbeat;
    aEffects.emplace_back(read_configuration{});
  }
  if (aNow < aControl.mNextHeartbeat) {
    return;
  }
  aControl.mNextHeartbeat = aNow + aControl.mOptions.mHeartbeat;
  TickGeneration(aControl, aNow, aEffects);
  SendHeartbeats(aControl, aNow, aEffects);
}

std::string
FormatPercent(double aShare)
{
  constexpr double kPercent = 100;
  return core::FormatDecimal(kPercent * aShare);
}

/** Logs a change of the traffic state with the values that it is based on. */
void
LogTrafficState(const entry_control& aControl,
                std::optional<double> aExpectedRate,
                const membership::caller_use& aUse,
                effects& aEffects)
{
  const auto format = [](std::optional<double> aValue, const auto& aFormat) {
    return aValue ? aFormat(*aValue) : std::string("unknown");
  };
  Log(aEffects,
      "caller_stance",
      { { "stance",
          std::string(kTrafficStateNames.NameOf(aControl.mTrafficState)) },
        { "share_percent",
          std::to_string(quota::SharePercent(aControl.mQueueDelay)) },
        { "jobs_per_second",
          core::FormatDecimal(aControl.mJobMeter.mJobsPerSecond) },
        { "expected_jobs_per_second",
          format(aExpectedRate, core::FormatDecimal) },
        { "job_cost_ms",
          core::FormatMilliseconds(quota::JobCost(aControl.mJobMeter)) },
        { "use_percent", FormatPercent(aUse.mCurrent) },
        { "expected_use_percent", format(aUse.mExpected, FormatPercent) },
        { "mean_delay_ms",
          core::FormatMilliseconds(aControl.mQueueDelay.mMean) } });
}

/** Updates what the traffic state depends on, and logs each change of it. */
void
TickTrafficState(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  const std::size_t agents = aControl.mMembers.mAgents.size();
  const std::uint32_t millicores = aControl.mOptions.mMillicores;
  const quota::job_meter& meter = aControl.mJobMeter;
  quota::Sample(aControl.mJobMeter,
                { aControl.mCounters.mSubmissions,
                  agents,
                  aControl.mQueueDelay.mShare < 1.0 },
                aNow);
  const auto expected = membership::ExpectedRate(OwnCapacity(aControl, aNow),
                                                 OtherEntries(aControl, aNow));
  membership::caller_use use;
  if (expected && quota::HasMeasured(meter, aNow)) {
    use.mExpected = quota::ExpectedUse(meter, *expected, agents, millicores);
  }
  use.mCurrent = quota::CurrentUse(meter, agents, millicores);
  use.mIsDelayed = quota::IsNearLimit(aControl.mQueueDelay);
  membership::Update(aControl.mCallerLoad, use, aNow);
  const traffic_state state = CurrentTrafficState(aControl, aNow);
  if (std::exchange(aControl.mTrafficState, state) != state) {
    ++aControl.mCounters.mTrafficStateChanges;
    LogTrafficState(aControl, expected, use, aEffects);
  }
}

} // namespace

void
Tick(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  TickJoining(aControl, aNow, aEffects);
  TickMembers(aControl, aNow, aEffects);
  TickHeartbeats(aControl, aNow, aEffects);
  TickCalls(aControl, aNow, aEffects);
  TickLostAgents(aControl, aNow, aEffects);
  TickInquiries(aControl, aNow, aEffects);
  TickDeadlines(aControl, aNow, aEffects);
  TickLateRefusals(aControl, aNow, aEffects);
  ShedWaiting(aControl, aNow, aEffects);
  TickApplies(aControl, aNow, aEffects);
  TickTrafficState(aControl, aNow, aEffects);
  job::Expire(aControl.mLedger, aNow);
  Expire(aControl.mCancellations, aNow, aControl.mOptions.mAgentLost);
  Dispatch(aControl, aNow, aEffects);
  FlushOutboxes(aControl, aEffects);
  if (aControl.mLeaving && aControl.mOpenJobs == 0) {
    aEffects.emplace_back(drained{});
  }
}

void
Leave(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  aControl.mLeaving = true;
  SendHeartbeats(aControl, aNow, aEffects);
}

} // namespace gooseberry::entry
