#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"
#include "libgooseberry/lease/settings.h"
#include "libgooseberry/quota/team_share.h"

#include <algorithm>

namespace gooseberry::entry {

namespace {

/** Recomputes this entry's share of each team's quota. */
void
UpdateTeamShares(entry_control& aControl, core::instant aNow)
{
  aControl.mTeamShares.clear();
  for (const auto& [name, team] : aControl.mDesired.mTeams) {
    if (team.mQuotaSlots == 0) {
      continue;
    }
    std::vector<core::team_use> others;
    std::size_t rank = 0;
    for (const auto& [entry, view] : aControl.mMembers.mEntries) {
      if (aNow - view.mLastSeen > aControl.mOptions.mAgentLost) {
        continue;
      }
      const auto use = view.mTeams.find(name);
      rank += entry < aControl.mSelf.mName ? 1 : 0;
      others.push_back(use == view.mTeams.end() ? core::team_use{}
                                                : use->second);
    }
    const auto own = aControl.mTeams.find(name);
    aControl.mTeamShares[name] = quota::TeamShare(
      team.mQuotaSlots,
      own == aControl.mTeams.end() ? core::team_use{} : own->second,
      others,
      rank);
  }
}

/** Returns the agents in contact, with the generation that each reported. */
std::map<std::string, core::generation>
AgentsInContact(const entry_control& aControl, core::instant aNow)
{
  std::map<std::string, core::generation> agents;
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    if (aNow - view.mLastSeen <= aControl.mOptions.mAgentLost) {
      agents.emplace(name, view.mState.mGeneration);
    }
  }
  return agents;
}

/** Returns the current configuration if it is newer than the peer's. */
std::optional<core::versioned_configuration>
NewerThan(const entry_control& aControl, core::generation aGeneration)
{
  if (aControl.mRow.mConfiguration.mGeneration <= aGeneration) {
    return std::nullopt;
  }
  return aControl.mRow.mConfiguration;
}

} // namespace

core::heartbeat
MakeHeartbeat(const entry_control& aControl, core::instant aNow)
{
  core::heartbeat beat;
  beat.mEntry = aControl.mSelf;
  beat.mAddress = aControl.mOptions.mAddress;
  beat.mGeneration = aControl.mRow.mConfiguration.mGeneration;
  beat.mDigest = aControl.mDigest;
  beat.mReadsConfiguration = aControl.mOptions.mLeasedRuns;
  if (aControl.mOptions.mLeasedRuns && aControl.mLastContact) {
    beat.mEvidenceAge = aNow - *aControl.mLastContact;
  }
  beat.mConfirmedGeneration = aControl.mConfirmedGeneration;
  for (const auto& [name, use] : aControl.mTeams) {
    if (use.mRunning > 0 || use.mWaiting > 0) {
      beat.mTeams.emplace(name, use);
    }
  }
  beat.mLeaving = aControl.mLeaving;
  beat.mBusy = quota::IsBusy(aControl.mQueueDelay, aNow);
  beat.mFailureDomain = aControl.mOptions.mFailureDomain;
  beat.mMillicores = aControl.mOptions.mMillicores;
  beat.mJobsPerSecond = aControl.mJobMeter.mJobsPerSecond;
  // Under leases, agents have no rows that contact with them could keep.
  if (!aControl.mOptions.mLeasedRuns) {
    beat.mAgents = AgentsInContact(aControl, aNow);
  }
  return beat;
}

void
SendHeartbeats(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  UpdateTeamShares(aControl, aNow);
  const core::heartbeat beat = MakeHeartbeat(aControl, aNow);
  std::set<std::string> asked;
  for (const membership::member_row& row :
       membership::OtherRows(aControl.mMembers, membership::role::Entry)) {
    if (row.mPeer.mName != aControl.mSelf.mName &&
        asked.insert(row.mAddress).second) {
      aEffects.emplace_back(send_heartbeat{ row.mAddress, beat });
    }
  }
}

namespace {

/** Records a heartbeat or reply; logs the first of a row of implausible rates.
 */
void
RecordPeer(entry_control& aControl,
           const core::heartbeat& aBeat,
           core::instant aNow,
           effects& aEffects)
{
  ++aControl.mCounters.mHeartbeats;
  membership::RecordHeartbeat(aControl.mMembers, aBeat, aNow);
  const auto view = aControl.mMembers.mEntries.find(aBeat.mEntry.mName);
  if (view == aControl.mMembers.mEntries.end() ||
      view->second.mRatesDropped == 0) {
    return;
  }
  ++aControl.mCounters.mRatesDropped;
  if (view->second.mRatesDropped == 1) {
    Log(aEffects,
        "heartbeat_rate_dropped",
        { { "entry", ToString(aBeat.mEntry) },
          { "jobs_per_second",
            core::FormatDecimal(aBeat.mJobsPerSecond.value_or(0)) } });
  }
}

} // namespace

