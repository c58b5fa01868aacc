#include "libgooseberry/agent/joining.h"

#include <algorithm>
#include <utility>

namespace gooseberry::agent {

void
RecordPeers(join_state& aJoin,
            const core::peer_ref& aSelf,
            const std::vector<membership::member_row>& aRows)
{
  std::map<core::peer_ref, join_peer> peers;
  for (const auto& row : aRows) {
    if (row.mRole != membership::role::Agent || row.mPeer == aSelf) {
      continue;
    }
    const auto known = aJoin.mPeers.find(row.mPeer);
    const auto answer =
      known == aJoin.mPeers.end() ? join_answer::None : known->second.mAnswer;
    peers.emplace(row.mPeer, join_peer{ row.mAddress, answer });
  }
  aJoin.mPeers = std::move(peers);
  aJoin.mRowsRead = true;
}

void
RecordPeerAnswer(join_state& aJoin, const core::peer_ref& aPeer, bool aIsOpen)
{
  if (const auto peer = aJoin.mPeers.find(aPeer); peer != aJoin.mPeers.end()) {
    peer->second.mAnswer = aIsOpen ? join_answer::Open : join_answer::Joining;
  }
}

bool
MayOpen(const join_state& aJoin, core::instant aNow, core::duration aWindow)
{
  if (!aJoin.mRegisteredAt) {
    return false;
  }
  if (aNow - *aJoin.mRegisteredAt >= aWindow) {
    return true;
  }
  const auto answered = [&](join_answer aAnswer) {
    return
      [aAnswer](const auto& aPeer) { return aPeer.second.mAnswer == aAnswer; };
  };
  const auto& peers = aJoin.mPeers;
  return aJoin.mRowsRead &&
         (std::any_of(
            peers.begin(), peers.end(), answered(join_answer::Open)) ||
          std::all_of(
            peers.begin(), peers.end(), answered(join_answer::Joining)));
}

} // namespace gooseberry::agent
