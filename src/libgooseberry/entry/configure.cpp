#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

namespace gooseberry::entry {

namespace {

/** Tells all other processes of the current configuration; those that do not
 * read it themselves get it. */
void
BroadcastConfiguration(entry_control& aControl,
                       core::instant aNow,
                       effects& aEffects)
{
  SendHeartbeats(aControl, aNow, aEffects);
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    if (!view.mState.mReadsConfiguration &&
        view.mState.mGeneration < aControl.mRow.mConfiguration.mGeneration) {
      aEffects.emplace_back(push_configuration{
        name, view.mState.mAddress, aControl.mRow.mConfiguration });
    }
  }
}

/** Returns whether the change expects another generation than the current
 * one. */
bool
IsOutdated(const entry_control& aControl, const pending_apply& aApply)
{
  return aApply.mExpected &&
         *aApply.mExpected != aControl.mRow.mConfiguration.mGeneration;
}

apply_result
OutdatedResult(const entry_control& aControl)
{
  apply_result result;
  result.mStatus = apply_status::Conflict;
  result.mGeneration = aControl.mRow.mConfiguration.mGeneration;
  result.mBy = aControl.mRow.mBy;
  result.mError = { "apply configuration",
                    aControl.mRow.mBy,
                    "another change came first" };
  return result;
}

/**
 * Starts to write the first waiting change unless a write is in flight. Changes
 * that became outdated while they waited are refused.
 */
void
StartWrite(entry_control& aControl, effects& aEffects)
{
  std::erase_if(aControl.mApplies, [&](const pending_apply& aApply) {
    const bool isRefused =
      !aApply.mWriting && !aApply.mWritten && IsOutdated(aControl, aApply);
    if (isRefused) {
      aEffects.emplace_back(
        answer_operator{ aApply.mToken, OutdatedResult(aControl) });
    }
    return isRefused;
  });
  for (pending_apply& apply : aControl.mApplies) {
    if (apply.mWritten) {
      continue;
    }
    if (!apply.mWriting) {
      apply.mWriting = true;
      configuration_row row;
      row.mConfiguration = { aControl.mRow.mConfiguration.mGeneration + 1,
                             apply.mText };
      row.mRequest = apply.mRequest;
      row.mBy = aControl.mSelf.mName;
      row.mRowVersion = aControl.mRow.mRowVersion;
      aEffects.emplace_back(write_configuration{ std::move(row) });
    }
    return;
  }
}

configuration::in_force
InForce(const entry_control& aControl)
{
  return { { aControl.mRow.mConfiguration.mGeneration, aControl.mDigest },
           aControl.mConfirmedGeneration };
}

configuration::version
VersionOf(const core::versioned_configuration& aConfiguration)
{
  return { aConfiguration.mGeneration,
           configuration::Digest(aConfiguration.mText) };
}

/** Brings a configuration into force; returns whether it could be read. */
bool
BringIntoForce(entry_control& aControl,
               const core::versioned_configuration& aNewer,
               core::instant aNow,
               effects& aEffects)
{
  const auto parsed = configuration::Parse(aNewer.mText, "configuration");
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    Log(aEffects,
        "configuration_unreadable",
        { { "generation", std::to_string(aNewer.mGeneration) },
          { "reason", ToString(*error) } });
    return false;
  }
  aControl.mRow.mConfiguration = aNewer;
  aControl.mDigest = configuration::Digest(aNewer.mText);
  // Peers do not send the author; the next read of the store has it.
  aControl.mRow.mRequest.clear();
  aControl.mRow.mBy.clear();
  aControl.mDesired = std::get<configuration::desired_state>(parsed);
  target::SetConfiguration(aControl.mTargets, aControl.mDesired, aNow);
  Log(aEffects,
      "configuration_in_force",
      { { "generation", std::to_string(aNewer.mGeneration) } });
  BroadcastConfiguration(aControl, aNow, aEffects);
  Dispatch(aControl, aNow, aEffects);
  return true;
}

