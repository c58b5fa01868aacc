#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

/** End of jobs at an entry, and answers to all who wait for them. */
namespace gooseberry::entry {

core::job_answer
ErrorAnswer(const std::string& aJob,
            core::job_outcome aOutcome,
            const core::error& aError,
            std::uint32_t aStatus)
{
  constexpr core::duration kRetryAfterOutage = std::chrono::seconds(1);
  core::job_answer answer;
  answer.mJob = aJob;
  answer.mOutcome = aOutcome;
  answer.mReason = aError.mReason;
  answer.mStep = aError.mStep;
  answer.mPeer = aError.mPeer;
  answer.mStatus = aStatus;
  if (aStatus == kStatusUnavailable || aStatus == kStatusTooMany) {
    answer.mRetryAfter = kRetryAfterOutage;
  }
  return answer;
}

namespace {

/** Answers all who wait for the job, here and at other entries. */
void
AnswerWaiters(entry_control& aControl,
              job::job& aJob,
              const core::job_answer& aAnswer,
              effects& aEffects)
{
  for (const std::uint64_t token : aJob.mWaiters) {
    aEffects.emplace_back(answer_caller{ token, aAnswer });
  }
  aJob.mWaiters.clear();
  for (const std::string& name : aJob.mAttachedEntries) {
    Deliver(aControl, name, aAnswer);
  }
  aJob.mAttachedEntries.clear();
}

void
LogOutcome(const job::job& aJob,
           const core::job_answer& aAnswer,
           core::instant aNow,
           effects& aEffects)
{
  Log(aEffects,
      "job_ended",
      { { "job", aJob.mSubmission.mKey },
        { "outcome",
          std::string(core::kJobOutcomeNames.NameOf(aAnswer.mOutcome)) },
        { "reason", aAnswer.mReason },
        { "step", aAnswer.mStep },
        { "peer", aAnswer.mPeer },
        { "ms", core::FormatMilliseconds(aNow - aJob.mArrived) } });
}

/** Stops all work on a job and cancels its tasks; it stays in the ledger. */
void
StopJob(entry_control& aControl, job::job& aJob, core::instant aNow)
{
  const std::set<std::string> agents = ReleaseJob(aControl, aJob);
  for (const std::string& name : agents) {
    const auto view = aControl.mMembers.mAgents.find(name);
    if (view != aControl.mMembers.mAgents.end()) {
      Cancel(aControl.mCancellations,
             view->second.mState.mAddress,
             aJob.mSubmission.mKey,
             aNow);
    }
  }
  aControl.mInquiring.erase(aJob.mSubmission.mKey);
  aControl.mAttached.erase(aJob.mSubmission.mKey);
  --aControl.mOpenJobs;
}

} // namespace

void
EndJob(entry_control& aControl,
       job::job& aJob,
       core::job_answer aAnswer,
       core::instant aNow,
       effects& aEffects)
{
  StopJob(aControl, aJob, aNow);
  aJob.mPhase = job::phase::Ended;
  aJob.mEndedAt = aNow;
  aJob.mAnswer = std::move(aAnswer);
  aJob.mSubmission.mTasks.clear();
  aJob.mInquiry = {};
  ++aControl.mCounters
      .mOutcomes[static_cast<std::size_t>(aJob.mAnswer.mOutcome)];
  aControl.mSamples.push_back(
    { aNow - aJob.mArrived, aJob.mIdeal, aJob.mAnswer.mOutcome });
  LogOutcome(aJob, aJob.mAnswer, aNow, aEffects);
  AnswerWaiters(aControl, aJob, aJob.mAnswer, aEffects);
  job::KeepEnded(aControl.mLedger, aJob, aNow);
}

void
CompleteJob(entry_control& aControl,
            job::job& aJob,
            core::instant aNow,
            effects& aEffects)
{
  core::job_answer answer;
  answer.mJob = aJob.mSubmission.mKey;
  answer.mOutcome = core::job_outcome::Complete;
  answer.mResults.reserve(aJob.mTasks.size());
  for (job::task& ended : aJob.mTasks) {
    answer.mResults.push_back(std::move(ended.mResult));
  }
  EndJob(aControl, aJob, std::move(answer), aNow, aEffects);
}

void
FailJob(entry_control& aControl,
        job::job& aJob,
        const core::error& aError,
        std::uint32_t aStatus,
        core::instant aNow,
        effects& aEffects)
{
  EndJob(aControl,
         aJob,
         ErrorAnswer(
           aJob.mSubmission.mKey, core::job_outcome::Failed, aError, aStatus),
         aNow,
         aEffects);
}

void
RefuseJob(entry_control& aControl,
          job::job& aJob,
          const core::error& aError,
          std::uint32_t aStatus,
          core::instant aNow,
          effects& aEffects,
          std::optional<core::duration> aRetryAfter)
{
  const std::string key = aJob.mSubmission.mKey;
  core::job_answer answer =
    ErrorAnswer(key, core::job_outcome::NotRun, aError, aStatus);
  answer.mRetryAfter = aRetryAfter;
  StopJob(aControl, aJob, aNow);
  ++aControl.mCounters
      .mOutcomes[static_cast<std::size_t>(core::job_outcome::NotRun)];
  LogOutcome(aJob, answer, aNow, aEffects);
  AnswerWaiters(aControl, aJob, answer, aEffects);
  job::Refuse(aControl.mLedger, key, aJob.mSubmission.mAttempt, answer, aNow);
  job::Remove(aControl.mLedger, key);
}

void
AbandonJob(entry_control& aControl,
           job::job& aJob,
           const core::error& aError,
           std::uint32_t aStatus,
           core::instant aNow,
           effects& aEffects)
{
  const std::string key = aJob.mSubmission.mKey;
  const core::job_answer answer =
    ErrorAnswer(key, core::job_outcome::Failed, aError, aStatus);
  if (!aControl.mOptions.mLeasedRuns &&
      (job::MayHaveStarted(aJob) || aJob.mPhase == job::phase::Recovering)) {
    job::RecordPossibleStarts(
      aControl.mLedger, key, aJob.mBallot, aControl.mSelf.mName, aNow);
  }
  // This is no outcome of the job, so attached entries continue to ask.
  aJob.mAttachedEntries.clear();
  StopJob(aControl, aJob, aNow);
  ++aControl.mCounters
      .mOutcomes[static_cast<std::size_t>(core::job_outcome::Failed)];
  AnswerWaiters(aControl, aJob, answer, aEffects);
  job::Remove(aControl.mLedger, key);
}

} // namespace gooseberry::entry
