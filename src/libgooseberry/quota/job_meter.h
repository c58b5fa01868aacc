#pragma once

#include "libgooseberry/core/time.h"

#include <cstddef>
#include <cstdint>

/**
 * Load pattern: entries with 0.09 to 0.5 of a core get the same number of
 * callers. How many an entry can serve depends on what a job costs it.
 */
namespace gooseberry::quota {

/** Measures the submissions to an entry and its processor time per job. */
struct job_meter
{
  /** Processor time of the process so far, set by the adapter; 0: unknown. */
  core::duration mProcessorTime{};

  bool mHasStarted = false;
  core::instant mStartedAt{};
  core::instant mSampledAt{};
  std::uint64_t mJobs = 0;            ///< Submissions at the last sample.
  core::duration mProcessorSampled{}; ///< `mProcessorTime` at that time.
  double mJobsPerSecond = 0;          ///< Moving average.
  double mCores = 0;                  ///< Processor use, moving average.
  double mCostJobs = 0;               ///< Decaying sum of jobs.
  /** Decaying sum of their processor time in seconds, without that for agents.
   */
  double mCostSeconds = 0;
};

/** Work of an entry. */
struct entry_work
{
  std::uint64_t mJobs = 0; ///< Submissions since the start of the process.
  std::size_t mAgents = 0; ///< Agents that report to the entry.
  /** Some submissions are refused at once: the mean cost of a job is too low to
   * learn from. */
  bool mIsRefusing = false;
};

/** Updates the averages. */
void
Sample(job_meter& aMeter, const entry_work& aWork, core::instant aNow);

/** Returns whether the averages cover enough time to decide by them. */
bool
HasMeasured(const job_meter& aMeter, core::instant aNow);

/** Returns the learned processor time of one job, or a typical one. */
core::duration
JobCost(const job_meter& aMeter);

/** Returns the share of `aMillicores` in use at a rate of submissions; over 1
 * where the processor does not suffice. 0 where `aMillicores` is 0. */
double
ExpectedUse(const job_meter& aMeter,
            double aJobsPerSecond,
            std::size_t aAgents,
            std::uint32_t aMillicores);

/** Returns the share of `aMillicores` in use now: as measured, or as expected
 * from the own rate where the processor time is unknown. */
double
CurrentUse(const job_meter& aMeter,
           std::size_t aAgents,
           std::uint32_t aMillicores);

} // namespace gooseberry::quota
