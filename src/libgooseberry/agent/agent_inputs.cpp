#include "libgooseberry/agent/admission.h"
#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/agent/leased_runs.h"
#include "libgooseberry/agent/target_run.h"
#include "libgooseberry/agent/upkeep.h"

#include <algorithm>
#include <utility>

/** Events from peers other than starts, fences and cancellations. */
namespace gooseberry::agent {

namespace {

configuration::in_force
InForce(const agent_control& aControl)
{
  return { { aControl.mConfiguration.mGeneration, aControl.mDigest },
           aControl.mConfirmedGeneration };
}

/** Brings a configuration into force; returns whether it could be read. */
bool
Adopt(agent_control& aControl,
      const core::versioned_configuration& aNewer,
      core::instant aNow,
      effects& aOut)
{
  log_event event;
  event.mGeneration = aNewer.mGeneration;
  auto parsed = configuration::Parse(
    aNewer.mText, "generation " + std::to_string(aNewer.mGeneration));
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    event.mEvent = agent_event::ConfigurationRefused;
    event.mDetail = core::ToString(*error);
    aOut.emplace_back(std::move(event));
    return false;
  }
  aControl.mConfiguration = aNewer;
  aControl.mDigest = configuration::Digest(aNewer.mText);
  aControl.mSource.mIsBehind = false;
  aControl.mSource.mAskedEntry.clear();
  aControl.mDesired = std::move(std::get<configuration::desired_state>(parsed));
  event.mEvent = agent_event::Configuration;
  event.mDetail = IsOwnDomainIn(aControl) ? "domain in" : "domain out";
  aOut.emplace_back(std::move(event));
  ReturnIneligibleTasks(aControl, aNow, aOut);
  SendPending(aControl, aNow, aOut);
  return true;
}

/**
 * Asks the entry at this address for its configuration, where the table service
 * does not return it; one entry at a time.
 */
void
AskForConfiguration(agent_control& aControl,
                    const std::string& aAddress,
                    core::instant aNow)
{
  constexpr core::duration kAskGap = std::chrono::seconds(1);
  auto& source = aControl.mSource;
  // Without any configuration, nothing could be started until a read fails.
  const bool mayWait =
    !source.mHasReadFailed && aControl.mConfiguration.mGeneration > 0;
  if (mayWait ||
      (!source.mAskedEntry.empty() && aNow - source.mAskedAt < kAskGap)) {
    return;
  }
  source.mAskedEntry = aAddress;
  source.mAskedAt = aNow;
  if (const auto entry = aControl.mEntries.mByAddress.find(aAddress);
      entry != aControl.mEntries.mByAddress.end()) {
    entry->second.mReportDue = true;
  }
}

/** Handles what an entry says of its configuration. */
void
LearnOfConfiguration(agent_control& aControl,
                     const std::string& aAddress,
                     const core::entry_reply& aReply,
                     core::instant aNow)
{
  configuration::in_force known = InForce(aControl);
  configuration::TakeConfirmation(
    known, aReply.mDigest, aReply.mConfirmedGeneration);
  aControl.mConfirmedGeneration = known.mConfirmed;
  switch (
    configuration::CompareSent(known, { aReply.mGeneration, aReply.mDigest })) {
    case configuration::relation::Newer:
      aControl.mSource.mIsBehind = true;
      AskForConfiguration(aControl, aAddress, aNow);
      return;
    case configuration::relation::Renumbered:
      aControl.mConfiguration.mGeneration = aReply.mGeneration;
      return;
    case configuration::relation::Outdated:
      aControl.mConfiguration.mGeneration = aControl.mConfirmedGeneration;
      return;
    case configuration::relation::Same:
      return;
  }
}

/** Applies an entry's reply. It counts as contact only if the agent then has
 * the entry's configuration generation or a newer one. */
void
ApplyReply(agent_control& aControl,
           const std::string& aAddress,
           const core::entry_reply& aReply,
           core::instant aSentAt,
           core::instant aNow,
           effects& aOut)
{
  if (aReply.mConfiguration) {
    OnConfiguration(aControl, *aReply.mConfiguration, aNow, aOut);
  }
  if (aControl.mSettings.mLeasedRuns) {
    LearnOfConfiguration(aControl, aAddress, aReply, aNow);
  }
  if (aControl.mConfiguration.mGeneration >= aReply.mGeneration) {
    RecordContact(aControl.mFreshness, aSentAt, aReply.mLastContactAge);
  }
  for (const auto& [name, address] : aReply.mEntries) {
    FindOrAddEntry(aControl.mEntries, name, address, aNow);
  }
  const job_holder entry{ aAddress, aReply.mEntry.mIncarnation, aSentAt };
  CancelJobs(aControl, aReply.mCancelled, entry, aNow, aOut);
  RecordEntryContact(aControl, entry);
}

core::duration
RetryAfter(const control_settings& aSettings, std::uint32_t aFailures)
{
  constexpr std::uint32_t kMaxDoublings = 8;
  const auto wait =
    aSettings.mFirstRetry * (1U << std::min(aFailures, kMaxDoublings));
  return std::min<core::duration>(wait, aSettings.mMaxRetry);
}

} // namespace

core::generation
OnConfiguration(agent_control& aControl,
                const core::versioned_configuration& aConfiguration,
                core::instant aNow,
                effects& aOut)
{
  switch (configuration::CompareSent(
    InForce(aControl), configuration::VersionOf(aConfiguration))) {
    case configuration::relation::Newer:
    case configuration::relation::Renumbered:
      static_cast<void>(Adopt(aControl, aConfiguration, aNow, aOut));
      break;
    case configuration::relation::Outdated:
      aControl.mConfiguration.mGeneration = aControl.mConfirmedGeneration;
      break;
    case configuration::relation::Same:
      break;
  }
  return aControl.mConfiguration.mGeneration;
}

