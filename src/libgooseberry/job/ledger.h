#pragma once

#include "libgooseberry/job/job.h"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace gooseberry::job {

/** Ballot promised for a job that is not in the ledger. */
struct promise_record
{
  core::ballot mBallot;
  std::string mHolder; ///< Name of the entry that holds the ballot.
  /** The job was abandoned here in doubt: a task may have been started. */
  bool mMayHaveStarted = false;
  core::instant mExpiresAt{}; ///< Removed at this time.
};

/** The answer `not_run`, kept so that a repeat of the attempt runs nothing. */
struct refused_attempt
{
  std::uint32_t mAttempt = kAttemptUnknown;
  core::job_answer mAnswer;
  core::instant mExpiresAt{};
};

/** A key and the time when it may have expired. */
struct expiry
{
  core::instant mDueAt{};
  std::string mKey;
};

/** All that one entry remembers about jobs. */
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

/** Returns the job, or null. */
job*
Find(ledger& aLedger, const std::string& aKey);

/** Adds a job; does not replace a job of the same key. */
job&
Add(ledger& aLedger, submission aSubmission, core::instant aNow);

/** Removes a job immediately, without an answer. */
void
Remove(ledger& aLedger, const std::string& aKey);

/**
 * Records the greater of the known and the given ballot, and renews the expiry.
 */
void
RecordPromise(ledger& aLedger,
              const std::string& aKey,
              const core::ballot& aBallot,
              const std::string& aHolder,
              core::instant aNow);

/**
 * Records the ballot of a job that is abandoned in doubt, and that a task of
 * the job may have been started (R8).
 */
void
RecordPossibleStarts(ledger& aLedger,
                     const std::string& aKey,
                     const core::ballot& aBallot,
                     const std::string& aHolder,
                     core::instant aNow);

/** Returns the promise for a job, or null. */
const promise_record*
FindPromise(const ledger& aLedger, const std::string& aKey);

/** Records that this attempt was answered `not_run`. */
void
Refuse(ledger& aLedger,
       const std::string& aKey,
       std::uint32_t aAttempt,
       const core::job_answer& aAnswer,
       core::instant aNow);

/** Returns the recorded `not_run` answer that covers this attempt, or null. */
const core::job_answer*
FindRefused(const ledger& aLedger,
            const std::string& aKey,
            std::uint32_t aAttempt);

/** Starts the deduplication window of a job that has ended. */
void
KeepEnded(ledger& aLedger, const job& aJob, core::instant aNow);

/** Removes everything whose deduplication window has ended. */
void
Expire(ledger& aLedger, core::instant aNow);

} // namespace gooseberry::job
