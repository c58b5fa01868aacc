#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

namespace gooseberry::entry {

namespace {

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
