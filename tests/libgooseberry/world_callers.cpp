#include "world.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

/** Actions of callers and operators of the cluster, and their answers. */
namespace gooseberry::world {

using namespace std::chrono_literals;

std::string
ConfigurationText(const std::set<std::string>& aOut)
{
  std::string text = "[state]\nformat = 1\nname = test\n";
  for (const char* domain : kDomains) {
    text += std::string("[failure_domain ") + domain + "]\nregion = ro\n" +
            "state = " + (aOut.contains(domain) ? "out" : "in") + "\n";
  }
  return text + "[service plans]\ntargets = *\nmax_tries = 3\n" +
         "[team office]\nquota_slots = 0\n";
}

void
cluster::Submit(std::size_t aEntry,
                const std::string& aJob,
                std::uint32_t aAttempt,
                std::size_t aTasks,
                bool aIdempotent,
                duration aDeadline)
{
  job::submission submission;
  submission.mKey = "office/" + aJob;
  submission.mService = "plans";
  submission.mTeam = "office";
  submission.mAttempt = aAttempt;
  submission.mIdempotent = aIdempotent;
  submission.mDeadline = aDeadline;
  submission.mTasks.assign(aTasks, { "plan", 100ms, "payload" });
  submission.mContentHash = aTasks;
  entry_process& entry = mEntries[aEntry];
  if (!entry.mAlive) {
    return;
  }
  const std::uint64_t token = mNextToken++;
  const answer_record attempt{ submission.mKey, aAttempt, mNow, {} };
  mPendingSubmissions[token] = attempt;
  mSubmissions.push_back(attempt);
  Deliver(entry, entry.mIncarnation, [this, &entry, token, submission] {
    WithEntry(entry, [&](entry::effects& aEffects) {
      entry::OnSubmit(*entry.mControl, token, submission, mNow, aEffects);
    });
  });
}

void
cluster::SetDomain(std::size_t aEntry, const std::string& aDomain, bool aIn)
{
  entry_process& entry = mEntries[aEntry];
  if (!entry.mAlive) {
    return;
  }
  std::set<std::string> out;
  const auto& desired = entry.mControl->mDesired;
  for (const auto& [name, domain] : desired.mFailureDomains) {
    if (domain.mState == configuration::domain_state::Out) {
      out.insert(name);
    }
  }
  if (aIn) {
    out.erase(aDomain);
  } else {
    out.insert(aDomain);
  }
  const std::uint64_t token = mNextToken++;
  mChanges[token] = { aDomain, aIn };
  Deliver(entry, entry.mIncarnation, [this, &entry, token, out] {
    WithEntry(entry, [&](entry::effects& aEffects) {
      entry::OnApply(*entry.mControl,
                     token,
                     ConfigurationText(out),
                     "change-" + std::to_string(token),
                     entry.mControl->mRow.mConfiguration.mGeneration,
                     mNow,
                     aEffects);
    });
  });
}

void
cluster::Trace(const std::string& aProcess, const entry::log_line& aLine) const
{
  static const bool kTraced = std::getenv("GOOSEBERRY_TRACE") != nullptr;
  if (!kTraced) {
    return;
  }
  std::cout << core::ToMilliseconds(mNow.time_since_epoch()) << ' ' << aProcess
            << ' ' << aLine.mEvent;
  for (const entry::log_field& field : aLine.mFields) {
    std::cout << ' ' << field.mKey << '=' << field.mValue;
  }
  std::cout << '\n';
}

void
cluster::Do(entry_process& aFrom, const entry::answer_caller& aEffect)
{
  Trace(aFrom.mName,
        { "answer",
          { { "job", aEffect.mAnswer.mJob },
            { "outcome",
              std::string(
                core::kJobOutcomeNames.NameOf(aEffect.mAnswer.mOutcome)) },
            { "reason", aEffect.mAnswer.mReason } } });

  const auto found = mPendingSubmissions.find(aEffect.mToken);
  if (found == mPendingSubmissions.end()) {
    mViolation =
      "answer to a request that is not pending: " + aEffect.mAnswer.mJob;
    return;
  }
  answer_record answer = found->second;
  mPendingSubmissions.erase(found);
  answer.mRecordedAt = mNow;
  answer.mAnswer = aEffect.mAnswer;
  mAnswers.push_back(std::move(answer));
  static_cast<void>(aFrom);
}

void
cluster::Do(entry_process& aFrom, const entry::answer_operator& aEffect)
{
  const domain_change requested = mChanges.at(aEffect.mToken);
  Trace(aFrom.mName,
        { "applied",
          { { "domain", requested.mDomain },
            { "in", requested.mIn ? "yes" : "no" },
            { "generation", std::to_string(aEffect.mResult.mGeneration) },
            { "status",
              std::string(entry::kApplyStatusNames.NameOf(
                aEffect.mResult.mStatus)) } } });
  if (aEffect.mResult.mStatus == entry::apply_status::Applied) {
    ++mAccepted;
  }
  // A change that was stored later may have brought the domain in again
  // before this answer.
  if (aEffect.mResult.mStatus == entry::apply_status::Applied &&
      !requested.mIn &&
      mLastInGeneration[requested.mDomain] < aEffect.mResult.mGeneration) {
    mOutPeriods.push_back({ requested.mDomain, mNow, instant::max() });
  }
}

void
cluster::RecordStoredDomains()
{
  const auto parsed =
    configuration::Parse(mStored.mConfiguration.mText, "stored");
  const auto& desired = std::get<configuration::desired_state>(parsed);
  for (const char* domain : kDomains) {
    if (!configuration::IsDomainIn(desired, domain)) {
      continue;
    }
    mLastInGeneration[domain] = mStored.mConfiguration.mGeneration;
    for (domain_out_period& known : mOutPeriods) {
      if (known.mDomain == domain && known.mUntil == instant::max()) {
        known.mUntil = mNow;
      }
    }
  }
}

void
cluster::Do(entry_process& aFrom, const entry::log_line& aEffect)
{
  Trace(aFrom.mName, aEffect);
}

std::size_t
cluster::CountAnswers(core::job_outcome aOutcome) const
{
  return static_cast<std::size_t>(std::count_if(
    mAnswers.begin(), mAnswers.end(), [aOutcome](const answer_record& aAnswer) {
      return aAnswer.mAnswer.mOutcome == aOutcome;
    }));
}

} // namespace gooseberry::world
