#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

/** How an entry knows that its configuration is the newest one. */
namespace gooseberry::entry {

namespace {

void
RaiseTo(std::optional<core::instant>& aTime, core::instant aLater)
{
  aTime = std::max(aTime.value_or(aLater), aLater);
}

} // namespace

void
RecordOwnRead(entry_control& aControl, core::instant aSentAt)
{
  RaiseTo(aControl.mLastRead, aSentAt);
  RaiseTo(aControl.mLastContact, aSentAt);
}

void
RecordPassedEvidence(entry_control& aControl,
                     const core::heartbeat& aReply,
                     core::instant aSentAt)
{
  const bool hasSame =
    aReply.mDigest != 0 && aReply.mDigest == aControl.mDigest;
  if (!aControl.mOptions.mLeasedRuns || !hasSame || !aReply.mEvidenceAge ||
      *aReply.mEvidenceAge < core::duration::zero()) {
    return;
  }
  RaiseTo(aControl.mLastContact, aSentAt - *aReply.mEvidenceAge);
}

core::duration
ConfigurationAge(const entry_control& aControl, core::instant aNow)
{
  return aNow - aControl.mLastContact.value_or(aControl.mStartedAt);
}

bool
IsConfigurationRecent(const entry_control& aControl, core::instant aNow)
{
  return aControl.mRow.mConfiguration.mGeneration > 0 &&
         aControl.mLastContact.has_value() &&
         ConfigurationAge(aControl, aNow) <= aControl.mOptions.mFreshnessBound;
}

} // namespace gooseberry::entry
