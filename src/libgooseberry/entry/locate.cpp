#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

namespace gooseberry::entry {

namespace {

constexpr std::uint32_t kFirstRecoveryRound = 2;

core::locate_request
MakeRequest(const entry_control& aControl, const job::job& aJob)
{
  return { aControl.mSelf,
           aControl.mOptions.mAddress,
           aJob.mSubmission.mKey,
           aJob.mSubmission.mContentHash,
           aJob.mBallot };
}

/** Asks each registered entry that has not answered. */
void
AskEntries(entry_control& aControl, job::job& aJob)
{
  for (const membership::member_row& row :
       membership::OtherRows(aControl.mMembers, membership::role::Entry)) {
    if (aJob.mInquiry.mAnswered.contains(row.mPeer) ||
        aJob.mInquiry.mUnavailable.contains(row.mPeer)) {
      continue;
    }
    if (membership::HasEnded(aControl.mMembers, row)) {
      aJob.mInquiry.mUnavailable.insert(row.mPeer);
      continue;
    }
    aJob.mInquiry.mPending.insert(row.mPeer);
    aControl.mLocateOutbox[row.mPeer].push_back(MakeRequest(aControl, aJob));
  }
}

void
RecordAllAnswered(entry_control& aControl,
                  job::job& aJob,
                  core::instant aNow,
                  effects& aEffects)
{
  if (!aJob.mInquiry.mPending.empty() || aJob.mInquiry.mAnsweredAt) {
    return;
  }
  aJob.mInquiry.mAnsweredAt = aNow;
  ReadMembers(aControl, aEffects);
}

/** Applies an entry's reply about a job that is being located. */
void
ApplyLocateReply(entry_control& aControl,
                 job::job& aJob,
                 const core::peer_ref& aAsked,
                 const core::locate_reply& aReply,
                 core::instant aNow,
                 effects& aEffects)
{
  const bool isLate =
    aReply.mVerdict != core::locate_verdict::Home &&
    aReply.mVerdict != core::locate_verdict::ContentMismatch &&
    aReply.mBallot < aJob.mBallot;
  if (isLate) {
    return; // It answers an earlier ballot: no promise for the current one.
  }
  switch (aReply.mVerdict) {
    case core::locate_verdict::Unknown:
      if (aJob.mInquiry.mPending.erase(aAsked) > 0) {
        aJob.mInquiry.mAnswered.insert(aAsked);
        RecordAllAnswered(aControl, aJob, aNow, aEffects);
      }
      break;
    case core::locate_verdict::Started:
      aJob.mInquiry.mPending.erase(aAsked);
      aJob.mInquiry.mUnavailable.insert(aAsked); // Leads to fencing the agents.
      break;
    case core::locate_verdict::Home:
      AttachTo(aControl, aJob, aAsked.mName, aNow, aEffects);
      break;
    case core::locate_verdict::HigherBallot:
      if (aReply.mHolder == aControl.mSelf.mName || aReply.mHolder.empty()) {
        StartLocating(aControl, aJob, aReply.mBallot, aNow, aEffects);
      } else {
        AttachTo(aControl, aJob, aReply.mHolder, aNow, aEffects);
      }
      break;
    case core::locate_verdict::ContentMismatch:
      AbandonJob(
        aControl,
        aJob,
        { "submit job", aAsked.mName, "a job of this name has other content" },
        kStatusConflict,
        aNow,
        aEffects);
      break;
  }
}

/** Applies the reply of the expected home of an attached job. */
void
ApplyHomeReply(entry_control& aControl,
               job::job& aJob,
               const core::locate_reply& aReply,
               core::instant aNow,
               effects& aEffects)
{
  if (aReply.mVerdict == core::locate_verdict::Home) {
    return;
  }
  if (aReply.mVerdict == core::locate_verdict::HigherBallot &&
      aReply.mHolder != aControl.mSelf.mName &&
      aReply.mHolder != aJob.mHome.mName) {
    AttachTo(aControl, aJob, aReply.mHolder, aNow, aEffects);
    return;
  }
  if (aReply.mVerdict == core::locate_verdict::HigherBallot &&
      aReply.mHolder == aJob.mHome.mName) {
    return; // It locates the job itself, with a higher ballot.
  }
  StartLocating(aControl, aJob, aReply.mBallot, aNow, aEffects);
}

} // namespace

void
StartLocating(entry_control& aControl,
              job::job& aJob,
              core::ballot aAbove,
              core::instant aNow,
              effects& aEffects)
{
  aControl.mAttached.erase(aJob.mSubmission.mKey);
  aControl.mInquiring.insert(aJob.mSubmission.mKey);
  std::uint32_t above = std::max(aAbove.mRound, aJob.mBallot.mRound);
  if (const job::promise_record* known =
        job::FindPromise(aControl.mLedger, aJob.mSubmission.mKey)) {
    above = std::max(above, known->mBallot.mRound);
  }
  const std::uint32_t round =
    std::max({ kFirstRecoveryRound, aJob.mSubmission.mAttempt, above + 1 });
  aJob.mPhase = job::phase::Locating;
  aJob.mHome = {};
  aJob.mBallot = { round, aControl.mSelf.mIncarnation };
  aJob.mInquiry = {};
  aJob.mInquiry.mStartedAt = aNow;
  Log(aEffects,
      "job_locating",
      { { "job", aJob.mSubmission.mKey }, { "round", std::to_string(round) } });
  AskEntries(aControl, aJob);
  RecordAllAnswered(aControl, aJob, aNow, aEffects);
}

void
AskForOutcome(entry_control& aControl,
              job::job& aJob,
              const core::peer_ref& aAgent,
              core::instant aNow,
              effects& aEffects)
{
  Log(aEffects,
      "agent_run_over",
      { { "job", aJob.mSubmission.mKey }, { "agent", ToString(aAgent) } });
  const core::ballot own = aJob.mBallot;
  static_cast<void>(ReleaseJob(aControl, aJob));
  StartLocating(aControl, aJob, own, aNow, aEffects);
}

void
AttachTo(entry_control& aControl,
         job::job& aJob,
         const std::string& aEntryName,
         core::instant aNow,
         effects& aEffects)
{
  aControl.mInquiring.erase(aJob.mSubmission.mKey);
  aControl.mAttached.insert(aJob.mSubmission.mKey);
  aJob.mPhase = job::phase::Attached;
  aJob.mInquiry = {};
  aJob.mHome = { aEntryName, 0 };
  if (const auto found = aControl.mMembers.mEntries.find(aEntryName);
      found != aControl.mMembers.mEntries.end()) {
    aJob.mHome = found->second.mPeer;
  }
  aJob.mHomeAskedAt = aNow;
  Log(aEffects,
      "job_attached",
      { { "job", aJob.mSubmission.mKey }, { "home", aEntryName } });
}

void
OnLocateReplies(entry_control& aControl,
                const core::peer_ref& aAsked,
                const std::vector<core::locate_reply>& aReplies,
                core::instant aNow,
                effects& aEffects)
{
  for (const core::locate_reply& reply : aReplies) {
    job::job* found = job::Find(aControl.mLedger, reply.mJob);
    if (found == nullptr || reply.mEntry != aAsked) {
      continue; // Another incarnation answered; its row will be read.
    }
    if (found->mPhase == job::phase::Locating) {
      ApplyLocateReply(aControl, *found, aAsked, reply, aNow, aEffects);
    } else if (found->mPhase == job::phase::Attached &&
               found->mHome.mName == aAsked.mName) {
      ApplyHomeReply(aControl, *found, reply, aNow, aEffects);
    }
  }
}

void
OnLocateFailed(entry_control& aControl,
               const core::peer_ref& aAsked,
               const std::vector<core::locate_request>& aRequests,
               core::instant aNow,
               effects& aEffects)
{
  // TickInquiries asks again, and counts the peer as missing after a timeout.
  static_cast<void>(aControl);
  static_cast<void>(aNow);
  Log(aEffects,
      "locate_unanswered",
      { { "entry", ToString(aAsked) },
        { "jobs", std::to_string(aRequests.size()) } });
}

void
Deliver(entry_control& aControl,
        const std::string& aEntryName,
        const core::job_answer& aAnswer)
{
  if (const std::string address =
        membership::EntryAddress(aControl.mMembers, aEntryName);
      !address.empty()) {
    ++aControl.mCounters.mDelivers;
    aControl.mDeliverOutbox[address].push_back(aAnswer);
  }
}

void
OnDeliver(entry_control& aControl,
          const core::deliver_request& aRequest,
          core::instant aNow,
          effects& aEffects)
{
  for (const core::job_answer& answer : aRequest.mAnswers) {
    job::job* found = job::Find(aControl.mLedger, answer.mJob);
    if (found == nullptr || found->mPhase != job::phase::Attached ||
        found->mHome.mName != aRequest.mEntry.mName) {
      continue; // Not from the home: possibly for an earlier attempt.
    }
    if (answer.mOutcome == core::job_outcome::NotRun) {
      RefuseJob(aControl,
                *found,
                { answer.mStep, answer.mPeer, answer.mReason },
                answer.mStatus,
                aNow,
                aEffects);
    } else {
      EndJob(aControl, *found, answer, aNow, aEffects);
    }
  }
}

namespace {

/** The home delivers the outcome without a request; asking replaces a lost
 * delivery. */
constexpr core::duration kAskHomeAfter = std::chrono::seconds(5);
constexpr core::duration kAskAgainAfter = std::chrono::milliseconds(250);

/** Asks entries without an answer again; counts them as missing after the
 * timeout. */
void
TickLocating(entry_control& aControl,
             job::job& aJob,
             core::instant aNow,
             effects& aEffects)
{
  job::inquiry& inquiry = aJob.mInquiry;
  const core::duration waited = aNow - inquiry.mStartedAt;
  if (!inquiry.mPending.empty()) {
    if (waited > aControl.mOptions.mLocateTimeout) {
      inquiry.mEntryUnresponsive = true;
      inquiry.mUnavailable.merge(inquiry.mPending);
      inquiry.mPending.clear();
    } else if (waited > kAskAgainAfter * (inquiry.mRounds + 1)) {
      ++inquiry.mRounds;
      AskEntries(aControl, aJob);
    }
  }
  if (inquiry.mPending.empty() && !inquiry.mUnavailable.empty()) {
    StartRecovering(aControl, aJob, aNow, aEffects);
    return;
  }
  RecordAllAnswered(aControl, aJob, aNow, aEffects);
}

/** Asks the home of an attached job whether it still has the job. */
void
TickAttached(entry_control& aControl,
             job::job& aJob,
             core::instant aNow,
             effects& aEffects)
{
  const core::duration asked = aNow - aJob.mHomeAskedAt;
  if (asked < aControl.mOptions.mPeerSuspect) {
    return;
  }
  const std::string& name = aJob.mHome.mName;
  const auto found = aControl.mMembers.mEntries.find(name);
  const bool sameRun =
    found != aControl.mMembers.mEntries.end() &&
    (aJob.mHome.mIncarnation == 0 || found->second.mPeer == aJob.mHome);
  if (!sameRun || !IsEntryInContact(aControl, name, aNow)) {
    StartLocating(aControl, aJob, {}, aNow, aEffects);
    return;
  }
  if (asked < kAskHomeAfter) {
    return;
  }
  aJob.mHomeAskedAt = aNow;
  aControl.mLocateOutbox[found->second.mPeer].push_back(
    MakeRequest(aControl, aJob));
}

} // namespace

void
TickInquiries(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  const std::set<std::string> inquiring = aControl.mInquiring;
  for (const std::string& key : inquiring) {
    job::job* found = job::Find(aControl.mLedger, key);
    if (found != nullptr && found->mPhase == job::phase::Locating) {
      TickLocating(aControl, *found, aNow, aEffects);
    } else if (found != nullptr && found->mPhase == job::phase::Recovering) {
      TickRecovering(aControl, *found, aNow, aEffects);
    }
  }
  const std::set<std::string> attached = aControl.mAttached;
  for (const std::string& key : attached) {
    if (job::job* found = job::Find(aControl.mLedger, key)) {
      TickAttached(aControl, *found, aNow, aEffects);
    }
  }
}

void
SettleInquiries(entry_control& aControl,
                core::instant aReadAt,
                core::instant aNow,
                effects& aEffects)
{
  const std::set<std::string> inquiring = aControl.mInquiring;
  for (const std::string& key : inquiring) {
    job::job* found = job::Find(aControl.mLedger, key);
    if (found == nullptr || !found->mInquiry.mAnsweredAt ||
        *found->mInquiry.mAnsweredAt > aReadAt) {
      continue;
    }
    if (found->mPhase == job::phase::Recovering) {
      SettleRecovering(aControl, *found, aNow, aEffects);
      continue;
    }
    found->mInquiry.mAnsweredAt.reset();
    AskEntries(aControl, *found);
    if (!found->mInquiry.mPending.empty()) {
      continue; // Another entry has registered meanwhile.
    }
    if (!found->mInquiry.mUnavailable.empty() || job::MayHaveStarted(*found)) {
      StartRecovering(aControl, *found, aNow, aEffects);
    } else {
      BecomeHomeIfAdmitted(aControl, *found, aNow, aEffects);
    }
  }
}

} // namespace gooseberry::entry