core::heartbeat
OnHeartbeat(entry_control& aControl,
            const core::heartbeat& aBeat,
            core::instant aNow,
            effects& aEffects)
{
  RecordPeer(aControl, aBeat, aNow, aEffects);
  if (aControl.mOptions.mLeasedRuns) {
    LearnOfConfiguration(aControl, aBeat, aNow, aEffects);
  } else if (aBeat.mGeneration > aControl.mRow.mConfiguration.mGeneration) {
    // The reply to this heartbeat contains the newer configuration.
    aEffects.emplace_back(
      send_heartbeat{ aBeat.mAddress, MakeHeartbeat(aControl, aNow) });
  }
  core::heartbeat reply = MakeHeartbeat(aControl, aNow);
  if (IsSentTo(aControl, aBeat.mReadsConfiguration)) {
    reply.mConfiguration = NewerThan(aControl, aBeat.mGeneration);
  }
  return reply;
}

void
OnHeartbeatReply(entry_control& aControl,
                 const core::heartbeat& aReply,
                 core::instant aSentAt,
                 core::instant aNow,
                 effects& aEffects)
{
  RecordPeer(aControl, aReply, aNow, aEffects);
  const auto view = aControl.mMembers.mEntries.find(aReply.mEntry.mName);
  // A peer without a configuration cannot confirm that there is no newer one.
  if (view != aControl.mMembers.mEntries.end() &&
      view->second.mPeer == aReply.mEntry && aReply.mGeneration > 0) {
    view->second.mAnsweredAt =
      std::max(view->second.mAnsweredAt.value_or(aSentAt), aSentAt);
  }
  // Under leases, operators may write their rows without any entry.
  if (const auto contactAt = membership::LastMajorityContact(aControl.mMembers);
      contactAt && !aControl.mOptions.mLeasedRuns) {
    aControl.mLastContact =
      std::max(aControl.mLastContact.value_or(*contactAt), *contactAt);
  }
  if (aReply.mConfiguration) {
    AdoptConfiguration(aControl, *aReply.mConfiguration, aNow, aEffects);
  }
  if (aControl.mOptions.mLeasedRuns) {
    LearnOfConfiguration(aControl, aReply, aNow, aEffects);
  }
  RecordPassedEvidence(aControl, aReply, aSentAt);
}

namespace {

/** Returns the addresses of this entry and all known entries, by name. */
std::map<std::string, std::string>
EntryAddresses(const entry_control& aControl)
{
  std::map<std::string, std::string> addresses{
    { aControl.mSelf.mName, aControl.mOptions.mAddress }
  };
  for (const auto& [name, view] : aControl.mMembers.mEntries) {
    addresses[name] = view.mAddress;
  }
  return addresses;
}

/**
 * Returns whether this reply to an agent includes the list of entries, and
 * records the time if so. Each batch of results gets a reply, and the list
 * grows with the number of entries, so only few replies include it. A later
 * reply makes up for a lost one.
 */
bool
ShouldIncludeEntries(entry_control& aControl,
                     const core::peer_ref& aAgent,
                     core::instant aNow)
{
  constexpr core::duration kEntryListInterval = std::chrono::milliseconds(450);
  const auto agent = aControl.mMembers.mAgents.find(aAgent.mName);
  if (agent == aControl.mMembers.mAgents.end()) {
    return true;
  }
  auto& sentAt = agent->second.mEntriesSentAt;
  if (sentAt && aNow - *sentAt < kEntryListInterval) {
    return false;
  }
  sentAt = aNow;
  return true;
}

} // namespace

core::entry_reply
MakeReply(entry_control& aControl,
          const core::agent_state& aState,
          core::instant aNow)
{
  core::entry_reply reply;
  reply.mEntry = aControl.mSelf;
  reply.mGeneration = aControl.mRow.mConfiguration.mGeneration;
  if (aControl.mLastContact && IsFresh(aControl, aNow)) {
    reply.mLastContactAge = aNow - *aControl.mLastContact;
  }
  reply.mDigest = aControl.mDigest;
  reply.mConfirmedGeneration = aControl.mConfirmedGeneration;
  if (IsSentTo(aControl, aState.mReadsConfiguration)) {
    reply.mConfiguration = NewerThan(aControl, aState.mGeneration);
  }
  if (ShouldIncludeEntries(aControl, aState.mAgent, aNow)) {
    reply.mEntries = EntryAddresses(aControl);
  }
  reply.mCancelled = Unconfirmed(aControl.mCancellations, aState.mAddress);
  return reply;
}

