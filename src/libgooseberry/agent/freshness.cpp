#include "libgooseberry/agent/freshness.h"

#include <algorithm>

namespace gooseberry::agent {

void
NoteEvidence(freshness& aFreshness,
             core::instant aSentAt,
             std::optional<core::duration> aEntryAge)
{
  if (!aEntryAge || *aEntryAge < core::duration::zero()) {
    return;
  }
  const auto evidence = aSentAt - *aEntryAge;
  aFreshness.mEvidence =
    std::max(aFreshness.mEvidence.value_or(evidence), evidence);
}

bool
IsFresh(const freshness& aFreshness, core::instant aNow, core::duration aBound)
{
  return aFreshness.mEvidence && aNow - *aFreshness.mEvidence <= aBound;
}

bool
IsStampFresh(core::instant aStamp, core::instant aNow, core::duration aBound)
{
  return aStamp <= aNow && aNow - aStamp <= aBound;
}

} // namespace gooseberry::agent