/**
 * Numbers the configuration in force by the last read that has confirmed it, so
 * that it replaces what processes hold that have missed its return.
 */
void
RenewGeneration(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  aControl.mRow.mConfiguration.mGeneration = aControl.mConfirmedGeneration;
  Log(aEffects,
      "configuration_renewed",
      { { "generation", std::to_string(aControl.mConfirmedGeneration) } });
  BroadcastConfiguration(aControl, aNow, aEffects);
}

/**
 * Adopts what a read of the operators' rows returned, if it is newer. Returns
 * whether it is in force now.
 */
bool
AdoptRead(entry_control& aControl,
          const core::versioned_configuration& aRead,
          core::instant aNow,
          effects& aEffects)
{
  const auto relation =
    configuration::CompareRead(InForce(aControl), VersionOf(aRead));
  if (relation == configuration::relation::Outdated) {
    return false;
  }
  const bool isInForce = relation == configuration::relation::Same ||
                         BringIntoForce(aControl, aRead, aNow, aEffects);
  if (isInForce) {
    aControl.mConfirmedGeneration = aRead.mGeneration;
  }
  return isInForce;
}

/** The configuration in force was read by a call sent at `aSentAt`. */
void
RecordStoreContact(entry_control& aControl, core::instant aSentAt)
{
  aControl.mLastContact =
    std::max(aControl.mLastContact.value_or(aSentAt), aSentAt);
}

/**
 * Obtains a newer configuration: from the table service, or, where this has not
 * answered lately, from the entry at this address, one at a time.
 */
void
ObtainConfiguration(entry_control& aControl,
                    const std::string& aAddress,
                    core::instant aNow,
                    effects& aEffects)
{
  constexpr core::duration kStoreContact = std::chrono::seconds(2);
  constexpr core::duration kReadGap = std::chrono::milliseconds(100);
  constexpr core::duration kAskGap = std::chrono::milliseconds(500);
  if (aControl.mLastContact && aNow - *aControl.mLastContact <= kStoreContact) {
    aControl.mNextConfiguration =
      std::min(aControl.mNextConfiguration,
               std::max(aNow, aControl.mLastConfigurationRead + kReadGap));
    return;
  }
  auto& askedAt = aControl.mConfigurationAskedAt;
  if (askedAt && aNow - *askedAt < kAskGap) {
    return;
  }
  askedAt = aNow;
  core::heartbeat beat = MakeHeartbeat(aControl, aNow);
  beat.mReadsConfiguration = false;
  aEffects.emplace_back(send_heartbeat{ aAddress, std::move(beat) });
}

/** Adopts the stored row if it is not older than the current one. */
void
AdoptRow(entry_control& aControl,
         const configuration_row& aRow,
         core::instant aNow,
         effects& aEffects)
{
  const core::generation present = aControl.mRow.mConfiguration.mGeneration;
  if (aRow.mConfiguration.mGeneration < present) {
    return;
  }
  AdoptConfiguration(aControl, aRow.mConfiguration, aNow, aEffects);
  if (aRow.mConfiguration.mGeneration ==
      aControl.mRow.mConfiguration.mGeneration) {
    aControl.mRow.mRequest = aRow.mRequest;
    aControl.mRow.mBy = aRow.mBy;
    aControl.mRow.mRowVersion = aRow.mRowVersion;
  }
}

/**
 * Returns whether a majority of the registered entries, with this one, has the
 * generation. Entries that are disconnected from this majority stop (R11).
 */
bool
IsKnownToMajority(const entry_control& aControl, core::generation aGeneration)
{
  const auto rows = membership::LiveEntryRows(aControl.mMembers);
  const auto known = static_cast<std::size_t>(std::count_if(
    rows.begin(), rows.end(), [&](const membership::member_row& aRow) {
      const auto found = aControl.mMembers.mEntries.find(aRow.mPeer.mName);
      return found != aControl.mMembers.mEntries.end() &&
             found->second.mPeer == aRow.mPeer &&
             found->second.mGeneration >= aGeneration;
    }));
  return 2 * (known + 1) > rows.size() + 1;
}

