#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/membership/members.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** How an agent joins: row, fences of an open peer, then starts (R6). */
namespace gooseberry::agent {

enum class join_phase : std::uint8_t
{
  Registering, ///< The own row is not known to be written.
  Copying,     ///< Asks the other agents for their fences.
  Open,
};
inline constexpr core::enum_names<join_phase, 3> kJoinPhaseNames{
  { "registering", "copying", "open" }
};

enum class join_answer : std::uint8_t
{
  None,    ///< Silent, or its address is another incarnation's by now.
  Joining, ///< Gave its fences, and is joining too.
  Open,    ///< Gave its fences; one such answer is enough.
};

/** Another registered agent incarnation. */
struct join_peer
{
  std::string mAddress;
  join_answer mAnswer = join_answer::None;
};

struct join_state
{
  join_phase mPhase = join_phase::Registering;
  /** When the own row was known to be written; later fences reach us. */
  std::optional<core::instant> mRegisteredAt;
  bool mRowsRead = false; ///< After the own row was written.
  std::map<core::peer_ref, join_peer> mPeers;
  std::optional<core::instant> mLastPeerQuery;
};

/** Takes over the other agents from rows that were read after the own row
 * was written. */
void
RecordPeers(join_state& aJoin,
            const core::peer_ref& aSelf,
            const std::vector<membership::member_row>& aRows);

/** An agent answered with its fences. */
void
RecordPeerAnswer(join_state& aJoin, const core::peer_ref& aPeer, bool aIsOpen);

/**
 * Whether the agent may open: an open peer gave its fences, or every other
 * registered incarnation is joining too and gave its own, or the window has
 * passed since the own row was written.
 */
bool
MayOpen(const join_state& aJoin, core::instant aNow, core::duration aWindow);

} // namespace gooseberry::agent
