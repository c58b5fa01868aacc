#include "world.h"

#include <algorithm>

/** The promises of the product, checked on what targets and callers saw. */
namespace gooseberry::world {

namespace {

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
  std::map<core::task_ref, const started*> last;
  for (const started& start : mStarts) {
    const started*& before = last[start.mTask];
    if (before != nullptr &&
        (!before->mFailed || before->mEndedAt > start.mAt ||
         before->mTry >= start.mTry)) {
      return "started twice: " + ToString(start.mTask) + " at " +
             Milliseconds(before->mAt) + " and " + Milliseconds(start.mAt);
    }
    before = &start;
  }
  return {};
}

std::string
cluster::CheckDomains() const
{
  for (const started& start : mStarts) {
    for (const domain_out& out : mOut) {
      if (start.mDomain == out.mDomain &&
          start.mAt > out.mFrom + kDomainBound && start.mAt < out.mUntil) {
        return "started in an out domain: " + ToString(start.mTask) + " at " +
               Milliseconds(start.mAt) + ", out since " +
               Milliseconds(out.mFrom);
      }
    }
  }
  return {};
}

bool
cluster::IsLaterAttempt(const answered& aAnswer, instant aStart) const
{
  return std::any_of(
    mAttempts.begin(), mAttempts.end(), [&](const answered& aOther) {
      return aOther.mJob == aAnswer.mJob &&
             aOther.mAttempt > aAnswer.mAttempt && aOther.mAt <= aStart;
    });
}

std::string
cluster::CheckAnswers() const
{
  for (const answered& answer : mAnswers) {
    if (answer.mAnswer.mOutcome == core::job_outcome::Complete) {
      for (std::uint32_t i = 0; i < answer.mAnswer.mResults.size(); ++i) {
        if (answer.mAnswer.mResults[i] !=
            "result of " + ToString(core::task_ref{ answer.mJob, i })) {
          return "not its own whole answer: " + answer.mJob;
        }
      }
      if (answer.mAnswer.mResults.empty()) {
        return "complete without results: " + answer.mJob;
      }
    }
    if (answer.mAnswer.mOutcome != core::job_outcome::NotRun) {
      continue;
    }
    for (const started& start : mStarts) {
      if (start.mTask.mJob == answer.mJob &&
          !IsLaterAttempt(answer, start.mAt)) {
        return "not run, but started: " + ToString(start.mTask) + " at " +
               Milliseconds(start.mAt) + ", answered at " +
               Milliseconds(answer.mAt);
      }
    }
  }
  return {};
}

std::string
cluster::Check() const
{
  if (!mBroken.empty()) {
    return mBroken;
  }
  if (std::string broken = CheckStarts(); !broken.empty()) {
    return broken;
  }
  if (std::string broken = CheckDomains(); !broken.empty()) {
    return broken;
  }
  return CheckAnswers();
}

} // namespace gooseberry::world
