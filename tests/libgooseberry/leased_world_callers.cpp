#include "leased_world.h"
#include "libgooseberry/core/decimal.h"

#include <algorithm>
#include <sstream>

/** Callers, and the checks of answers to them and of starts at targets. */
namespace gooseberry::leased_world {

using namespace std::chrono_literals;

namespace {

constexpr duration kResendDelay = 1300ms;
constexpr std::uint32_t kMaxSends = 4;
constexpr std::uint32_t kStatusUnprocessable = 422;
constexpr std::uint32_t kStatusDeadline = 504;
/** CPU of a task; a target has 4 times as much. */
constexpr std::uint32_t kCpu = 1'000;
/** At a target, which has CPU for this many tasks. */
constexpr std::size_t kMaxRuns = 4;

} // namespace

std::string
world::Submit(std::size_t aEntry,
              std::vector<duration> aRunTimes,
              duration aDeadline,
              std::optional<duration> aDisconnectAfter)
{
  std::string key = "j" + std::to_string(mJobs.size());
  job_record& record = mJobs[key];
  record.mRunTimes = std::move(aRunTimes);
  job::submission& submission = record.mSubmission;
  submission.mKey = key;
  submission.mService = "plans";
  submission.mTeam = "q";
  submission.mAttempt = job::kAttemptUnknown;
  submission.mIdempotent = true;
  submission.mMaxTries = 3;
  submission.mDeadline = aDeadline;
  submission.mObjective = { 150, 800ms };
  submission.mContentHash = mJobs.size();
  for (const duration time : record.mRunTimes) {
    submission.mTasks.push_back({ "q", time, "", { kCpu, 64, 0 } });
  }
  Send(key, aEntry, aDisconnectAfter);
  return key;
}

void
world::SubmitUntil(instant aEnd, duration aMeanGap)
{
  if (mNow >= aEnd) {
    return;
  }
  std::vector<duration> runTimes;
  const auto count = Draw(1, 8);
  for (std::uint64_t i = 0; i < count; ++i) {
    runTimes.push_back(Chance(0.03) ? 4s : Milliseconds(60, 900));
  }
  duration deadline = 1500ms;
  if (Chance(0.25)) {
    deadline = Milliseconds(1'500, 20'000);
  }
  std::optional<duration> disconnectAfter;
  if (Chance(0.15)) {
    disconnectAfter = Milliseconds(5, 1'500);
  }
  const auto entry = Draw(0, mEntries.size() - 1);
  if (mEntries[entry].mAlive) {
    Submit(entry, std::move(runTimes), deadline, disconnectAfter);
  }
  const auto mean = static_cast<std::uint64_t>(aMeanGap.count());
  At(mNow + duration(Draw(0, 2 * mean)),
     [this, aEnd, aMeanGap] { SubmitUntil(aEnd, aMeanGap); });
}

const job_record&
world::Job(const std::string& aKey) const
{
  return mJobs.at(aKey);
}

void
world::Send(const std::string& aKey,
            std::size_t aEntry,
            std::optional<duration> aDisconnectAfter)
{
  entry_process& entry = mEntries[aEntry];
  const auto token = mNextToken++;
  mRequests[token] = { token, aKey, aEntry, entry.mIncarnation, false };
  job_record& record = mJobs.at(aKey);
  ++record.mSendCount;
  RecordEvent(aKey, "is sent to " + entry.mName);
  At(mNow + Latency(), [this, &entry, token, run = entry.mIncarnation] {
    Arrive(entry, run, [this, &entry, token] { ReadRequest(entry, token); });
  });
  const duration timeout = aDisconnectAfter.value_or(
    record.mSubmission.mDeadline + Milliseconds(0, 150));
  At(mNow + timeout, [this, token] { DisconnectCaller(token); });
}

void
world::ReadRequest(entry_process& aEntry, std::uint64_t aToken)
{
  const auto found = mRequests.find(aToken);
  if (found == mRequests.end()) {
    return; // The caller has left, so the front drops the request.
  }
  found->second.mIsRead = true;
  const job::submission submission = mJobs.at(found->second.mKey).mSubmission;
  RecordEvent(submission.mKey, "is read by " + aEntry.mName);
  WithEntry(aEntry, [&](entry::effects& aEffects) {
    entry::OnSubmit(*aEntry.mControl, aToken, submission, mNow, aEffects);
  });
}

void
world::DisconnectCaller(std::uint64_t aToken)
{
  const auto found = mRequests.find(aToken);
  if (found == mRequests.end()) {
    return;
  }
  const request abandoned = found->second;
  mRequests.erase(found);
  RecordEvent(abandoned.mKey,
              "its caller leaves " + mEntries[abandoned.mEntry].mName);
  if (abandoned.mIsRead) {
    entry_process& entry = mEntries[abandoned.mEntry];
    At(mNow + Latency(), [this, &entry, abandoned] {
      Arrive(entry, abandoned.mIncarnation, [this, &entry, abandoned] {
        WithEntry(entry, [&](entry::effects& aEffects) {
          entry::OnCallerLeft(
            *entry.mControl, abandoned.mToken, abandoned.mKey, mNow, aEffects);
        });
      });
    });
  }
  At(mNow + kResendDelay, [this, key = abandoned.mKey] { Resend(key); });
}

void
world::Resend(const std::string& aKey)
{
  if (mJobs.at(aKey).mSendCount >= kMaxSends) {
    return;
  }
  std::vector<std::size_t> alive;
  for (const entry_process& entry : mEntries) {
    if (entry.mAlive) {
      alive.push_back(entry.mIndex);
    }
  }
  if (alive.empty()) {
    At(mNow + 100ms, [this, aKey] { Resend(aKey); });
    return;
  }
  ++mCounters.mResent;
  std::optional<duration> disconnectAfter;
  if (Chance(0.1)) {
    disconnectAfter = Milliseconds(5, 1'500);
  }
  Send(aKey, alive[Draw(0, alive.size() - 1)], disconnectAfter);
}

void
world::BreakConnections(std::size_t aEntry)
{
  for (const auto& [token, request] : mRequests) {
    if (request.mEntry == aEntry &&
        request.mIncarnation == mEntries[aEntry].mIncarnation) {
      At(mNow + Latency(),
         [this, abandoned = token] { DisconnectCaller(abandoned); });
    }
  }
}

void
world::Do(entry_process& aFrom, const entry::answer_caller& aEffect)
{
  RecordEvent(
    aEffect.mAnswer.mJob,
    aFrom.mName + " answers " +
      std::string(core::kJobOutcomeNames.NameOf(aEffect.mAnswer.mOutcome)) +
      " " + std::to_string(aEffect.mAnswer.mStatus) + " " +
      aEffect.mAnswer.mReason);
  At(mNow + Latency(), [this, aEffect] {
    const auto found = mRequests.find(aEffect.mToken);
    if (found != mRequests.end()) {
      const request answered = found->second;
      mRequests.erase(found);
      ProcessAnswer(answered, aEffect.mAnswer);
    }
  });
}

void
world::ProcessAnswer(const request& aRequest, const core::job_answer& aAnswer)
{
  const std::string key = aRequest.mKey;
  job_record& record = mJobs.at(key);
  if (aAnswer.mOutcome == core::job_outcome::Complete) {
    ++mCounters.mComplete;
    record.mIsComplete = true;
    if (record.mSucceededTasks.size() != record.mRunTimes.size()) {
      ReportViolation("COMPLETE before each task has ended", key);
    }
  } else if (aAnswer.mOutcome == core::job_outcome::NotRun ||
             aAnswer.mStatus == kStatusUnprocessable) {
    ++mCounters.mRefused;
    ++record.mRefusalCount;
    CheckRefused(key);
  } else if (aAnswer.mStatus == kStatusDeadline) {
    At(mNow + kResendDelay, [this, key] { Resend(key); });
  }
}

void
world::CheckRefused(const std::string& aKey)
{
  const job_record& record = mJobs.at(aKey);
  if (record.mRunCount > 0 && record.mSendCount == record.mRefusalCount) {
    ReportViolation("REFUSED: a job that was answered not run was started",
                    aKey);
  }
}

void
world::RecordChanges(std::size_t aIndex,
                     const std::vector<run_change>& aChanges)
{
  const std::string& name = mTargets[aIndex].mName;
  for (const run_change& change : aChanges) {
    const std::string& key = change.mTask.mJob;
    RecordEvent(key,
                name + (change.mIsStart ? " starts" : " ends") + " task " +
                  std::to_string(change.mTask.mIndex) + " run " +
                  std::to_string(change.mRun) + " " + change.mEndReason);
    auto& active = mActive[change.mTask];
    if (change.mIsStart) {
      active.insert(aIndex);
      CheckStart(aIndex, change);
      continue;
    }
    active.erase(active.find(aIndex));
    mCounters.mStopped += change.mEndReason == "stopped" ? 1 : 0;
    mCounters.mExpired += change.mEndReason == "lapsed" ? 1 : 0;
    if (change.mEndReason == "done") {
      mJobs.at(key).mSucceededTasks.insert(change.mTask.mIndex);
    }
  }
}

void
world::CheckStart(std::size_t aTarget, const run_change& aChange)
{
  const std::string& key = aChange.mTask.mJob;
  ++mCounters.mRuns;
  ++mJobs.at(key).mRunCount;
  if (mActive[aChange.mTask].size() > 1) {
    ReportViolation("TWICE: task " + std::to_string(aChange.mTask.mIndex), key);
  }
  if (mTargets[aTarget].mRuns.size() > kMaxRuns) {
    ReportViolation(
      "LIMIT: " + mTargets[aTarget].mName + " has no free capacity", key);
  }
  CheckRefused(key);
}

std::vector<std::size_t>
world::TargetsRunning(const std::string& aKey) const
{
  std::vector<std::size_t> found;
  for (const auto& [task, targets] : mActive) {
    if (task.mJob == aKey) {
      found.insert(found.end(), targets.begin(), targets.end());
    }
  }
  return found;
}

std::string
world::Timestamp() const
{
  return core::FormatMilliseconds(mNow - simulation::kStartTime);
}

void
world::RecordEvent(const std::string& aKey, const std::string& aText)
{
  mJobs.at(aKey).mHistory.push_back(Timestamp() + ' ' + aText);
}

void
world::RecordFault(const std::string& aText)
{
  mFaultHistory.push_back(Timestamp() + ' ' + aText);
}

void
world::Do(entry_process& aFrom, const entry::log_line& aEffect)
{
  std::string text = aFrom.mName + " " + aEffect.mEvent;
  std::string job;
  for (const entry::log_field& field : aEffect.mFields) {
    job = field.mKey == "job" ? field.mValue : job;
    text += " " + field.mKey + "=" + field.mValue;
  }
  if (mJobs.contains(job)) {
    RecordEvent(job, text);
  }
}

void
world::Do(agent_process& aFrom, const agent::log_event& aEffect)
{
  if (aEffect.mEvent == agent::agent_event::TargetChanged) {
    RecordFault(aFrom.mName + " sees " + aEffect.mPeer + ": " +
                aEffect.mDetail);
  }
  if (!mJobs.contains(aEffect.mTask.mJob)) {
    return;
  }
  RecordEvent(
    aEffect.mTask.mJob,
    aFrom.mName + " " +
      std::string(agent::kAgentEventNames.NameOf(aEffect.mEvent)) +
      " task=" + std::to_string(aEffect.mTask.mIndex) +
      " try=" + std::to_string(aEffect.mTry) + " verdict=" +
      std::string(core::kStartVerdictNames.NameOf(aEffect.mVerdict)) +
      " end=" + std::string(core::kTaskEndNames.NameOf(aEffect.mEnd)) +
      " peer=" + aEffect.mPeer +
      " evidence_age_ms=" + core::FormatMilliseconds(aEffect.mLastContactAge) +
      " " + aEffect.mDetail);
}

void
world::ReportViolation(const std::string& aViolation, const std::string& aKey)
{
  if (!mViolation.empty()) {
    return;
  }
  std::ostringstream text;
  text << "seed " << mOptions.mSeed << ": " << aViolation << " of " << aKey
       << "\nfaults:\n";
  for (const std::string& line : mFaultHistory) {
    text << line << '\n';
  }
  text << "history:\n";
  for (const std::string& line : mJobs.at(aKey).mHistory) {
    text << line << '\n';
  }
  mViolation = text.str();
}

} // namespace gooseberry::leased_world
