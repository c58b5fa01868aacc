#include "libgooseberry/job/ledger.h"

#include <algorithm>

namespace gooseberry::job {

job*
Find(ledger& aLedger, const std::string& aKey)
{
  const auto found = aLedger.mJobs.find(aKey);
  return found == aLedger.mJobs.end() ? nullptr : found->second.get();
}

job&
Add(ledger& aLedger, submission aSubmission, core::instant aNow)
{
  auto added = std::make_unique<job>();
  added->mArrived = aNow;
  added->mDeadline = aNow + aSubmission.mDeadline;
  added->mTasks.resize(aSubmission.mTasks.size());
  added->mSubmission = std::move(aSubmission);
  const std::string key = added->mSubmission.mKey;
  return *aLedger.mJobs.try_emplace(key, std::move(added)).first->second;
}

void
Remove(ledger& aLedger, const std::string& aKey)
{
  aLedger.mJobs.erase(aKey);
}

void
RecordPromise(ledger& aLedger,
              const std::string& aKey,
              const core::ballot& aBallot,
              const std::string& aHolder,
              core::instant aNow)
{
  promise_record& known = aLedger.mPromises[aKey];
  if (known.mBallot < aBallot) {
    known.mBallot = aBallot;
    known.mHolder = aHolder;
  }
  known.mExpiresAt = aNow + aLedger.mWindow;
  aLedger.mPromiseExpiries.push_back({ known.mExpiresAt, aKey });
}

void
RecordPossibleStarts(ledger& aLedger,
                     const std::string& aKey,
                     const core::ballot& aBallot,
                     const std::string& aHolder,
                     core::instant aNow)
{
  RecordPromise(aLedger, aKey, aBallot, aHolder, aNow);
  aLedger.mPromises.at(aKey).mMayHaveStarted = true;
}

const promise_record*
FindPromise(const ledger& aLedger, const std::string& aKey)
{
  const auto found = aLedger.mPromises.find(aKey);
  return found == aLedger.mPromises.end() ? nullptr : &found->second;
}

void
Refuse(ledger& aLedger,
       const std::string& aKey,
       std::uint32_t aAttempt,
       const core::job_answer& aAnswer,
       core::instant aNow)
{
  if (aAttempt == kAttemptUnknown) {
    return;
  }
  refused_attempt& refused = aLedger.mRefused[aKey];
  refused.mAttempt = std::max(refused.mAttempt, aAttempt);
  refused.mAnswer = aAnswer;
  refused.mExpiresAt = aNow + aLedger.mWindow;
  aLedger.mRefusedExpiries.push_back({ refused.mExpiresAt, aKey });
}

const core::job_answer*
FindRefused(const ledger& aLedger,
            const std::string& aKey,
            std::uint32_t aAttempt)
{
  const auto found = aLedger.mRefused.find(aKey);
  if (aAttempt == kAttemptUnknown || found == aLedger.mRefused.end()) {
    return nullptr;
  }
  return aAttempt <= found->second.mAttempt ? &found->second.mAnswer : nullptr;
}

void
KeepEnded(ledger& aLedger, const job& aJob, core::instant aNow)
{
  aLedger.mEndedJobs.push_back(
    { aNow + aLedger.mWindow, aJob.mSubmission.mKey });
}

namespace {

template<typename Map>
void
RemoveExpired(Map& aMap, std::deque<expiry>& aExpiries, core::instant aNow)
{
  while (!aExpiries.empty() && aExpiries.front().mDueAt <= aNow) {
    const auto found = aMap.find(aExpiries.front().mKey);
    if (found != aMap.end() && found->second.mExpiresAt <= aNow) {
      aMap.erase(found);
    }
    aExpiries.pop_front();
  }
}

} // namespace

void
Expire(ledger& aLedger, core::instant aNow)
{
  while (!aLedger.mEndedJobs.empty() &&
         aLedger.mEndedJobs.front().mDueAt <= aNow) {
    const job* ended = Find(aLedger, aLedger.mEndedJobs.front().mKey);
    if (ended != nullptr && ended->mPhase == phase::Ended &&
        ended->mEndedAt + aLedger.mWindow <= aNow) {
      aLedger.mJobs.erase(aLedger.mEndedJobs.front().mKey);
    }
    aLedger.mEndedJobs.pop_front();
  }
  RemoveExpired(aLedger.mPromises, aLedger.mPromiseExpiries, aNow);
  RemoveExpired(aLedger.mRefused, aLedger.mRefusedExpiries, aNow);
}

} // namespace gooseberry::job
