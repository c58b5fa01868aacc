#pragma once

#include "libgooseberry/core/time.h"

#include <optional>

namespace gooseberry::agent {

/** The last time at which the agent is known to have had the newest
 * configuration (R11). */
struct freshness
{
  std::optional<core::instant> mLastContact;
};

/** Records that an entry answered a call sent at `aSentAt`. `aEntryAge` is the
 * age of the entry's own last contact; none if the entry has lost contact. */
void
RecordContact(freshness& aFreshness,
              core::instant aSentAt,
              std::optional<core::duration> aEntryAge);

bool
IsFresh(const freshness& aFreshness, core::instant aNow, core::duration aBound);

/** Returns whether a start that echoes `aTimestamp` of the agent's clock is
 * recent. */
bool
IsTimestampFresh(core::instant aTimestamp,
                 core::instant aNow,
                 core::duration aBound);

} // namespace gooseberry::agent