std::vector<std::string>
MembersWithout(const entry_control& aControl,
               core::generation aGeneration,
               core::instant aNow)
{
  std::vector<std::string> waiting;
  for (const membership::member_row& row : aControl.mMembers.mRows) {
    const std::string& name = row.mPeer.mName;
    if (row.mPeer == aControl.mSelf ||
        membership::HasEnded(aControl.mMembers, row) ||
        std::find(waiting.begin(), waiting.end(), name) != waiting.end()) {
      continue;
    }
    core::generation known = 0;
    if (row.mRole == membership::role::Entry) {
      const auto view = aControl.mMembers.mEntries.find(name);
      known =
        view == aControl.mMembers.mEntries.end() ? 0 : view->second.mGeneration;
    } else {
      const auto view = aControl.mMembers.mAgents.find(name);
      known = view == aControl.mMembers.mAgents.end()
                ? 0
                : view->second.mState.mGeneration;
    }
    if (known < aGeneration) {
      waiting.push_back(name);
    }
  }
  static_cast<void>(aNow);
  return waiting;
}

} // namespace

bool
AdoptConfiguration(entry_control& aControl,
                   const core::versioned_configuration& aNewer,
                   core::instant aNow,
                   effects& aEffects)
{
  switch (configuration::CompareSent(InForce(aControl), VersionOf(aNewer))) {
    case configuration::relation::Newer:
      return BringIntoForce(aControl, aNewer, aNow, aEffects);
    case configuration::relation::Renumbered:
      // All processes are told of the generation that operators wait for.
      return BringIntoForce(aControl, aNewer, aNow, aEffects);
    case configuration::relation::Outdated:
      RenewGeneration(aControl, aNow, aEffects);
      return false;
    case configuration::relation::Same:
      return false;
  }
  return false;
}

void
LearnOfConfiguration(entry_control& aControl,
                     const core::heartbeat& aBeat,
                     core::instant aNow,
                     effects& aEffects)
{
  const configuration::version heard{ aBeat.mGeneration, aBeat.mDigest };
  switch (configuration::CompareSent(InForce(aControl), heard)) {
    case configuration::relation::Newer:
      ObtainConfiguration(aControl, aBeat.mAddress, aNow, aEffects);
      return;
    case configuration::relation::Renumbered:
      aControl.mRow.mConfiguration.mGeneration = heard.mGeneration;
      return;
    case configuration::relation::Outdated:
      RenewGeneration(aControl, aNow, aEffects);
      return;
    case configuration::relation::Same:
      return;
  }
}

void
OnConfigurationRead(entry_control& aControl,
                    const configuration_row& aRow,
                    core::instant aSentAt,
                    core::instant aNow,
                    effects& aEffects)
{
  aControl.mStoreRead = true;
  if (aRow.mNumbering == configuration::numbering::Stored) {
    RecordStoreContact(aControl, aSentAt);
    AdoptRow(aControl, aRow, aNow, aEffects);
  } else if (AdoptRead(aControl, aRow.mConfiguration, aNow, aEffects)) {
    RecordStoreContact(aControl, aSentAt);
  }
}

void
TickGeneration(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  const core::generation own = aControl.mRow.mConfiguration.mGeneration;
  const auto& agents = aControl.mMembers.mAgents;
  const bool anyHoldsReplaced =
    std::any_of(agents.begin(), agents.end(), [&](const auto& aAgent) {
      const auto& view = aAgent.second;
      return aNow - view.mLastSeen <= aControl.mOptions.mAgentLost &&
             view.mState.mGeneration > own &&
             view.mState.mGeneration <= aControl.mConfirmedGeneration &&
             view.mState.mDigest != aControl.mDigest;
    });
  if (anyHoldsReplaced) {
    RenewGeneration(aControl, aNow, aEffects);
  }
}

