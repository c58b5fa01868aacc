#include "load/checks.h"

#include <algorithm>
#include <unordered_map>

namespace gooseberry::tools::load {

using common::run_record;
using common::run_state;

namespace {

constexpr std::size_t kMaxExamples = 5;

using starts_by_name =
  std::unordered_map<std::string, std::vector<const run_record*>>;

struct checker
{
  const check_input& mInput;
  std::vector<finding> mFindings;
  starts_by_name mByTask;
  starts_by_name mByJob;
};

void
Note(checker& aChecker, check aCheck, const std::string& aExample)
{
  finding& found = aChecker.mFindings[static_cast<std::size_t>(aCheck)];
  ++found.mCount;
  if (found.mExamples.size() < kMaxExamples) {
    found.mExamples.push_back(aExample);
  }
}

void
IndexRecords(checker& aChecker)
{
  for (const run_record& record : aChecker.mInput.mRecords) {
    aChecker.mByTask[record.mTask].push_back(&record);
    aChecker.mByJob[std::string(common::JobOf(record.mTask))].push_back(
      &record);
  }
  for (auto& [task, starts] : aChecker.mByTask) {
    std::sort(starts.begin(),
              starts.end(),
              [](const run_record* aLeft, const run_record* aRight) {
                return aLeft->mStartUs < aRight->mStartUs;
              });
  }
}

void
CheckStarts(checker& aChecker)
{
  for (const auto& [task, starts] : aChecker.mByTask) {
    for (std::size_t i = 1; i < starts.size(); ++i) {
      const run_record& before = *starts[i - 1];
      const bool failedBefore = before.mState == run_state::Failed &&
                                before.mEndUs <= starts[i]->mStartUs;
      if (!failedBefore) {
        Note(aChecker,
             check::StartedTwice,
             task + " on " + before.mTarget + " and " + starts[i]->mTarget);
      }
    }
  }
}

void
CheckAbsences(checker& aChecker)
{
  const timeline& times = aChecker.mInput.mTimeline;
  for (const run_record& record : aChecker.mInput.mRecords) {
    const std::string example = record.mTask + " on " + record.mTarget +
                                " at " + std::to_string(record.mStartUs);
    if (IsAbsent(
          times.mDomains, record.mFailureDomain, record.mStartUs, kBoundUs)) {
      Note(aChecker, check::StartInOutDomain, example);
    }
    if (IsAbsent(times.mTargets, record.mTarget, record.mStartUs, kBoundUs)) {
      Note(aChecker, check::StartOnLeavingTarget, example);
    }
  }
}

/**
 * A job refused as not run may run by a later submission. So a start counts
 * against a refusal if it came before it, or if there was one submission only.
 */
bool
IsFalseNotRun(const answer& aAnswer,
              const job_run& aRun,
              const std::vector<const run_record*>& aStarts)
{
  return std::any_of(
    aStarts.begin(), aStarts.end(), [&](const run_record* aStart) {
      return aRun.mSubmissions == 1 || aStart->mStartUs < aAnswer.mAnsweredUs;
    });
}

/** Whether each task of the job has a run that succeeded. */
bool
HasAllRuns(const checker& aChecker, const job_plan& aJob)
{
  for (std::size_t i = 0; i < aJob.mTasks.size(); ++i) {
    const auto it =
      aChecker.mByTask.find(KeyOf(aJob) + ":" + std::to_string(i));
    if (it == aChecker.mByTask.end() ||
        std::none_of(
          it->second.begin(), it->second.end(), [](const run_record* aRun) {
            return aRun->mState == run_state::Succeeded;
          })) {
      return false;
    }
  }
  return true;
}

void
CheckAnswer(checker& aChecker,
            const job_plan& aJob,
            const job_run& aRun,
            const answer& aAnswer)
{
  const std::string key = KeyOf(aJob);
  if (aAnswer.mStatus == 0) {
    Note(aChecker, check::RequestCut, key + " at " + aAnswer.mEntry);
  }
  if (aAnswer.mPartial) {
    Note(aChecker, check::PartialAnswer, key);
  }
  const bool isComplete = aAnswer.mOutcome == core::job_outcome::Complete;
  if (aAnswer.mWrong || (isComplete && !HasAllRuns(aChecker, aJob))) {
    Note(aChecker, check::WrongResult, key);
  }
  if (aAnswer.mOutcome == core::job_outcome::NotRun &&
      IsFalseNotRun(aAnswer, aRun, aChecker.mByJob[key])) {
    Note(aChecker, check::FalseNotRun, key + ": " + aAnswer.mReason);
  }
}

void
CheckOutcomes(checker& aChecker, const job_plan& aJob, const job_run& aRun)
{
  bool complete = false;
  bool failed = false;
  // 504 says that this caller's time is up, not how the job ended.
  constexpr long kDeadlineStatus = 504;
  for (const answer& one : aRun.mAnswers) {
    complete = complete || one.mOutcome == core::job_outcome::Complete;
    failed = failed || (one.mOutcome == core::job_outcome::Failed &&
                        one.mStatus != kDeadlineStatus);
  }
  if (complete && failed) {
    Note(aChecker, check::RivalOutcomes, KeyOf(aJob));
  }
}

void
CheckNonIdempotent(checker& aChecker, const job_plan& aJob)
{
  if (aJob.mIdempotent) {
    return;
  }
  for (std::size_t i = 0; i < aJob.mTasks.size(); ++i) {
    const std::string task = KeyOf(aJob) + ":" + std::to_string(i);
    if (const auto it = aChecker.mByTask.find(task);
        it != aChecker.mByTask.end() && it->second.size() > 1) {
      Note(aChecker, check::NonIdempotentTwice, task);
    }
  }
}

} // namespace

std::vector<finding>
CheckRun(const check_input& aInput)
{
  checker state{ aInput, {}, {}, {} };
  for (std::size_t i = 0; i < kCheckNames.mNames.size(); ++i) {
    state.mFindings.push_back({ static_cast<check>(i), 0, {} });
  }
  IndexRecords(state);
  CheckStarts(state);
  CheckAbsences(state);
  for (std::size_t i = 0; i < aInput.mJobs.size(); ++i) {
    const job_plan& job = aInput.mJobs[i];
    const job_run& run = aInput.mRuns[i];
    for (const answer& one : run.mAnswers) {
      CheckAnswer(state, job, run, one);
    }
    if (run.mAnswers.size() < run.mSubmissions) {
      Note(state, check::RequestCut, KeyOf(job) + ": no answer");
    }
    CheckOutcomes(state, job, run);
    CheckNonIdempotent(state, job);
  }
  return state.mFindings;
}

} // namespace gooseberry::tools::load
