#include "libgooseberry/core/decimal.h"
#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

/** How a configuration comes into force at an entry. */
namespace gooseberry::entry {

namespace {

/** Where this entry has got a configuration from. */
enum class origin : std::uint8_t
{
  Store, ///< A read of its own.
  Entry, ///< Another entry.
};
constexpr core::enum_names<origin, 2> kOriginNames{ { "store", "entry" } };

/** Tells all other processes of the current configuration. */
void
BroadcastConfiguration(entry_control& aControl,
                       core::instant aNow,
                       effects& aEffects)
{
  SendHeartbeats(aControl, aNow, aEffects);
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    if (IsSentTo(aControl, view.mState.mReadsConfiguration) &&
        view.mState.mGeneration < aControl.mRow.mConfiguration.mGeneration) {
      aEffects.emplace_back(push_configuration{
        name, view.mState.mAddress, aControl.mRow.mConfiguration });
    }
  }
}

configuration::in_force
InForce(const entry_control& aControl)
{
  return { { aControl.mRow.mConfiguration.mGeneration, aControl.mDigest },
           aControl.mConfirmedGeneration };
}

/** Brings a configuration into force; returns whether it could be read. */
bool
BringIntoForce(entry_control& aControl,
               const core::versioned_configuration& aNewer,
               origin aOrigin,
               core::instant aNow,
               effects& aEffects)
{
  const auto parsed = configuration::Parse(aNewer.mText, "configuration");
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    Log(aEffects,
        "configuration_unreadable",
        { { "generation", std::to_string(aNewer.mGeneration) },
          { "from", std::string(kOriginNames.NameOf(aOrigin)) },
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
      { { "generation", std::to_string(aNewer.mGeneration) },
        { "digest", std::to_string(aControl.mDigest) },
        { "from", std::string(kOriginNames.NameOf(aOrigin)) },
        { "read_age_ms",
          core::FormatMilliseconds(ConfigurationAge(aControl, aNow)) },
        { "queues", std::to_string(aControl.mDesired.mQueues.size()) },
        { "bytes", std::to_string(aNewer.mText.size()) } });
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
  const auto relation = configuration::CompareRead(
    InForce(aControl), configuration::VersionOf(aRead));
  if (relation == configuration::relation::Outdated) {
    return false;
  }
  const bool isInForce =
    relation == configuration::relation::Same ||
    BringIntoForce(aControl, aRead, origin::Store, aNow, aEffects);
  if (isInForce) {
    aControl.mConfirmedGeneration = aRead.mGeneration;
  }
  return isInForce;
}

/**
 * Asks the entry at this address for its configuration, one entry at a time,
 * where the regular reads of the table service do not bring it.
 */
void
AskForConfiguration(entry_control& aControl,
                    const std::string& aAddress,
                    core::instant aNow,
                    effects& aEffects)
{
  constexpr core::duration kStoreContact = std::chrono::seconds(1);
  constexpr core::duration kAskGap = std::chrono::milliseconds(500);
  const auto& read = aControl.mLastRead;
  auto& askedAt = aControl.mConfigurationAskedAt;
  if ((read && aNow - *read <= kStoreContact) ||
      (askedAt && aNow - *askedAt < kAskGap)) {
    return;
  }
  askedAt = aNow;
  core::heartbeat beat = MakeHeartbeat(aControl, aNow);
  beat.mReadsConfiguration = false;
  aEffects.emplace_back(send_heartbeat{ aAddress, std::move(beat) });
}

} // namespace

bool
IsSentTo(const entry_control& aControl, bool aReadsItself)
{
  return !aReadsItself || aControl.mRow.mConfiguration.mText.size() <=
                            configuration::kMaxSentBytes;
}

bool
AdoptConfiguration(entry_control& aControl,
                   const core::versioned_configuration& aNewer,
                   core::instant aNow,
                   effects& aEffects)
{
  switch (configuration::CompareSent(InForce(aControl),
                                     configuration::VersionOf(aNewer))) {
    case configuration::relation::Newer:
    case configuration::relation::Renumbered: // Operators wait for the number.
      return BringIntoForce(aControl, aNewer, origin::Entry, aNow, aEffects);
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
  configuration::in_force known = InForce(aControl);
  configuration::TakeConfirmation(
    known, aBeat.mDigest, aBeat.mConfirmedGeneration);
  aControl.mConfirmedGeneration = known.mConfirmed;
  const configuration::version heard{ aBeat.mGeneration, aBeat.mDigest };
  switch (configuration::CompareSent(InForce(aControl), heard)) {
    case configuration::relation::Newer:
      AskForConfiguration(aControl, aBeat.mAddress, aNow, aEffects);
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

void
OnConfigurationRead(entry_control& aControl,
                    const configuration_row& aRow,
                    core::instant aSentAt,
                    core::instant aNow,
                    effects& aEffects)
{
  aControl.mStoreRead = true;
  if (aRow.mNumbering == configuration::numbering::Stored) {
    RecordOwnRead(aControl, aSentAt);
    AdoptRow(aControl, aRow, aNow, aEffects);
  } else if (AdoptRead(aControl, aRow.mConfiguration, aNow, aEffects)) {
    RecordOwnRead(aControl, aSentAt);
  }
}

void
OnConfigurationReadFailed(entry_control& aControl,
                          const core::error& aError,
                          core::instant aSentAt,
                          core::instant aNow,
                          effects& aEffects)
{
  Log(aEffects,
      "configuration_read_failed",
      { { "ms", core::FormatMilliseconds(aNow - aSentAt) },
        { "read_age_ms",
          core::FormatMilliseconds(ConfigurationAge(aControl, aNow)) },
        { "step", aError.mStep },
        { "peer", aError.mPeer },
        { "reason", aError.mReason } });
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

} // namespace gooseberry::entry
