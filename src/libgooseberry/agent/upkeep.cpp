#include "libgooseberry/agent/upkeep.h"

#include "libgooseberry/agent/leased_runs.h"
#include "libgooseberry/agent/target_run.h"

#include <algorithm>
#include <utility>

namespace gooseberry::agent {

namespace {

void
SendResults(agent_control& aControl, core::instant aNow, effects& aOut)
{
  const auto& settings = aControl.mSettings;
  const delivery_limits limits{ settings.mMaxResultsPerBatch,
                                settings.mMaxBatchesInFlight,
                                settings.mDeduplicationWindow };
  for (auto& batch : CollectBatches(
         aControl.mDelivery, aControl.mRecordStore, aNow, limits)) {
    RecordReportSent(aControl.mEntries, batch.mEntryAddress, aNow);
    core::agent_state state = StateOf(aControl, batch.mEntryAddress, aNow);
    aOut.emplace_back(
      send_finish{ batch.mId,
                   std::move(batch.mEntryAddress),
                   { std::move(state), std::move(batch.mResults) } });
  }
}

void
SendLoadReports(agent_control& aControl, core::instant aNow, effects& aOut)
{
  const auto& settings = aControl.mSettings;
  const load_report_limits limits{ settings.mLoadReportInterval,
                                   settings.mMinLoadReportGap,
                                   settings.mDeduplicationWindow };
  for (auto& address : CollectDueReports(aControl.mEntries, aNow, limits)) {
    core::agent_state state = StateOf(aControl, address, aNow);
    aOut.emplace_back(send_load_report{ std::move(address), std::move(state) });
  }
}

void
LeaveIfDone(agent_control& aControl, effects& aOut)
{
  const bool isIdle = std::all_of(
    aControl.mTargets.begin(),
    aControl.mTargets.end(),
    [](const auto& aTarget) { return aTarget.second.mRunning == 0; });
  if (aControl.mLeaving && !aControl.mLeft && isIdle &&
      aControl.mDelivery.mPending.empty()) {
    aControl.mLeft = true;
    aOut.emplace_back(left{});
  }
}

/** Keeps what must outlast a target that is removed. */
void
RecordForgotten(agent_control& aControl, const agent_target& aTarget)
{
  if (aTarget.mLeased) {
    aControl.mLastForgottenCall =
      std::max(aControl.mLastForgottenCall, aTarget.mLeased->mLastCall);
    aControl.mLastForgottenToken =
      std::max(aControl.mLastForgottenToken, aTarget.mLeased->mFencingToken);
    for (const auto& [task, until] : aTarget.mLeased->mLateStarts) {
      auto& known = aControl.mLateStarts[task];
      known = std::max(known, until);
    }
  }
}

void
ExpireLeases(agent_control& aControl, core::instant aNow, effects& aOut)
{
  const bool anyExpired = std::any_of(
    aControl.mTargets.begin(), aControl.mTargets.end(), [&](const auto& aItem) {
      return aItem.second.mLeaseEnd <= aNow;
    });
  if (!anyExpired) {
    return;
  }
  ReturnIneligibleTasks(aControl, aNow, aOut);
  for (auto at = aControl.mTargets.begin(); at != aControl.mTargets.end();) {
    if (at->second.mLeaseEnd <= aNow && at->second.mRunning == 0) {
      LogEvent(agent_event::TargetGone, at->first, "lease lapsed", aOut);
      RecordForgotten(aControl, at->second);
      at = aControl.mTargets.erase(at);
    } else {
      ++at;
    }
  }
}

bool
IsDue(const std::optional<core::instant>& aLast,
      core::instant aNow,
      core::duration aInterval)
{
  return !aLast || *aLast + aInterval <= aNow;
}

void
RequestPeerFences(agent_control& aControl, core::instant aNow, effects& aOut)
{
  auto& join = aControl.mJoin;
  if (join.mPhase != join_phase::Copying ||
      !IsDue(join.mLastPeerQuery, aNow, aControl.mSettings.mMaxRetry)) {
    return;
  }
  join.mLastPeerQuery = aNow;
  for (const auto& [agent, peer] : join.mPeers) {
    aOut.emplace_back(copy_fences_from{ agent, peer.mAddress });
  }
}

void
SyncMemberTable(agent_control& aControl, core::instant aNow, effects& aOut)
{
  const auto& settings = aControl.mSettings;
  if (aControl.mJoin.mPhase == join_phase::Registering) {
    if (IsDue(aControl.mLastRowWrite, aNow, settings.mMaxRetry)) {
      aControl.mLastRowWrite = aNow;
      aOut.emplace_back(write_row{});
    }
    return;
  }
  const bool isSettled =
    aControl.mJoin.mPhase == join_phase::Open &&
    (settings.mLeasedRuns
       ? !aControl.mEntries.mByAddress.empty()
       : IsFresh(aControl.mFreshness, aNow, settings.mFreshnessBound));
  const auto interval =
    isSettled ? settings.mIdleRowsInterval : settings.mRowsInterval;
  if (IsDue(aControl.mLastRowsRead, aNow, interval)) {
    aControl.mLastRowsRead = aNow;
    aOut.emplace_back(read_rows{});
  }
}

/**
 * Reads the configuration where an entry has a newer one, or where none has
 * confirmed it lately: the entries that are left may have no path to the table
 * service, or none may be left.
 */
void
RefreshConfiguration(agent_control& aControl, core::instant aNow, effects& aOut)
{
  const auto& settings = aControl.mSettings;
  auto& source = aControl.mSource;
  const bool isRecent =
    IsFresh(aControl.mFreshness, aNow, settings.mConfigurationAge);
  if (!settings.mLeasedRuns || (isRecent && !source.mIsBehind)) {
    return;
  }
  const auto interval = source.mIsBehind ? settings.mConfigurationRetry
                                         : settings.mConfigurationInterval;
  if (IsDue(source.mLastRead, aNow, interval)) {
    source.mLastRead = aNow;
    aOut.emplace_back(read_configuration{});
  }
}

} // namespace

void
SendPending(agent_control& aControl, core::instant aNow, effects& aOut)
{
  SendResults(aControl, aNow, aOut);
  SendLoadReports(aControl, aNow, aOut);
  LeaveIfDone(aControl, aOut);
}

void
LogEvent(agent_event aEvent,
         const std::string& aPeer,
         const std::string& aDetail,
         effects& aOut)
{
  log_event event;
  event.mEvent = aEvent;
  event.mPeer = aPeer;
  event.mDetail = aDetail;
  aOut.emplace_back(std::move(event));
}

void
OpenIfJoined(agent_control& aControl, core::instant aNow, effects& aOut)
{
  auto& join = aControl.mJoin;
  if (join.mPhase == join_phase::Copying &&
      MayOpen(join, aNow, aControl.mSettings.mDeduplicationWindow)) {
    join.mPhase = join_phase::Open;
    LogEvent(agent_event::Open, {}, {}, aOut);
    RequestAllReports(aControl.mEntries);
  }
}

void
Tick(agent_control& aControl, core::instant aNow, effects& aOut)
{
  Expire(aControl.mRecordStore, aNow, aControl.mSettings.mDeduplicationWindow);
  ExpireLeases(aControl, aNow, aOut);
  OpenIfJoined(aControl, aNow, aOut);
  SyncMemberTable(aControl, aNow, aOut);
  RefreshConfiguration(aControl, aNow, aOut);
  RequestPeerFences(aControl, aNow, aOut);
  ExpireGrants(aControl, aNow, aOut);
  TickLeases(aControl, aNow, aOut);
  SendPending(aControl, aNow, aOut);
}

void
Leave(agent_control& aControl, core::instant aNow, effects& aOut)
{
  if (!aControl.mLeaving) {
    aControl.mLeaving = true;
    LogEvent(agent_event::Leaving, {}, {}, aOut);
    RequestAllReports(aControl.mEntries);
    ReturnIneligibleTasks(aControl, aNow, aOut);
  }
  SendPending(aControl, aNow, aOut);
}

} // namespace gooseberry::agent
