#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

/** Replies of an entry to the locate requests of other entries (R2). */
namespace gooseberry::entry {

bool
IsEntryInContact(const entry_control& aControl,
                 const std::string& aName,
                 core::instant aNow)
{
  const auto found = aControl.mMembers.mEntries.find(aName);
  return found != aControl.mMembers.mEntries.end() &&
         aNow - found->second.mLastSeen <= aControl.mOptions.mPeerSuspect;
}

namespace {

/** Returns the reply for a job that is in the ledger. */
core::locate_reply
AnswerKnown(entry_control& aControl,
            job::job& aJob,
            const core::locate_request& aRequest,
            core::instant aNow,
            effects& aEffects)
{
  core::locate_reply reply{ aControl.mSelf,
                            aRequest.mJob,
                            core::locate_verdict::Home,
                            aJob.mBallot,
                            aControl.mSelf.mName };
  if (aJob.mSubmission.mContentHash != aRequest.mContentHash) {
    reply.mVerdict = core::locate_verdict::ContentMismatch;
    return reply;
  }
  if (aJob.mPhase == job::phase::Ended) {
    Deliver(aControl, aRequest.mEntry.mName, aJob.mAnswer);
    return reply;
  }
  if (aJob.mPhase == job::phase::Running ||
      aJob.mPhase == job::phase::Recovering) {
    aJob.mAttachedEntries.insert(aRequest.mEntry.mName);
    return reply;
  }
  const bool homeInContact = aJob.mPhase == job::phase::Attached &&
                             aJob.mHome.mName != aRequest.mEntry.mName &&
                             IsEntryInContact(aControl, aJob.mHome.mName, aNow);
  if (homeInContact) {
    reply.mVerdict = core::locate_verdict::HigherBallot;
    reply.mHolder = aJob.mHome.mName;
    return reply;
  }
  if (aRequest.mBallot < aJob.mBallot) {
    reply.mVerdict = core::locate_verdict::HigherBallot;
    aJob.mAttachedEntries.insert(aRequest.mEntry.mName);
    return reply;
  }
  // Both entries locate the same job: the lower ballot yields. If this entry
  // may have started tasks before it was fenced, it must say so.
  reply.mVerdict = job::MayHaveStarted(aJob) ? core::locate_verdict::Started
                                             : core::locate_verdict::Unknown;
  reply.mBallot = aRequest.mBallot;
  aJob.mBallot = aRequest.mBallot;
  job::RecordPromise(aControl.mLedger,
                     aRequest.mJob,
                     aRequest.mBallot,
                     aRequest.mEntry.mName,
                     aNow);
  if (aJob.mHome.mName != aRequest.mEntry.mName ||
      aJob.mPhase != job::phase::Attached) {
    AttachTo(aControl, aJob, aRequest.mEntry.mName, aNow, aEffects);
  }
  return reply;
}

/** Returns the reply for a job that is not in the ledger. */
core::locate_reply
AnswerUnknown(entry_control& aControl,
              const core::locate_request& aRequest,
              core::instant aNow)
{
  core::locate_reply reply{ aControl.mSelf,
                            aRequest.mJob,
                            core::locate_verdict::Unknown,
                            aRequest.mBallot,
                            {} };
  if (const job::promise_record* known =
        job::FindPromise(aControl.mLedger, aRequest.mJob);
      known != nullptr && aRequest.mBallot < known->mBallot) {
    reply.mVerdict = core::locate_verdict::HigherBallot;
    reply.mBallot = known->mBallot;
    reply.mHolder = known->mHolder;
    return reply;
  } else if (known != nullptr && known->mMayHaveStarted) {
    reply.mVerdict = core::locate_verdict::Started;
  }
  job::RecordPromise(aControl.mLedger,
                     aRequest.mJob,
                     aRequest.mBallot,
                     aRequest.mEntry.mName,
                     aNow);
  return reply;
}

} // namespace

std::vector<core::locate_reply>
OnLocate(entry_control& aControl,
         const std::vector<core::locate_request>& aRequests,
         core::instant aNow,
         effects& aEffects)
{
  std::vector<core::locate_reply> replies;
  replies.reserve(aRequests.size());
  for (const core::locate_request& request : aRequests) {
    job::job* known = job::Find(aControl.mLedger, request.mJob);
    replies.push_back(
      known == nullptr
        ? AnswerUnknown(aControl, request, aNow)
        : AnswerKnown(aControl, *known, request, aNow, aEffects));
  }
  return replies;
}

} // namespace gooseberry::entry
