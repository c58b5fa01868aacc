#include "world.h"

#include <algorithm>

/** Checks of the guarantees, on starts at targets and answers to callers. */
namespace gooseberry::world {

namespace {

/** Starts are allowed for this long after a domain is taken out. */
constexpr duration kDomainBound = std::chrono::seconds(2);

std::string
Milliseconds(instant aTime)
{
  return std::to_string(core::ToMilliseconds(aTime.time_since_epoch())) + " ms";
}

} // namespace

std::string
cluster::CheckStarts() const
{
  std::map<core::task_ref, const start_record*> last;
  for (const start_record& start : mStarts) {
    const start_record*& previous = last[start.mTask];
    if (previous != nullptr &&
        (!previous->mFailed || previous->mEndedAt > start.mStartedAt ||
         previous->mTry >= start.mTry)) {
      return "started twice: " + ToString(start.mTask) + " at " +
             Milliseconds(previous->mStartedAt) + " and " +
             Milliseconds(start.mStartedAt);
    }
    previous = &start;
  }
  return {};
}

std::string
cluster::CheckDomains() const
{
  for (const start_record& start : mStarts) {
    for (const domain_out_period& out : mOutPeriods) {
      if (start.mDomain == out.mDomain &&
          start.mStartedAt > out.mFrom + kDomainBound &&
          start.mStartedAt < out.mUntil) {
        return "started in an out domain: " + ToString(start.mTask) + " at " +
               Milliseconds(start.mStartedAt) + ", out since " +
               Milliseconds(out.mFrom);
      }
    }
  }
  return {};
}

bool
cluster::IsLaterAttempt(const answer_record& aAnswer, instant aStart) const
{
  return std::any_of(mSubmissions.begin(),
                     mSubmissions.end(),
                     [&](const answer_record& aSubmission) {
                       return aSubmission.mJob == aAnswer.mJob &&
                              aSubmission.mAttempt > aAnswer.mAttempt &&
                              aSubmission.mRecordedAt <= aStart;
                     });
}

std::string
cluster::CheckAnswers() const
{
  for (const answer_record& answer : mAnswers) {
    if (answer.mAnswer.mOutcome == core::job_outcome::Complete) {
      for (std::uint32_t i = 0; i < answer.mAnswer.mResults.size(); ++i) {
        if (answer.mAnswer.mResults[i] !=
            "result of " + ToString(core::task_ref{ answer.mJob, i })) {
          return "wrong result in the answer of: " + answer.mJob;
        }
      }
      if (answer.mAnswer.mResults.empty()) {
        return "complete without results: " + answer.mJob;
      }
    }
    if (answer.mAnswer.mOutcome != core::job_outcome::NotRun) {
      continue;
    }
    for (const start_record& start : mStarts) {
      if (start.mTask.mJob == answer.mJob &&
          !IsLaterAttempt(answer, start.mStartedAt)) {
        return "answered not run, but started: " + ToString(start.mTask) +
               " at " + Milliseconds(start.mStartedAt) + ", answered at " +
               Milliseconds(answer.mRecordedAt);
      }
    }
  }
  return {};
}

std::string
cluster::Check() const
{
  if (!mViolation.empty()) {
    return mViolation;
  }
  if (std::string violation = CheckStarts(); !violation.empty()) {
    return violation;
  }
  if (std::string violation = CheckDomains(); !violation.empty()) {
    return violation;
  }
  return CheckAnswers();
}

} // namespace gooseberry::world
