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

/** How an agent joins: it writes its row, copies the fences of an open peer,
 * and then accepts starts (R6). */
namespace gooseberry::agent {

enum class join_phase : std::uint8_t
{
  Registering, ///< The agent's row is not known to be written.
  Copying,     ///< Requests the fences of the other agents.
  Open,
};
inline constexpr core::enum_names<join_phase, 3> kJoinPhaseNames{
  { "registering", "copying", "open" }
};

enum class join_answer : std::uint8_t
{
  None,    ///< No answer, or another incarnation has the address now.
  Joining, ///< Sent its fences, and is joining too.
  Open,    ///< Sent its fences; one such answer is enough.
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
  /** When the agent's row was known to be written; later fences reach the
   * agent. */
  std::optional<core::instant> mRegisteredAt;
  bool mRowsRead = false; ///< After the agent's row was written.
  std::map<core::peer_ref, join_peer> mPeers;
  std::optional<core::instant> mLastPeerQuery;
};

/** Replaces the peers by the other agents in rows that were read after the
 * agent's row was written. Known answers stay. */
void
RecordPeers(join_state& aJoin,
            const core::peer_ref& aSelf,
            const std::vector<membership::member_row>& aRows);

/** Records that an agent answered with its fences. */
void
RecordPeerAnswer(join_state& aJoin, const core::peer_ref& aPeer, bool aIsOpen);

/**
 * Returns whether the agent may open: an open peer sent its fences, or every
 * other registered incarnation is joining too and sent its own, or the window
 * has passed since the agent's row was written.
 */
bool
MayOpen(const join_state& aJoin, core::instant aNow, core::duration aWindow);

} // namespace gooseberry::agent