void
OnApply(entry_control& aControl,
        std::uint64_t aToken,
        std::string aText,
        std::string aRequest,
        std::optional<core::generation> aExpected,
        core::instant aNow,
        effects& aEffects)
{
  apply_result result;
  result.mGeneration = aControl.mRow.mConfiguration.mGeneration;
  const auto parsed = configuration::Parse(aText, "configuration");
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    result.mStatus = apply_status::Invalid;
    result.mError = *error;
  } else if (!aControl.mStoreRead) {
    result.mStatus = apply_status::Unsettled;
    result.mError = { "apply configuration",
                      "table service",
                      "the stored configuration was not read yet" };
  } else {
    pending_apply apply;
    apply.mToken = aToken;
    apply.mText = std::move(aText);
    apply.mRequest = std::move(aRequest);
    apply.mExpected = aExpected;
    apply.mWaitingSince = aNow;
    aControl.mApplies.push_back(std::move(apply));
    StartWrite(aControl, aEffects);
    return;
  }
  aEffects.emplace_back(answer_operator{ aToken, result });
}

void
OnConfigurationWritten(entry_control& aControl,
                       const std::string& aRequest,
                       const write_result& aResult,
                       core::instant aNow,
                       effects& aEffects)
{
  const auto found = std::find_if(aControl.mApplies.begin(),
                                  aControl.mApplies.end(),
                                  [&aRequest](const pending_apply& aApply) {
                                    return aApply.mRequest == aRequest &&
                                           aApply.mWriting && !aApply.mWritten;
                                  });
  if (found == aControl.mApplies.end()) {
    return;
  }
  if (aResult.mStatus == apply_status::Applied) {
    found->mWritten = true;
    found->mGeneration = aResult.mRow.mConfiguration.mGeneration;
    found->mWaitingSince = aNow;
  } else if (aResult.mStatus == apply_status::Conflict &&
             aResult.mRow.mConfiguration.mGeneration ==
               aControl.mRow.mConfiguration.mGeneration) {
    // Only the version of the row was unknown here. Write again; StartWrite
    // refuses the change if it expects another generation.
    found->mWriting = false;
  } else {
    apply_result result;
    result.mStatus = aResult.mStatus;
    result.mBy = aResult.mRow.mBy;
    result.mError = aResult.mError;
    result.mGeneration = aResult.mRow.mConfiguration.mGeneration;
    aEffects.emplace_back(answer_operator{ found->mToken, result });
    aControl.mApplies.erase(found);
  }
  if (aResult.mStatus != apply_status::Unsettled) {
    AdoptRow(aControl, aResult.mRow, aNow, aEffects);
  }
  TickApplies(aControl, aNow, aEffects);
  StartWrite(aControl, aEffects);
}

void
OnAgentGeneration(entry_control& aControl,
                  const std::string& aAgent,
                  core::generation aGeneration,
                  core::instant aNow,
                  effects& aEffects)
{
  if (const auto view = aControl.mMembers.mAgents.find(aAgent);
      view != aControl.mMembers.mAgents.end()) {
    view->second.mState.mGeneration =
      std::max(view->second.mState.mGeneration, aGeneration);
  }
  TickApplies(aControl, aNow, aEffects);
}

void
TickApplies(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  std::erase_if(aControl.mApplies, [&](const pending_apply& aApply) {
    if (!aApply.mWritten) {
      return false;
    }
    apply_result result;
    result.mGeneration = aApply.mGeneration;
    result.mBy = aControl.mSelf.mName;
    result.mWaiting = MembersWithout(aControl, aApply.mGeneration, aNow);
    if (!result.mWaiting.empty() &&
        aNow - aApply.mWaitingSince < aControl.mOptions.mApplyTimeout) {
      return false;
    }
    if (!IsKnownToMajority(aControl, aApply.mGeneration)) {
      result.mStatus = apply_status::Unsettled;
      result.mError = { "apply configuration",
                        "entries",
                        "stored, but most entries have not confirmed it" };
    }
    aEffects.emplace_back(answer_operator{ aApply.mToken, result });
    return true;
  });
}

} // namespace gooseberry::entry
