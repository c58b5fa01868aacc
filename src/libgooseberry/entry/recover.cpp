#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

namespace gooseberry::entry {

namespace {

/** Fences the job at each registered agent that has not answered. */
void
FenceAgents(entry_control& aControl, job::job& aJob)
{
  job::inquiry& inquiry = aJob.mInquiry;
  for (const membership::member_row& row :
       membership::OtherRows(aControl.mMembers, membership::role::Agent)) {
    if (inquiry.mAnswered.contains(row.mPeer) ||
        inquiry.mUnavailable.contains(row.mPeer)) {
      continue;
    }
    if (membership::HasEnded(aControl.mMembers, row)) {
      inquiry.mUnavailable.insert(row.mPeer);
      continue;
    }
    inquiry.mPending.insert(row.mPeer);
    aControl.mFenceOutbox[row.mPeer].push_back({ aControl.mSelf,
                                                 aControl.mOptions.mAddress,
                                                 aJob.mSubmission.mKey,
                                                 aJob.mBallot });
  }
}

void
RecordAllFenced(entry_control& aControl,
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

/** Returns whether the right record of a task replaces the left one: it is of a
 * later try, or the task still runs. */
bool
IsOutranked(const core::started_task& aLeft, const core::started_task& aRight)
{
  if (aLeft.mResult.mTry != aRight.mResult.mTry) {
    return aLeft.mResult.mTry < aRight.mResult.mTry;
  }
  return aLeft.mState == core::record_state::Running &&
         aRight.mState != core::record_state::Running;
}

/**
 * Returns whether a newer record of the task may exist: after a failure, a
 * later try may have been started at an agent that cannot answer.
 */
bool
IsSuperseded(const job::job& aJob, const core::started_task& aStarted)
{
  return aJob.mSubmission.mIdempotent && !aJob.mInquiry.mUnavailable.empty() &&
         aStarted.mState == core::record_state::Finished &&
         aStarted.mResult.mEnd == core::task_end::Failed;
}

/** Returns the latest record of each task, by index; null if there is none. */
std::vector<const core::started_task*>
LatestRecords(const job::job& aJob)
{
  std::vector<const core::started_task*> last(aJob.mTasks.size(), nullptr);
  for (const core::started_task& started : aJob.mInquiry.mFoundStarts) {
    const std::uint32_t index = started.mResult.mTask.mIndex;
    if (index < last.size() && !IsSuperseded(aJob, started) &&
        (last[index] == nullptr || IsOutranked(*last[index], started))) {
      last[index] = &started;
    }
  }
  return last;
}

/** Adopts a task that runs at an agent. */
void
AdoptRunning(entry_control& aControl,
             job::job& aJob,
             std::uint32_t aIndex,
             const core::task_result& aRecord)
{
  job::task& task = aJob.mTasks[aIndex];
  task.mState = job::task_state::Running;
  task.mTarget = target::Find(aControl.mTargets, aRecord.mTarget);
  if (!task.mTarget) {
    return;
  }
  target::Reserve(aControl.mTargets, *task.mTarget);
  const std::string& agent = aControl.mTargets.mTargets[*task.mTarget].mAgent;
  if (const auto view = aControl.mMembers.mAgents.find(agent);
      view != aControl.mMembers.mAgents.end()) {
    task.mAgent = view->second.mState.mAgent;
    aControl.mAgentTasks[agent].insert({ aJob.mSubmission.mKey, aIndex });
  }
}

/** Applies the record of a task; returns why the job cannot continue, or an
 * empty error. */
core::error
ApplyRecord(entry_control& aControl,
            job::job& aJob,
            std::uint32_t aIndex,
            const core::started_task& aRecord)
{
  job::task& task = aJob.mTasks[aIndex];
  const core::task_result& result = aRecord.mResult;
  task.mTry = result.mTry;
  task.mPlacement = result.mPlacement;
  task.mEverStarted = true;
  if (aRecord.mState == core::record_state::ResultDropped) {
    return { "recover job", result.mTarget, "a result is no longer held" };
  }
  if (aRecord.mState == core::record_state::Running) {
    AdoptRunning(aControl, aJob, aIndex, result);
    ++aControl.mTeams[aJob.mSubmission.mTeam].mRunning;
    return {};
  }
  if (result.mEnd == core::task_end::Succeeded) {
    task.mState = job::task_state::Ended;
    task.mResult = result.mPayload;
    ++aJob.mEnded;
    return {};
  }
  if (result.mEnd == core::task_end::Failed && aJob.mSubmission.mIdempotent &&
      result.mTry < MaxTries(aControl, aJob)) {
    ++task.mTry;
    return {};
  }
  return { "run task " + std::to_string(aIndex),
           result.mTarget,
           result.mPayload.empty() ? "task failed" : result.mPayload };
}

/** Returns whether an entry is missing that may have the outcome, or an agent
 * whose incarnation may not have ended. */
bool
IsAnySilent(const entry_control& aControl, const job::inquiry& aInquiry)
{
  return aInquiry.mEntryUnresponsive ||
         std::any_of(aInquiry.mUnavailable.begin(),
                     aInquiry.mUnavailable.end(),
                     [&](const core::peer_ref& aPeer) {
                       return !membership::HasEnded(aControl.mMembers,
                                                    { membership::role::Agent,
                                                      aPeer,
                                                      std::string(),
                                                      std::string() });
                     });
}

std::string
MissingNames(const job::inquiry& aInquiry)
{
  std::string names;
  for (const core::peer_ref& peer : aInquiry.mUnavailable) {
    names += (names.empty() ? "" : ",") + ToString(peer);
  }
  return names;
}

} // namespace

void
StartRecovering(entry_control& aControl,
                job::job& aJob,
                core::instant aNow,
                effects& aEffects)
{
  Log(aEffects,
      "job_recovering",
      { { "job", aJob.mSubmission.mKey },
        { "missing", MissingNames(aJob.mInquiry) },
        { "round", std::to_string(aJob.mBallot.mRound) } });
  aJob.mPhase = job::phase::Recovering;
  const bool entrySilent = aJob.mInquiry.mEntryUnresponsive;
  aJob.mInquiry = {};
  aJob.mInquiry.mEntryUnresponsive = entrySilent;
  aJob.mInquiry.mStartedAt = aNow;
  FenceAgents(aControl, aJob);
  RecordAllFenced(aControl, aJob, aNow, aEffects);
}

void
OnFenceReplies(entry_control& aControl,
               const core::peer_ref& aAsked,
               const std::vector<core::fence_reply>& aReplies,
               core::instant aNow,
               effects& aEffects)
{
  for (const core::fence_reply& reply : aReplies) {
    job::job* found = job::Find(aControl.mLedger, reply.mJob);
    if (found == nullptr || found->mPhase != job::phase::Recovering ||
        reply.mAgent != aAsked) {
      continue;
    }
    if (found->mBallot < reply.mBallot) {
      const std::string holder =
        membership::EntryName(aControl.mMembers, reply.mHolder);
      if (holder.empty()) {
        StartLocating(aControl, *found, reply.mBallot, aNow, aEffects);
      } else {
        AttachTo(aControl, *found, holder, aNow, aEffects);
      }
      continue;
    }
    if (reply.mBallot < found->mBallot) {
      continue; // A late reply to an earlier fence.
    }
    if (found->mInquiry.mPending.erase(aAsked) == 0 &&
        found->mInquiry.mUnavailable.erase(aAsked) == 0) {
      continue;
    }
    found->mInquiry.mAnswered.insert(aAsked);
    found->mInquiry.mFoundStarts.insert(found->mInquiry.mFoundStarts.end(),
                                        reply.mStarted.begin(),
                                        reply.mStarted.end());
    RecordAllFenced(aControl, *found, aNow, aEffects);
  }
}

void
OnFenceFailed(entry_control& aControl,
              const core::peer_ref& aAsked,
              const std::vector<core::fence_request>& aRequests,
              core::instant aNow,
              effects& aEffects)
{
  // TickRecovering asks again, and counts the agent as missing after a timeout.
  static_cast<void>(aControl);
  static_cast<void>(aNow);
  Log(aEffects,
      "fence_unanswered",
      { { "agent", ToString(aAsked) },
        { "jobs", std::to_string(aRequests.size()) } });
}

void
TickRecovering(entry_control& aControl,
               job::job& aJob,
               core::instant aNow,
               effects& aEffects)
{
  constexpr core::duration kFenceAgainAfter = std::chrono::milliseconds(400);
  job::inquiry& inquiry = aJob.mInquiry;
  if (!inquiry.mPending.empty()) {
    const core::duration waited = aNow - inquiry.mStartedAt;
    if (waited > aControl.mOptions.mRecoverTimeout) {
      inquiry.mUnavailable.merge(inquiry.mPending);
      inquiry.mPending.clear();
    } else if (waited > kFenceAgainAfter * (inquiry.mRounds + 1)) {
      ++inquiry.mRounds;
      FenceAgents(aControl, aJob);
    }
  }
  RecordAllFenced(aControl, aJob, aNow, aEffects);
}

void
SettleRecovering(entry_control& aControl,
                 job::job& aJob,
                 core::instant aNow,
                 effects& aEffects)
{
  aJob.mInquiry.mAnsweredAt.reset();
  FenceAgents(aControl, aJob);
  if (aJob.mInquiry.mPending.empty()) {
    DecideRecovered(aControl, aJob, aNow, aEffects);
  }
}

void
DecideRecovered(entry_control& aControl,
                job::job& aJob,
                core::instant aNow,
                effects& aEffects)
{
  const std::vector<const core::started_task*> last = LatestRecords(aJob);
  const bool anyStarted =
    std::any_of(last.begin(), last.end(), [](const auto* aRecord) {
      return aRecord != nullptr;
    });
  if (!anyStarted && aJob.mInquiry.mUnavailable.empty()) {
    aJob.mMayHaveStartedBefore = false;
    aJob.mTasks.assign(aJob.mSubmission.mTasks.size(), {});
    BecomeHomeIfAdmitted(aControl, aJob, aNow, aEffects);
    return;
  }
  aJob.mTasks.assign(aJob.mSubmission.mTasks.size(), {});
  aJob.mEnded = 0;
  const bool anyUnknown =
    std::any_of(last.begin(), last.end(), [](const auto* aRecord) {
      return aRecord == nullptr;
    });
  if (anyUnknown && !aJob.mInquiry.mUnavailable.empty() &&
      IsAnySilent(aControl, aJob.mInquiry)) {
    AbandonJob(
      aControl,
      aJob,
      { "recover job",
        MissingNames(aJob.mInquiry),
        aJob.mInquiry.mEntryUnresponsive
          ? "undecided: an entry that may know the outcome is silent"
          : "undecided: an agent that may have started tasks is silent" },
      kStatusUnavailable,
      aNow,
      aEffects);
    return;
  }
  core::error failure;
  for (std::uint32_t i = 0; i < last.size() && failure.mReason.empty(); ++i) {
    if (last[i] != nullptr) {
      failure = ApplyRecord(aControl, aJob, i, *last[i]);
    } else if (!aJob.mInquiry.mUnavailable.empty()) {
      failure = { "recover job",
                  MissingNames(aJob.mInquiry),
                  "outcome unknown: not every agent could answer" };
    }
  }
  BecomeHome(aControl, aJob, aNow, aEffects);
  if (!failure.mReason.empty()) {
    FailJob(aControl, aJob, failure, kStatusFailed, aNow, aEffects);
  } else if (aJob.mEnded == aJob.mTasks.size()) {
    CompleteJob(aControl, aJob, aNow, aEffects);
  }
}

} // namespace gooseberry::entry
