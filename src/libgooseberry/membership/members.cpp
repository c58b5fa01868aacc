#include "libgooseberry/membership/members.h"

#include <algorithm>
#include <functional>
#include <set>

namespace gooseberry::membership {

namespace {

bool
Contains(const std::vector<std::string>& aJobs, const std::string& aJob)
{
  return std::find(aJobs.begin(), aJobs.end(), aJob) != aJobs.end();
}

} // namespace

std::size_t
KeepJobsInDoubt(members& aMembers,
                const agent_view& aEnded,
                core::instant aNow,
                core::duration aWithin)
{
  auto& ended = aMembers.mEndedAgents;
  std::erase_if(ended, [&](const ended_agent& aAgent) {
    return aNow - aAgent.mLastSeen > aWithin;
  });
  const auto& jobs = aEnded.mState.mJobsInDoubt;
  if (jobs.empty()) {
    return 0;
  }
  ended.push_back({ aEnded.mState.mAgent, aEnded.mLastSeen, jobs });
  std::size_t names = 0;
  for (const ended_agent& agent : ended) {
    names += agent.mJobsInDoubt.size();
  }
  std::size_t dropped = 0;
  while (names - dropped > kMaxJobsOfEnded) {
    auto& oldest = ended.front().mJobsInDoubt;
    const std::size_t excess =
      std::min(names - dropped - kMaxJobsOfEnded, oldest.size());
    oldest.erase(oldest.begin(),
                 oldest.begin() + static_cast<std::ptrdiff_t>(excess));
    dropped += excess;
    if (oldest.empty()) {
      ended.erase(ended.begin());
    }
  }
  return dropped;
}

bool
NamesInDoubt(const members& aMembers,
             const core::peer_ref& aAgent,
             const std::string& aJob,
             core::instant aNow,
             core::duration aWithin)
{
  const auto view = aMembers.mAgents.find(aAgent.mName);
  if (view != aMembers.mAgents.end() && view->second.mState.mAgent == aAgent) {
    return Contains(view->second.mState.mJobsInDoubt, aJob);
  }
  return std::any_of(aMembers.mEndedAgents.begin(),
                     aMembers.mEndedAgents.end(),
                     [&](const ended_agent& aEnded) {
                       return aEnded.mAgent == aAgent &&
                              aNow - aEnded.mLastSeen <= aWithin &&
                              Contains(aEnded.mJobsInDoubt, aJob);
                     });
}

bool
IsInDoubt(const members& aMembers,
          const std::string& aJob,
          core::instant aNow,
          core::duration aWithin)
{
  const auto names = [&](core::instant aLastSeen, const auto& aJobs) {
    return aNow - aLastSeen <= aWithin && Contains(aJobs, aJob);
  };
  return std::any_of(aMembers.mAgents.begin(),
                     aMembers.mAgents.end(),
                     [&](const auto& aAgent) {
                       return names(aAgent.second.mLastSeen,
                                    aAgent.second.mState.mJobsInDoubt);
                     }) ||
         std::any_of(aMembers.mEndedAgents.begin(),
                     aMembers.mEndedAgents.end(),
                     [&](const ended_agent& aEnded) {
                       return names(aEnded.mLastSeen, aEnded.mJobsInDoubt);
                     });
}

std::vector<member_row>
OtherRows(const members& aMembers, role aRole)
{
  std::vector<member_row> rows;
  for (const member_row& row : aMembers.mRows) {
    if (row.mRole == aRole && row.mPeer != aMembers.mSelf) {
      rows.push_back(row);
    }
  }
  return rows;
}

namespace {

/** Above any rate that one process can receive. */
constexpr double kMaxJobsPerSecond = 100'000;

void
RecordRate(entry_view& aView, std::optional<double> aRate, core::instant aNow)
{
  // Written so that NaN is dropped too.
  if (aRate && !(*aRate >= 0 && *aRate <= kMaxJobsPerSecond)) {
    ++aView.mRatesDropped;
    return;
  }
  aView.mJobsPerSecond = aRate;
  aView.mRateAt = aNow;
  aView.mRatesDropped = 0;
}

} // namespace

void
RecordHeartbeat(members& aMembers,
                const core::heartbeat& aHeartbeat,
                core::instant aNow)
{
  if (aHeartbeat.mEntry.mName == aMembers.mSelf.mName) {
    return;
  }
  entry_view& view = aMembers.mEntries[aHeartbeat.mEntry.mName];
  if (view.mPeer != aHeartbeat.mEntry) {
    view = {};
    view.mPeer = aHeartbeat.mEntry;
  }
  view.mAddress = aHeartbeat.mAddress;
  view.mLastSeen = std::max(view.mLastSeen, aNow);
  view.mGeneration = std::max(view.mGeneration, aHeartbeat.mGeneration);
  view.mTeams = aHeartbeat.mTeams;
  view.mAgents = aHeartbeat.mAgents;
  view.mLeaving = aHeartbeat.mLeaving;
  view.mBusy = aHeartbeat.mBusy;
  view.mFailureDomain = aHeartbeat.mFailureDomain;
  view.mMillicores = aHeartbeat.mMillicores;
  RecordRate(view, aHeartbeat.mJobsPerSecond, aNow);
}

bool
HasEnded(const members& aMembers, const member_row& aRow)
{
  const std::string& name = aRow.mPeer.mName;
  if (aRow.mRole == role::Entry) {
    if (name == aMembers.mSelf.mName) {
      return aRow.mPeer != aMembers.mSelf;
    }
    const auto found = aMembers.mEntries.find(name);
    return found != aMembers.mEntries.end() &&
           found->second.mPeer != aRow.mPeer;
  }
  const auto found = aMembers.mAgents.find(name);
  return found != aMembers.mAgents.end() &&
         found->second.mState.mAgent != aRow.mPeer;
}

bool
IsRecentlySeen(const members& aMembers,
               const member_row& aRow,
               core::instant aNow,
               core::duration aWithin)
{
  const std::string& name = aRow.mPeer.mName;
  if (aRow.mPeer == aMembers.mSelf) {
    return true;
  }
  if (aRow.mRole == role::Entry) {
    const auto found = aMembers.mEntries.find(name);
    return found != aMembers.mEntries.end() &&
           found->second.mPeer == aRow.mPeer &&
           aNow - found->second.mLastSeen <= aWithin;
  }
  const auto found = aMembers.mAgents.find(name);
  return found != aMembers.mAgents.end() &&
         found->second.mState.mAgent == aRow.mPeer &&
         aNow - found->second.mLastSeen <= aWithin;
}

std::vector<member_row>
LiveEntryRows(const members& aMembers)
{
  std::vector<member_row> rows = OtherRows(aMembers, role::Entry);
  std::erase_if(rows, [&aMembers](const member_row& aRow) {
    return HasEnded(aMembers, aRow);
  });
  return rows;
}

std::optional<core::instant>
LastMajorityContact(const members& aMembers)
{
  const std::vector<member_row> rows = LiveEntryRows(aMembers);
  const std::size_t needed = (rows.size() + 1) / 2; // Without this entry.
  std::vector<core::instant> contacts;
  for (const member_row& row : rows) {
    const auto found = aMembers.mEntries.find(row.mPeer.mName);
    if (found != aMembers.mEntries.end() && found->second.mAnsweredAt &&
        found->second.mPeer == row.mPeer) {
      contacts.push_back(*found->second.mAnsweredAt);
    }
  }
  if (needed == 0 || contacts.size() < needed) {
    return std::nullopt;
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return contacts[needed - 1];
}

std::string
EntryAddress(const members& aMembers, const std::string& aName)
{
  if (const auto found = aMembers.mEntries.find(aName);
      found != aMembers.mEntries.end()) {
    return found->second.mAddress;
  }
  for (const member_row& row : aMembers.mRows) {
    if (row.mRole == role::Entry && row.mPeer.mName == aName) {
      return row.mAddress;
    }
  }
  return {};
}

std::string
EntryName(const members& aMembers, const std::string& aAddress)
{
  for (const auto& [name, view] : aMembers.mEntries) {
    if (view.mAddress == aAddress) {
      return name;
    }
  }
  for (const member_row& row : aMembers.mRows) {
    if (row.mRole == role::Entry && row.mAddress == aAddress) {
      return row.mPeer.mName;
    }
  }
  return {};
}

namespace {

/** Returns whether another entry reports contact with an agent of this name. */
bool
IsSeenByOthers(const members& aMembers, const member_row& aRow)
{
  return aRow.mRole == role::Agent && !HasEnded(aMembers, aRow) &&
         std::any_of(aMembers.mEntries.begin(),
                     aMembers.mEntries.end(),
                     [&aRow](const auto& aEntry) {
                       return aEntry.second.mAgents.contains(aRow.mPeer.mName);
                     });
}

} // namespace

std::vector<member_row>
ObsoleteRows(members& aMembers,
             core::instant aNow,
             core::duration aSeenWithin,
             core::duration aWindow)
{
  std::vector<member_row> obsolete;
  std::map<core::peer_ref, core::instant> unseen;
  for (const member_row& row : aMembers.mRows) {
    if (IsRecentlySeen(aMembers, row, aNow, aSeenWithin) ||
        IsSeenByOthers(aMembers, row)) {
      continue;
    }
    const auto known = aMembers.mUnseenSince.find(row.mPeer);
    const core::instant since =
      known == aMembers.mUnseenSince.end() ? aNow : known->second;
    unseen[row.mPeer] = since;
    if (aNow - since > aWindow) {
      obsolete.push_back(row);
    }
  }
  aMembers.mUnseenSince = std::move(unseen);
  return obsolete;
}

std::string
RowKey(const member_row& aRow)
{
  return std::string(kRoleNames.NameOf(aRow.mRole)) + '/' + aRow.mPeer.mName +
         '/' + std::to_string(aRow.mPeer.mIncarnation);
}

} // namespace gooseberry::membership
