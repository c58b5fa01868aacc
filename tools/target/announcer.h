#pragma once

#include "target/target.h"

namespace gooseberry::tools::target {

/** Body of the announcement to the agent. */
std::string
Announcement(const target_settings& aSettings);

/**
 * Announces the target to its agent and renews the lease until it stops or
 * leaves. Runs on a thread of its own.
 */
void
KeepAnnounced(target_state& aTarget);

/** Tells the agent that the target takes nothing new. */
void
Leave(target_state& aTarget);

/** Undoes `Leave`. */
void
Return(target_state& aTarget);

} // namespace gooseberry::tools::target
