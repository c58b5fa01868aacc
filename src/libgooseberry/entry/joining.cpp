#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>
#include <utility>

namespace gooseberry::entry {

namespace {

constexpr core::duration kWriteAgainAfter = std::chrono::seconds(1);
constexpr core::duration kCopyAgainAfter = std::chrono::milliseconds(300);
/** After this, an entry opens without ballot promises and does not trust first
 * attempts. */
constexpr core::duration kCopyTimeout = std::chrono::seconds(3);

membership::member_row
OwnRow(const entry_control& aControl)
{
  return { membership::role::Entry,
           aControl.mSelf,
           aControl.mOptions.mAddress,
           aControl.mOptions.mFailureDomain };
}

void
Open(entry_control& aControl,
     bool aWithoutPromises,
     core::instant aNow,
     effects& aEffects)
{
  aControl.mJoining.mStage = join_stage::Open;
  if (aWithoutPromises) {
    aControl.mJoining.mRecoveryPathUntil = aNow + aControl.mOptions.mWindow;
  }
  Log(aEffects,
      "entry_open",
      { { "entry", ToString(aControl.mSelf) },
        { "notes", std::to_string(aControl.mLedger.mPromises.size()) },
        { "blind", aWithoutPromises ? "yes" : "no" } });
}

/** Asks all other entries for their ballot promises. Opens this entry if there
 * are none to ask, or all have answered, or after the timeout. */
void
RequestPromises(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  joining& state = aControl.mJoining;
  state.mNextRound = aNow + kCopyAgainAfter;
  bool anyRow = false;
  bool allCopied = true;
  bool anyEnded = false;
  for (const membership::member_row& row :
       membership::OtherRows(aControl.mMembers, membership::role::Entry)) {
    anyRow = true;
    if (membership::HasEnded(aControl.mMembers, row)) {
      anyEnded = true;
      continue;
    }
    allCopied = allCopied && state.mCopied.contains(row.mPeer.mName);
    aEffects.emplace_back(copy_promises{ row.mPeer.mName, row.mAddress });
  }
  if (!anyRow || allCopied) {
    Open(aControl, anyEnded, aNow, aEffects);
  } else if (aNow - state.mRowWrittenAt > kCopyTimeout) {
    Open(aControl, true, aNow, aEffects);
  }
}

/** Returns whether the last read of the member rows has this entry's row. */
bool
IsRegistered(const entry_control& aControl)
{
  const auto& rows = aControl.mMembers.mRows;
  return std::any_of(
    rows.begin(), rows.end(), [&](const membership::member_row& aRow) {
      return aRow.mPeer == aControl.mSelf;
    });
}

} // namespace

void
ReadMembers(entry_control& aControl, effects& aEffects)
{
  if (aControl.mMembersReading) {
    aControl.mMembersReadAgain = true;
    return;
  }
  aControl.mMembersReading = true;
  aEffects.emplace_back(read_members{});
}

void
TickJoining(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  joining& state = aControl.mJoining;
  const bool isUnlisted =
    aControl.mOptions.mLeasedRuns && !IsRegistered(aControl);
  if ((state.mStage == join_stage::Registering || isUnlisted) &&
      aNow >= state.mNextRound) {
    state.mNextRound = aNow + kWriteAgainAfter;
    aEffects.emplace_back(write_member{ OwnRow(aControl) });
  } else if (state.mStage == join_stage::Copying && aNow >= state.mNextRound) {
    RequestPromises(aControl, aNow, aEffects);
  }
}

void
OnMemberWritten(entry_control& aControl,
                bool aIsStored,
                core::instant aNow,
                effects& aEffects)
{
  if (aIsStored && aControl.mOptions.mLeasedRuns) {
    ReadMembers(aControl, aEffects);
    return;
  }
  if (!aIsStored || aControl.mJoining.mStage != join_stage::Registering) {
    return;
  }
  aControl.mJoining.mStage = join_stage::ReadingRows;
  aControl.mJoining.mRowWrittenAt = aNow;
  ReadMembers(aControl, aEffects);
}

void
OnMembers(entry_control& aControl,
          std::vector<membership::member_row> aRows,
          core::instant aSentAt,
          core::instant aNow,
          effects& aEffects)
{
  aControl.mMembersReading = false;
  aControl.mMembers.mRows = std::move(aRows);
  aControl.mMembers.mRowsReadAt = aSentAt;
  joining& state = aControl.mJoining;
  if (state.mStage == join_stage::ReadingRows &&
      aSentAt >= state.mRowWrittenAt) {
    state.mStage = join_stage::Copying;
    state.mNextRound = aNow;
    TickJoining(aControl, aNow, aEffects);
    SendHeartbeats(aControl, aNow, aEffects);
  } else if (state.mStage == join_stage::Open && !IsRegistered(aControl) &&
             !aControl.mOptions.mLeasedRuns) {
    // Others have removed the row of this entry: its jobs have ended. Join
    // again.
    state = {};
  }
  SettleInquiries(aControl, aSentAt, aNow, aEffects);
  if (std::exchange(aControl.mMembersReadAgain, false)) {
    ReadMembers(aControl, aEffects);
  }
  Dispatch(aControl, aNow, aEffects);
}

void
OnMembersFailed(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  static_cast<void>(aEffects);
  aControl.mMembersReading = false;
  aControl.mMembersReadAgain = false;
  aControl.mNextMembers = std::max(aControl.mNextMembers, aNow);
}

core::copy_promises_reply
OnCopyPromises(const entry_control& aControl, const core::peer_ref& aJoiner)
{
  static_cast<void>(aJoiner);
  core::copy_promises_reply reply;
  reply.mEntry = aControl.mSelf;
  const auto& recoveryUntil = aControl.mJoining.mRecoveryPathUntil;
  reply.mOpen =
    aControl.mJoining.mStage == join_stage::Open && !recoveryUntil.has_value();
  for (const auto& [key, promise] : aControl.mLedger.mPromises) {
    reply.mPromises.push_back({ key, promise.mBallot, promise.mHolder });
  }
  for (const auto& [key, known] : aControl.mLedger.mJobs) {
    reply.mPromises.push_back({ key, known->mBallot, aControl.mSelf.mName });
  }
  return reply;
}

void
OnPromisesCopied(entry_control& aControl,
                 const core::copy_promises_reply& aReply,
                 core::instant aNow,
                 effects& aEffects)
{
  joining& state = aControl.mJoining;
  if (state.mStage != join_stage::Copying) {
    return;
  }
  for (const core::ballot_promise& promise : aReply.mPromises) {
    job::RecordPromise(
      aControl.mLedger, promise.mJob, promise.mBallot, promise.mHolder, aNow);
  }
  state.mCopied.insert(aReply.mEntry.mName);
  if (aReply.mOpen) {
    Open(aControl, false, aNow, aEffects);
  }
}

} // namespace gooseberry::entry
