#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"
#include "libgooseberry/lease/settings.h"

namespace gooseberry::entry {

namespace {

/** Answers a submission that is not added to the ledger. */
void
AnswerAtOnce(entry_control& aControl,
             std::uint64_t aToken,
             const job::submission& aSubmission,
             const core::job_answer& aAnswer,
             core::instant aNow,
             effects& aEffects)
{
  ++aControl.mCounters.mOutcomes[static_cast<std::size_t>(aAnswer.mOutcome)];
  if (aAnswer.mOutcome == core::job_outcome::NotRun) {
    job::Refuse(
      aControl.mLedger, aSubmission.mKey, aSubmission.mAttempt, aAnswer, aNow);
  }
  Log(aEffects,
      "submission_refused",
      { { "job", aSubmission.mKey },
        { "outcome",
          std::string(core::kJobOutcomeNames.NameOf(aAnswer.mOutcome)) },
        { "reason", aAnswer.mReason } });
  aEffects.emplace_back(answer_caller{ aToken, aAnswer });
}

/** Handles a submission of a job that is in the ledger. */
void
JoinJob(std::uint64_t aToken,
        const job::submission& aSubmission,
        job::job& aJob,
        effects& aEffects)
{
  if (aJob.mSubmission.mContentHash != aSubmission.mContentHash) {
    const core::error different{ "submit job",
                                 "",
                                 "a job of this name has other content" };
    aEffects.emplace_back(answer_caller{ aToken,
                                         ErrorAnswer(aSubmission.mKey,
                                                     core::job_outcome::Failed,
                                                     different,
                                                     kStatusConflict) });
    return;
  }
  if (aJob.mPhase == job::phase::Ended) {
    aEffects.emplace_back(answer_caller{ aToken, aJob.mAnswer });
    return;
  }
  aJob.mWaiters.push_back(aToken);
}

/** Returns why this entry refuses the new job now; empty if it does not. */
std::string
ReasonToRefuse(const entry_control& aControl,
               const job::submission& aSubmission,
               core::instant aNow)
{
  if (aControl.mLeaving) {
    return "entry is leaving";
  }
  if (aControl.mJoining.mStage != join_stage::Open) {
    return "entry has not joined yet";
  }
  if (!IsFresh(aControl, aNow)) {
    return "entry is out of touch with the store and all peers";
  }
  if (membership::IsInDoubt(
        aControl.mMembers, aSubmission.mKey, aNow, lease::kCallLifetime)) {
    return "a start of an earlier submission may yet be carried out";
  }
  return {};
}

bool
IsTrustedFirst(const entry_control& aControl,
               const job::submission& aSubmission,
               core::instant aNow)
{
  if (aControl.mOptions.mLeasedRuns) {
    return true;
  }
  const auto& recoveryUntil = aControl.mJoining.mRecoveryPathUntil;
  return aSubmission.mAttempt == job::kFirstAttempt &&
         aControl.mOptions.mTrustFirstAttempt &&
         !(recoveryUntil && aNow < *recoveryUntil) &&
         job::FindPromise(aControl.mLedger, aSubmission.mKey) == nullptr;
}

} // namespace

void
OnSubmit(entry_control& aControl,
         std::uint64_t aToken,
         job::submission aSubmission,
         core::instant aNow,
         effects& aEffects)
{
  ++aControl.mCounters.mSubmissions;
  if (job::job* known = job::Find(aControl.mLedger, aSubmission.mKey)) {
    JoinJob(aToken, aSubmission, *known, aEffects);
    return;
  }
  if (const core::job_answer* refused = job::FindRefused(
        aControl.mLedger, aSubmission.mKey, aSubmission.mAttempt)) {
    aEffects.emplace_back(answer_caller{ aToken, *refused });
    return;
  }
  const bool first = IsTrustedFirst(aControl, aSubmission, aNow);
  if (const std::string reason = ReasonToRefuse(aControl, aSubmission, aNow);
      !reason.empty()) {
    // Only a first attempt is known not to have run: an earlier one may have
    // run elsewhere.
    const auto outcome =
      first ? core::job_outcome::NotRun : core::job_outcome::Failed;
    AnswerAtOnce(aControl,
                 aToken,
                 aSubmission,
                 ErrorAnswer(aSubmission.mKey,
                             outcome,
                             { "submit job", aControl.mSelf.mName, reason },
                             kStatusUnavailable),
                 aNow,
                 aEffects);
    return;
  }
  if (first) {
    if (const auto refusal = Reject(aControl, aSubmission, aNow, aEffects)) {
      AnswerAtOnce(aControl, aToken, aSubmission, *refusal, aNow, aEffects);
      return;
    }
  }
  job::job& added = job::Add(aControl.mLedger, std::move(aSubmission), aNow);
  ++aControl.mOpenJobs;
  added.mWaiters.push_back(aToken);
  aControl.mDeadlines.emplace(added.mDeadline, added.mSubmission.mKey);
  if (!first) {
    const job::promise_record* const promise =
      job::FindPromise(aControl.mLedger, added.mSubmission.mKey);
    added.mMayHaveStartedBefore =
      promise != nullptr && promise->mMayHaveStarted;
    StartLocating(aControl, added, {}, aNow, aEffects);
    return;
  }
  added.mBallot = { job::kFirstAttempt, aControl.mSelf.mIncarnation };
  BecomeHome(aControl, added, aNow, aEffects);
  Dispatch(aControl, aNow, aEffects);
}

void
BecomeHomeIfAdmitted(entry_control& aControl,
                     job::job& aJob,
                     core::instant aNow,
                     effects& aEffects)
{
  const auto refusal = Reject(aControl, aJob.mSubmission, aNow, aEffects);
  if (!refusal) {
    BecomeHome(aControl, aJob, aNow, aEffects);
    return;
  }
  const core::error error{ refusal->mStep, refusal->mPeer, refusal->mReason };
  if (refusal->mOutcome == core::job_outcome::NotRun) {
    RefuseJob(aControl, aJob, error, refusal->mStatus, aNow, aEffects);
  } else {
    FailJob(aControl, aJob, error, refusal->mStatus, aNow, aEffects);
  }
}

void
OnCallerLeft(entry_control& aControl,
             std::uint64_t aToken,
             const std::string& aKey,
             core::instant aNow,
             effects& aEffects)
{
  job::job* const left = job::Find(aControl.mLedger, aKey);
  if (left == nullptr || left->mPhase == job::phase::Ended) {
    return;
  }
  std::erase(left->mWaiters, aToken);
  if (!left->mWaiters.empty() || !aControl.mOptions.mLeasedRuns) {
    return;
  }
  Log(aEffects,
      "caller_left",
      { { "job", aKey },
        { "ended", std::to_string(left->mEnded) },
        { "ms", core::FormatMilliseconds(aNow - left->mArrived) } });
  AbandonJob(aControl,
             *left,
             { "run job", "", "the caller left" },
             kStatusCancelled,
             aNow,
             aEffects);
  Dispatch(aControl, aNow, aEffects);
}

bool
OnCancel(entry_control& aControl,
         const std::string& aKey,
         core::instant aNow,
         effects& aEffects)
{
  job::job* found = job::Find(aControl.mLedger, aKey);
  if (found == nullptr || found->mPhase != job::phase::Running) {
    return found != nullptr && found->mPhase == job::phase::Ended;
  }
  ++aControl.mCounters.mCancels;
  FailJob(aControl,
          *found,
          { "run job", "", "cancelled by the caller" },
          kStatusCancelled,
          aNow,
          aEffects);
  Dispatch(aControl, aNow, aEffects);
  return true;
}

} // namespace gooseberry::entry
