#include "libgooseberry/agent/freshness.h"

#include <algorithm>

namespace gooseberry::agent {

void
RecordContact(freshness& aFreshness,
              core::instant aSentAt,
              std::optional<core::duration> aEntryAge)
{
  if (!aEntryAge || *aEntryAge < core::duration::zero()) {
    return;
  }
  const auto contact = aSentAt - *aEntryAge;
  aFreshness.mLastContact =
    std::max(aFreshness.mLastContact.value_or(contact), contact);
}

bool
IsFresh(const freshness& aFreshness, core::instant aNow, core::duration aBound)
{
  return aFreshness.mLastContact && aNow - *aFreshness.mLastContact <= aBound;
}

bool
IsTimestampFresh(core::instant aTimestamp,
                 core::instant aNow,
                 core::duration aBound)
{
  return aTimestamp <= aNow && aNow - aTimestamp <= aBound;
}

} // namespace gooseberry::agent
