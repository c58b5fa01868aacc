#pragma once

#include "load/answer.h"

#include <string>
#include <vector>

namespace gooseberry::tools::load {

/** How callers behave. */
struct client_settings
{
  std::vector<std::string> mEntries; ///< `IP:PORT`, used in turn.
  std::chrono::milliseconds mDeadline{ 30'000 };
  /** Past the deadline an answer may take this much longer to come. */
  std::chrono::milliseconds mAnswerGrace{ 15'000 };
  /** Each job is sent a second time, to the next entry. */
  bool mResubmitAll = false;
  std::chrono::milliseconds mResubmitDelay{ 20 };
  /** Submissions of one job when answers are lost, the first included. */
  std::uint32_t mMaxAttempts = 5;
  std::chrono::milliseconds mLostDelay{ 100 };
  /** This share of jobs is cancelled, all of them at the next wave. */
  double mCancelShare = 0;
  std::chrono::milliseconds mCancelPeriod{ 5'000 };
};

/** What happened to the jobs. */
struct load_result
{
  std::vector<job_run> mRuns; ///< One for each job, in order.
  std::int64_t mOriginUs = 0; ///< Wall clock of the start of the run.
};

/**
 * Sends each job at its planned time, whatever the answers to others do, and
 * returns when all are answered or given up. Uses one thread; connections are
 * kept and opened as needed.
 */
load_result
SendJobs(const std::vector<job_plan>& aJobs, const client_settings& aSettings);

} // namespace gooseberry::tools::load