namespace {

/**
 * Returns whether a message comes from an earlier process of the agent than the
 * known one. The timestamps are of the host's clock, which continues over a
 * restart of the process. An agent without recent contact may have been on a
 * host whose clock has been reset since.
 */
bool
IsFromEarlierProcess(const entry_control& aControl,
                     const membership::agent_view& aView,
                     const core::agent_state& aState,
                     core::instant aNow)
{
  return aState.mTimestamp < aView.mState.mTimestamp &&
         aNow - aView.mLastSeen <= aControl.mOptions.mAgentLost;
}

/**
 * Keeps the jobs that a replaced process of an agent named as in doubt.
 *
 * Load pattern: agents and targets are restarted while targets leave starts
 * unanswered; a target's next process carries out a start of the agent's
 * process before.
 */
void
KeepJobsInDoubt(entry_control& aControl,
                const membership::agent_view& aEnded,
                core::instant aNow,
                effects& aEffects)
{
  const std::size_t dropped = membership::KeepJobsInDoubt(
    aControl.mMembers, aEnded, aNow, lease::kCallLifetime);
  if (!aEnded.mState.mJobsInDoubt.empty()) {
    Log(aEffects,
        "jobs_in_doubt_kept",
        { { "agent", ToString(aEnded.mState.mAgent) },
          { "jobs", std::to_string(aEnded.mState.mJobsInDoubt.size()) },
          { "dropped", std::to_string(dropped) } });
  }
}

} // namespace

void
RecordAgentState(entry_control& aControl,
                 const core::agent_state& aState,
                 core::instant aNow,
                 effects& aEffects)
{
  if (aControl.mEndedRuns.contains(aState.mAgent)) {
    return;
  }
  membership::agent_view& view = aControl.mMembers.mAgents[aState.mAgent.mName];
  const bool known = view.mState.mAgent.mIncarnation != 0;
  if (known && view.mState.mAgent != aState.mAgent) {
    if (IsFromEarlierProcess(aControl, view, aState, aNow)) {
      return;
    }
    const core::peer_ref ended = view.mState.mAgent;
    view.mEntriesSentAt.reset();
    aControl.mEndedRuns.insert(ended);
    Log(aEffects,
        "agent_replaced",
        { { "ended", ToString(ended) }, { "agent", ToString(aState.mAgent) } });
    if (aControl.mOptions.mLeasedRuns) {
      KeepJobsInDoubt(aControl, view, aNow, aEffects);
    } else {
      OnAgentEnded(aControl, ended.mName, ended, aNow, aEffects);
    }
  } else if (known && aState.mTimestamp < view.mState.mTimestamp) {
    return; // A later message has already arrived.
  }
  view.mState = aState;
  view.mLastSeen = aNow;
  target::Observe(aControl.mTargets, aState, aNow);
  const bool takesStarts =
    std::any_of(aState.mTargets.begin(),
                aState.mTargets.end(),
                [](const auto& aTarget) { return !aTarget.mLeaving; });
  if (aControl.mOptions.mLeasedRuns && takesStarts) {
    EndEarlierRuns(aControl, aState.mAgent, aNow, aEffects);
  }
}

core::entry_reply
OnAnnounce(entry_control& aControl,
           const core::agent_state& aState,
           core::instant aNow,
           effects& aEffects)
{
  ++aControl.mCounters.mAnnounces;
  RecordAgentState(aControl, aState, aNow, aEffects);
  Dispatch(aControl, aNow, aEffects);
  return MakeReply(aControl, aState, aNow);
}

namespace {

std::string
AddressOf(const entry_control& aControl,
          membership::role aRole,
          const core::peer_ref& aPeer)
{
  for (const membership::member_row& row : aControl.mMembers.mRows) {
    if (row.mRole == aRole && row.mPeer == aPeer) {
      return row.mAddress;
    }
  }
  return aRole == membership::role::Entry
           ? membership::EntryAddress(aControl.mMembers, aPeer.mName)
           : std::string();
}

} // namespace

void
OnCancelAnswered(entry_control& aControl,
                 const std::string& aAgentAddress,
                 const std::vector<std::string>& aJobs)
{
  Confirm(aControl.mCancellations, aAgentAddress, aJobs);
}

void
OnCancelFailed(entry_control& aControl,
               const std::string& aAgentAddress,
               const std::vector<std::string>& aJobs)
{
  SendAgain(aControl.mCancellations, aAgentAddress, aJobs);
}

void
FlushOutboxes(entry_control& aControl, effects& aEffects)
{
  for (auto& [entry, requests] : aControl.mLocateOutbox) {
    aControl.mCounters.mLocates += requests.size();
    aEffects.emplace_back(
      send_locate{ entry,
                   AddressOf(aControl, membership::role::Entry, entry),
                   std::move(requests) });
  }
  aControl.mLocateOutbox.clear();
  for (auto& [agent, requests] : aControl.mFenceOutbox) {
    aControl.mCounters.mFences += requests.size();
    aEffects.emplace_back(
      send_fence{ agent,
                  AddressOf(aControl, membership::role::Agent, agent),
                  std::move(requests) });
  }
  aControl.mFenceOutbox.clear();
  for (auto& [address, jobs] : ClaimUnsent(aControl.mCancellations)) {
    aControl.mCounters.mCancels += jobs.size();
    aEffects.emplace_back(send_cancel{
      address,
      { aControl.mSelf, std::move(jobs), aControl.mOptions.mAddress } });
  }
  for (auto& [address, answers] : aControl.mDeliverOutbox) {
    aEffects.emplace_back(
      send_deliver{ address, { aControl.mSelf, std::move(answers) } });
  }
  aControl.mDeliverOutbox.clear();
}

} // namespace gooseberry::entry