void
OnConfigurationRead(agent_control& aControl,
                    const core::versioned_configuration& aRead,
                    configuration::numbering aNumbering,
                    core::instant aSentAt,
                    core::instant aNow,
                    effects& aOut)
{
  aControl.mSource.mIsBehind = false;
  aControl.mSource.mHasReadFailed = false;
  if (aNumbering == configuration::numbering::Stored) {
    OnConfiguration(aControl, aRead, aNow, aOut);
    return;
  }
  const auto relation = configuration::CompareRead(
    InForce(aControl), configuration::VersionOf(aRead));
  if (relation == configuration::relation::Outdated) {
    return;
  }
  if (relation == configuration::relation::Same ||
      Adopt(aControl, aRead, aNow, aOut)) {
    aControl.mConfirmedGeneration = aRead.mGeneration;
    RecordContact(aControl.mFreshness, aSentAt, core::duration::zero());
  }
}

void
OnConfigurationReadFailed(agent_control& aControl)
{
  aControl.mSource.mHasReadFailed = true;
}

void
OnCopiedFences(agent_control& aControl,
               const core::peer_ref& aAskedPeer,
               const core::copy_fences_reply& aReply,
               core::instant aNow,
               effects& aOut)
{
  if (aReply.mAgent != aAskedPeer) {
    return;
  }
  for (const auto& promise : aReply.mPromises) {
    const auto* known = FindJob(aControl.mRecordStore, promise.mJob);
    if (known == nullptr || known->mBallot < promise.mBallot) {
      RaiseBallot(aControl,
                  promise.mJob,
                  promise.mBallot,
                  { promise.mHolder, 0, {} },
                  aNow,
                  aOut)
        .mFenced = true;
    }
  }
  RecordPeerAnswer(aControl.mJoin, aAskedPeer, aReply.mOpen);
  OpenIfJoined(aControl, aNow, aOut);
  SendPending(aControl, aNow, aOut);
}

void
OnRowWritten(agent_control& aControl, core::instant aNow, effects& aOut)
{
  auto& join = aControl.mJoin;
  if (join.mPhase == join_phase::Registering) {
    join.mPhase = join_phase::Copying;
    join.mRegisteredAt = aNow;
    LogEvent(agent_event::Joining, {}, {}, aOut);
  }
  Tick(aControl, aNow, aOut);
}

void
OnRows(agent_control& aControl,
       const std::vector<membership::member_row>& aRows,
       core::instant aNow,
       effects& aOut)
{
  for (const auto& row : aRows) {
    if (row.mRole == membership::role::Entry) {
      FindOrAddEntry(aControl.mEntries, row.mPeer.mName, row.mAddress, aNow);
    }
  }
  if (aControl.mJoin.mPhase == join_phase::Copying) {
    const bool isFirst = !aControl.mJoin.mRowsRead;
    RecordPeers(aControl.mJoin, aControl.mSettings.mAgent, aRows);
    if (isFirst) {
      aControl.mJoin.mLastPeerQuery.reset();
    }
  }
  Tick(aControl, aNow, aOut);
}

void
OnLoadReportAnswered(agent_control& aControl,
                     const std::string& aAddress,
                     const core::entry_reply& aReply,
                     core::instant aSentAt,
                     core::instant aNow,
                     effects& aOut)
{
  RecordReportEnd(aControl.mEntries, aAddress, true, aNow);
  ApplyReply(aControl, aAddress, aReply, aSentAt, aNow, aOut);
  SendPending(aControl, aNow, aOut);
}

void
OnLoadReportFailed(agent_control& aControl,
                   const std::string& aAddress,
                   core::instant aNow,
                   effects& aOut)
{
  RecordReportEnd(aControl.mEntries, aAddress, false, aNow);
  SendPending(aControl, aNow, aOut);
}

void
OnFinishAnswered(agent_control& aControl,
                 std::uint64_t aBatch,
                 const std::string& aAddress,
                 const core::entry_reply& aReply,
                 core::instant aSentAt,
                 core::instant aNow,
                 effects& aOut)
{
  const auto refuseUntil = aNow + RefusalRetention(aControl.mSettings);
  log_event event;
  event.mEvent = agent_event::ResultsAcknowledged;
  event.mPeer = aAddress;
  event.mCount = static_cast<std::uint32_t>(Acknowledge(
    aControl.mDelivery, aControl.mRecordStore, aBatch, refuseUntil));
  aOut.emplace_back(std::move(event));
  if (const auto entry = aControl.mEntries.mByAddress.find(aAddress);
      entry != aControl.mEntries.mByAddress.end()) {
    entry->second.mLastSeen = aNow;
  }
  ApplyReply(aControl, aAddress, aReply, aSentAt, aNow, aOut);
  SendPending(aControl, aNow, aOut);
}

void
OnFinishFailed(agent_control& aControl,
               std::uint64_t aBatch,
               core::instant aNow,
               effects& aOut)
{
  const auto wait = RetryAfter(aControl.mSettings,
                               ConsecutiveFailures(aControl.mDelivery, aBatch));
  Requeue(aControl.mDelivery, aControl.mRecordStore, aBatch, aNow + wait);
  SendPending(aControl, aNow, aOut);
}

} // namespace gooseberry::agent
