#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

namespace gooseberry::entry {

namespace {

/** Answers a submission that gets no place in the ledger. */
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

/** A submission of a job that the ledger has. */
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

/** Why this entry takes nothing new now; empty if it does. */
std::string
ReasonToTakeNothing(const entry_control& aControl, core::instant aNow)
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
  const auto& blind = aControl.mJoining.mBlindUntil;
  return aSubmission.mAttempt == job::kFirstAttempt &&
         aControl.mOptions.mTrustFirstAttempt && !(blind && aNow < *blind) &&
         job::FindNote(aControl.mLedger, aSubmission.mKey) == nullptr;
}

/** Tasks that an entry runs and that wait there. */
std::uint32_t
Demand(const std::map<std::string, core::team_use>& aTeams)
{
  std::uint32_t tasks = 0;
  for (const auto& [team, use] : aTeams) {
    tasks += use.mRunning + use.mWaiting;
  }
  return tasks;
}

/**
 * Slots that fall to this entry: by its part of all entries' tasks, as callers
 * are spread unevenly, and half of an equal part at least.
 */
std::uint32_t
SlotShare(const entry_control& aControl,
          const std::string& aService,
          core::instant aNow)
{
  const std::uint32_t slots = target::TotalSlots(aControl.mTargets, aService);
  const std::uint32_t own = Demand(aControl.mTeams) + 1;
  std::uint32_t all = own;
  std::uint32_t entries = 1;
  for (const auto& [name, view] : aControl.mMembers.mEntries) {
    if (!view.mLeaving && IsEntryHeard(aControl, name, aNow)) {
      all += Demand(view.mTeams) + 1;
      ++entries;
    }
  }
  const auto byDemand =
    static_cast<std::uint32_t>(std::uint64_t(slots) * own / all);
  return std::max({ 1U, slots / entries / 2, byDemand });
}

/** Expected work of the waiting tasks that go before such a job. */
core::duration
WorkAhead(const entry_control& aControl,
          const job::submission& aSubmission,
          const quota::admission_request& aRequest,
          core::instant aNow)
{
  const auto ready = aControl.mReady.mServices.find(aSubmission.mService);
  if (ready == aControl.mReady.mServices.end()) {
    return {};
  }
  const auto& order = aControl.mOptions.mOrder;
  const std::int64_t priority =
    order.mPolicy == job::order_policy::Objective
      ? job::ObjectiveKey(
          aSubmission,
          aNow + job::LongestWait(aSubmission, aRequest.mLongestTask))
      : job::Priority(order, aRequest.mWork, aNow);
  core::duration ahead{};
  for (const job::ready_key& key : ready->second) {
    if (key.mPriority > priority) {
      break;
    }
    ahead += aControl.mLedger.mJobs.at(key.mJob)->mWaitingWork;
  }
  return ahead;
}

/** What admission by the objective looks at; none where it is not used. */
std::optional<quota::objective_request>
MakeObjectiveRequest(const entry_control& aControl,
                     const job::submission& aSubmission,
                     core::duration aLongest,
                     core::instant aNow)
{
  if (aControl.mOptions.mOrder.mPolicy != job::order_policy::Objective ||
      job::ObjectiveOf(aSubmission, aLongest) <= core::duration::zero()) {
    return std::nullopt;
  }
  quota::objective_request request;
  request.mLongestWait = job::LongestWait(aSubmission, aLongest);
  request.mLongestUsefulWait = job::LongestUsefulWait(aSubmission, aLongest);
  request.mFreeSlots =
    target::FreeSlots(aControl.mTargets, aSubmission.mService, aNow);
  request.mLoadAbove =
    quota::LoadAbove(aControl.mOffered, aSubmission.mPriority, aNow);
  request.mWholeLoad = quota::WholeLoad(aControl.mOffered, aNow);
  if (const auto ready = aControl.mReady.mServices.find(aSubmission.mService);
      ready != aControl.mReady.mServices.end()) {
    for (const job::ready_key& key : ready->second) {
      request.mWaitingWork += aControl.mLedger.mJobs.at(key.mJob)->mWaitingWork;
    }
  }
  return request;
}

quota::admission_request
MakeAdmissionRequest(entry_control& aControl,
                     const job::submission& aSubmission,
                     core::instant aNow)
{
  quota::admission_request request;
  for (const job::task_description& task : aSubmission.mTasks) {
    const core::duration expected = target::ExpectedRunTime(
      aControl.mTargets, aSubmission.mService, task.mKind, task.mDeclared);
    request.mWork += expected;
    request.mLongestTask = std::max(request.mLongestTask, expected);
  }
  quota::NoteArrival(
    aControl.mOffered, aSubmission.mPriority, request.mWork, aNow);
  request.mTasks = static_cast<std::uint32_t>(aSubmission.mTasks.size());
  request.mWorkAhead = WorkAhead(aControl, aSubmission, request, aNow);
  for (const auto& [team, use] : aControl.mTeams) {
    request.mWaitingTasks += use.mWaiting;
  }
  request.mSlots = SlotShare(aControl, aSubmission.mService, aNow);
  request.mDeadline = aSubmission.mDeadline;
  request.mObjective =
    MakeObjectiveRequest(aControl, aSubmission, request.mLongestTask, aNow);
  return request;
}

/** What decided that a job is not taken in. */
void
LogRefused(const job::submission& aSubmission,
           const quota::admission_request& aRequest,
           const quota::refused& aRefused,
           effects& aEffects)
{
  const auto milliseconds = [](core::duration aTime) {
    return std::to_string(core::ToMilliseconds(aTime));
  };
  std::vector<log_field> fields{
    { "job", aSubmission.mKey },
    { "reason",
      std::string(quota::kAdmissionReasonNames.NameOf(aRefused.mReason)) },
    { "work_ms", milliseconds(aRequest.mWork) },
    { "work_ahead_ms", milliseconds(aRequest.mWorkAhead) },
    { "slots", std::to_string(aRequest.mSlots) },
    { "retry_after_ms", milliseconds(aRefused.mRetryAfter) }
  };
  if (const auto& objective = aRequest.mObjective) {
    fields.push_back(
      { "longest_wait_ms", milliseconds(objective->mLongestWait) });
    fields.push_back({ "load_above", std::to_string(objective->mLoadAbove) });
    fields.push_back({ "whole_load", std::to_string(objective->mWholeLoad) });
  }
  Log(aEffects, "admission_refused", std::move(fields));
}

/** The refusal that a submission nobody has started deserves, if any. */
std::optional<core::job_answer>
Reject(entry_control& aControl,
       const job::submission& aSubmission,
       core::instant aNow,
       effects& aEffects)
{
  const bool known = aControl.mDesired.mServices.contains(aSubmission.mService);
  if (known && AwaitsTargets(aControl, aNow)) {
    return std::nullopt;
  }
  if (!target::CanEverRun(aControl.mTargets, aSubmission.mService)) {
    return ErrorAnswer(
      aSubmission.mKey,
      core::job_outcome::Failed,
      { "place job",
        "",
        known ? "no target may take service " + aSubmission.mService
              : "no such service: " + aSubmission.mService },
      kStatusUnprocessable);
  }
  const quota::admission_request request =
    MakeAdmissionRequest(aControl, aSubmission, aNow);
  const quota::admission_decision decision =
    quota::Admit(aControl.mOptions.mAdmission, request);
  const auto* refused = std::get_if<quota::refused>(&decision);
  if (refused == nullptr) {
    return std::nullopt;
  }
  LogRefused(aSubmission, request, *refused, aEffects);
  core::job_answer answer = ErrorAnswer(
    aSubmission.mKey,
    core::job_outcome::NotRun,
    { "admit job",
      "",
      "overloaded: " +
        std::string(quota::kAdmissionReasonNames.NameOf(refused->mReason)) },
    kStatusTooMany);
  answer.mRetryAfter = refused->mRetryAfter;
  return answer;
}

} // namespace

void
OnSubmit(entry_control& aControl,
         std::uint64_t aToken,
         job::submission aSubmission,
         core::instant aNow,
         effects& aEffects)
{
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
  if (const std::string reason = ReasonToTakeNothing(aControl, aNow);
      !reason.empty()) {
    // An earlier attempt may have run elsewhere: only a first one is known not
    // to have been run.
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
    const job::note* const note =
      job::FindNote(aControl.mLedger, added.mSubmission.mKey);
    added.mMayHaveStartedBefore = note != nullptr && note->mMayHaveStarted;
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
  Log(
    aEffects,
    "caller_left",
    { { "job", aKey },
      { "ended", std::to_string(left->mEnded) },
      { "ms", std::to_string(core::ToMilliseconds(aNow - left->mArrived)) } });
  GiveUp(aControl,
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
