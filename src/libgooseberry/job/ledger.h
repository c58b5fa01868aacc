#pragma once

#include "libgooseberry/job/job.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace gooseberry::job {

/** What an entry was told of a job that is not in its ledger. */
struct promise_record
{
  core::ballot mBallot;
  std::string mHolder; ///< Name of the entry behind the ballot.
  /** The job was given up here undecided: a task may have been started. */
  bool mMayHaveStarted = false;
  core::instant mExpiresAt{}; ///< Forgotten then.
};

/** The answer `not_run`, kept so that a repeat of the attempt runs nothing. */
struct refused_attempt
{
  std::uint32_t mAttempt = kAttemptUnknown;
  core::job_answer mAnswer;
  core::instant mExpiresAt{};
};

/** A key and when to look at it again. */
struct expiry
{
  core::instant mDueAt{};
  std::string mKey;
};

/** Everything that one entry remembers of jobs. */
struct ledger
{
  core::duration mWindow = std::chrono::seconds(120);
  std::unordered_map<std::string, std::unique_ptr<job>> mJobs;
  std::unordered_map<std::string, promise_record> mPromises;
  std::unordered_map<std::string, refused_attempt> mRefused;
  std::deque<expiry> mEndedJobs;
  std::deque<expiry> mPromiseExpiries;
  std::deque<expiry> mRefusedExpiries;
};

/** The job, or null. */
job*
Find(ledger& aLedger, const std::string& aKey);

/** Adds a job; replaces none. */
job&
Add(ledger& aLedger, submission aSubmission, core::instant aNow);

/** Forgets a job at once, without an answer of its own. */
void
Remove(ledger& aLedger, const std::string& aKey);

/** Remembers the greater of the known and the given ballot. */
void
RecordPromise(ledger& aLedger,
              const std::string& aKey,
              const core::ballot& aBallot,
              const std::string& aHolder,
              core::instant aNow);

/** Remembers of a job that is given up undecided that a task of it may have
 * been started (R8). */
void
RecordPossibleStarts(ledger& aLedger,
                     const std::string& aKey,
                     const core::ballot& aBallot,
                     const std::string& aHolder,
                     core::instant aNow);

/** The note of a job, or null. */
const promise_record*
FindPromise(const ledger& aLedger, const std::string& aKey);

/** Remembers that this attempt was answered `not_run`. */
void
Refuse(ledger& aLedger,
       const std::string& aKey,
       std::uint32_t aAttempt,
       const core::job_answer& aAnswer,
       core::instant aNow);

/** The remembered `not_run` that also answers this attempt, or null. */
const core::job_answer*
FindRefused(const ledger& aLedger,
            const std::string& aKey,
            std::uint32_t aAttempt);

/** Starts the window of a job that has ended. */
void
KeepEnded(ledger& aLedger, const job& aJob, core::instant aNow);

/** Forgets what the window no longer covers. */
void
Expire(ledger& aLedger, core::instant aNow);

} // namespace gooseberry::job
