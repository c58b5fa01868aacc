#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry::membership {

/** What a registered process does. */
enum class role : std::uint8_t
{
  Entry,
  Agent,
};
inline constexpr core::enum_names<role, 2> kRoleNames{ { "entry", "agent" } };

/** One row of the table `members`: one run of one process. */
struct member_row
{
  role mRole = role::Entry;
  core::peer_ref mPeer;
  std::string mAddress; ///< `ip:port` of its Thrift server.
  std::string mFailureDomain;

  bool operator==(const member_row&) const = default;
};

/** An entry as another one sees it. */
struct entry_view
{
  core::peer_ref mPeer;
  std::string mAddress;
  core::instant mLastSeen{}; ///< Send time of the last answered call, or of
                             ///< the arrival of a call from it.
  /** Send time of the last heartbeat to it that it has answered. */
  std::optional<core::instant> mAnsweredAt;
  core::generation mGeneration = 0;
  std::map<std::string, core::team_use> mTeams;
  std::map<std::string, core::generation> mAgents;
  bool mLeaving = false;
  bool mBusy = false; ///< Its own processor is used up, or was lately.
  std::string mFailureDomain;
  std::uint32_t mMillicores = 0; ///< Thousandths of a core; 0: unknown.
};

/** An agent as an entry sees it. */
struct agent_view
{
  core::agent_state mState;
  core::instant mLastSeen{};
  /** When this run of the agent was last told of the other entries. */
  std::optional<core::instant> mEntriesSentAt;
};

/** What one process knows of the others. */
struct members
{
  core::peer_ref mSelf;
  std::vector<member_row> mRows;              ///< As last read from the table.
  std::optional<core::instant> mRowsReadAt;   ///< When that read was sent.
  std::map<std::string, entry_view> mEntries; ///< By name, without itself.
  std::map<std::string, agent_view> mAgents;  ///< By name.
  /** Since when nobody has heard the process of a row. */
  std::map<core::peer_ref, core::instant> mUnseenSince;
};

/** Rows of a role but for the process's own. */
std::vector<member_row>
OtherRows(const members& aMembers, role aRole);

/** Takes in a call or a reply of an entry. */
void
RecordHeartbeat(members& aMembers,
                const core::heartbeat& aHeartbeat,
                core::instant aNow);

/**
 * Whether the run that a row stands for is known to be over: another run of
 * the same name has been heard from.
 */
bool
HasEnded(const members& aMembers, const member_row& aRow);

/** Whether an entry or agent run was heard within `aWithin`. */
bool
IsRecentlySeen(const members& aMembers,
               const member_row& aRow,
               core::instant aNow,
               core::duration aWithin);

/** Rows of the other entries whose runs are not known to be over. */
std::vector<member_row>
LiveEntryRows(const members& aMembers);

/**
 * The latest time at which this entry and others, a majority of the registered
 * entries together, were in touch: since then no configuration can have been
 * accepted without it. Nothing where it is the only one.
 */
std::optional<core::instant>
LastMajorityContact(const members& aMembers);

/** Address of an entry by name; empty where unknown. */
std::string
EntryAddress(const members& aMembers, const std::string& aName);

/** Name of the entry that has this address; empty where unknown. */
std::string
EntryName(const members& aMembers, const std::string& aAddress);

/** Rows of runs that nobody has heard for `aWindow`: they can go. */
std::vector<member_row>
ObsoleteRows(members& aMembers,
             core::instant aNow,
             core::duration aSeenWithin,
             core::duration aWindow);

/** Text of a row's key in the table: `role/name/incarnation`. */
std::string
RowKey(const member_row& aRow);

} // namespace gooseberry::membership
