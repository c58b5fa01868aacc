#pragma once

#include "libgooseberry/core/time.h"

#include <optional>

namespace gooseberry::agent {

/** The agent's evidence that it knows the newest configuration (R11). */
struct freshness
{
  std::optional<core::instant> mLastContact;
};

/**
 * An entry answered a call that was sent at `aSentAt`, with evidence of age
 * `aEntryAge` of its own; none where the entry has lost touch.
 */
void
RecordContact(freshness& aFreshness,
              core::instant aSentAt,
              std::optional<core::duration> aEntryAge);

bool
IsFresh(const freshness& aFreshness, core::instant aNow, core::duration aBound);

/** Whether a start that echoes `aTimestamp` of the agent's clock is recent. */
bool
IsTimestampFresh(core::instant aTimestamp,
                 core::instant aNow,
                 core::duration aBound);

} // namespace gooseberry::agent
