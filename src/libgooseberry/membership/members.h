#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry::membership {

/** Role of a registered process. */
enum class role : std::uint8_t
{
  Entry,
  Agent,
};
inline constexpr core::enum_names<role, 2> kRoleNames{ { "entry", "agent" } };

/** One row of the table `members`, for one run of one process. */
struct member_row
{
  role mRole = role::Entry;
  core::peer_ref mPeer;
  std::string mAddress; ///< `ip:port` of its Thrift server.
  std::string mFailureDomain;

  bool operator==(const member_row&) const = default;
};

/** State of another entry as known here. */
struct entry_view
{
  core::peer_ref mPeer;
  std::string mAddress;
  core::instant mLastSeen{}; ///< Send time of the last answered call, or
                             ///< arrival time of a call from it.
  /** Send time of the last heartbeat that the entry has answered. */
  std::optional<core::instant> mAnsweredAt;
  core::generation mGeneration = 0;
  std::map<std::string, core::team_use> mTeams;
  std::map<std::string, core::generation> mAgents;
  bool mLeaving = false;
  bool mBusy = false; ///< Its own processor is, or recently was, overloaded.
  std::string mFailureDomain;
  std::uint32_t mMillicores = 0; ///< Thousandths of a core; 0: unknown.
  /** Last plausible rate of submissions to it, and when it came; none: it does
   * not tell its rate. */
  std::optional<double> mJobsPerSecond;
  core::instant mRateAt{};
  std::uint64_t mRatesDropped = 0; ///< Implausible rates since that one.
};

/** State of an agent as known to an entry. */
struct agent_view
{
  core::agent_state mState;
  core::instant mLastSeen{};
  /**
   * Time when the addresses of the other entries were last sent to this run.
   */
  std::optional<core::instant> mEntriesSentAt;
};

/** An ended process of an agent and the jobs that its last message named as in
 * doubt. Its calls may reach the next process of a target before the agent's
 * successor has called that one. */
struct ended_agent
{
  core::peer_ref mAgent;
  core::instant mLastSeen{};
  std::vector<std::string> mJobsInDoubt;
};

/** Most names of jobs in doubt that are kept of ended processes: 31 s of starts
 * without an answer at 100 targets, about 40 each. */
inline constexpr std::size_t kMaxJobsOfEnded = 4'096;

/** What one process knows about the others. */
struct members
{
  core::peer_ref mSelf;
  std::vector<member_row> mRows;              ///< As last read from the table.
  std::optional<core::instant> mRowsReadAt;   ///< Send time of that read.
  std::map<std::string, entry_view> mEntries; ///< By name, without itself.
  std::map<std::string, agent_view> mAgents;  ///< By name.
  std::vector<ended_agent> mEndedAgents;      ///< In the order of their ends.
  /** Time from which no entry has seen the process of a row. */
  std::map<core::peer_ref, core::instant> mUnseenSince;
};

/**
 * Keeps the names of the jobs in doubt of an agent's process that has been
 * replaced. Returns the number of names dropped, the oldest first, as there are
 * more than `kMaxJobsOfEnded`; older than `aWithin` ones are not counted.
 */
std::size_t
KeepJobsInDoubt(members& aMembers,
                const agent_view& aEnded,
                core::instant aNow,
                core::duration aWithin);

/** Returns whether this process of an agent, which may have been replaced
 * within `aWithin`, named the job as in doubt in its last message. */
bool
NamesInDoubt(const members& aMembers,
             const core::peer_ref& aAgent,
             const std::string& aJob,
             core::instant aNow,
             core::duration aWithin);

/** Returns whether a start of the job may yet be carried out at some agent's
 * target, as far as the agents' last messages of the last `aWithin` show. */
bool
IsInDoubt(const members& aMembers,
          const std::string& aJob,
          core::instant aNow,
          core::duration aWithin);

/** Returns the rows of a role, except that of the process itself. */
std::vector<member_row>
OtherRows(const members& aMembers, role aRole);

/** Updates the view of an entry from a heartbeat or a heartbeat reply. A rate
 * that cannot be true is dropped, and the rest of the heartbeat is used. */
void
RecordHeartbeat(members& aMembers,
                const core::heartbeat& aHeartbeat,
                core::instant aNow);

/**
 * Returns whether the run of a row is known to have ended: another run of the
 * same name has been seen.
 */
bool
HasEnded(const members& aMembers, const member_row& aRow);

/** Returns whether the run of a row was seen within `aWithin`. */
bool
IsRecentlySeen(const members& aMembers,
               const member_row& aRow,
               core::instant aNow,
               core::duration aWithin);

/**
 * Returns the rows of the other entries whose runs are not known to have ended.
 */
std::vector<member_row>
LiveEntryRows(const members& aMembers);

/**
 * Returns the latest time when this entry was in contact with enough others to
 * form a majority of the registered entries. Since then no configuration can
 * have been accepted without this entry. Returns nothing where it is the only
 * entry or has had no such contact.
 */
std::optional<core::instant>
LastMajorityContact(const members& aMembers);

/** Returns the address of an entry, or an empty string. */
std::string
EntryAddress(const members& aMembers, const std::string& aName);

/** Returns the name of the entry at this address, or an empty string. */
std::string
EntryName(const members& aMembers, const std::string& aAddress);

/**
 * Returns the rows of runs that no entry has seen for `aWindow`; these rows can
 * be removed. `aSeenWithin` is the time within which a run counts as seen.
 */
std::vector<member_row>
ObsoleteRows(members& aMembers,
             core::instant aNow,
             core::duration aSeenWithin,
             core::duration aWindow);

/** Formats the key of a row in the table: `role/name/incarnation`. */
std::string
RowKey(const member_row& aRow);

} // namespace gooseberry::membership
