#pragma once

#include "libgooseberry/core/message.h"
#include "load/mix.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberry::tools::load {

/** What came back for one submission of a job. */
struct answer
{
  std::uint32_t mAttempt = 1;
  std::string mEntry;
  std::int64_t mSentUs = 0;     ///< Wall clock.
  std::int64_t mAnsweredUs = 0; ///< Wall clock.
  long mStatus = 0;             ///< Of HTTP; 0 where no answer came.
  /** None where no answer came or it could not be understood. */
  std::optional<core::job_outcome> mOutcome;
  std::string mReason;
  bool mPartial = false; ///< Says complete but results are missing.
  bool mWrong = false;   ///< A result is not of its task, or not of this job.
};

/** Everything that happened to one job. */
struct job_run
{
  std::vector<answer> mAnswers;
  std::uint32_t mSubmissions = 0;
  bool mCancelled = false;
  /** From the planned arrival to the first whole answer. */
  std::optional<microseconds> mResponse;
};

/** Key of a job in the records: team, '/', name. */
std::string
KeyOf(const job_plan& aJob);

/** Body of `POST /v1/jobs`. */
std::string
RequestBody(const job_plan& aJob, std::uint32_t aAttempt, long aDeadlineMs);

/** Reads an answer and compares its results with what the job asked for. */
void
ReadAnswer(const job_plan& aJob,
           long aStatus,
           const std::string& aBody,
           answer& aAnswer);

/** The answer that counts: the first complete one, or else the last. */
const answer*
FinalAnswer(const job_run& aRun);

} // namespace gooseberry::tools::load
