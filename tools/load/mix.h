#pragma once

#include "libgooseberry/core/enum_names.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry::tools::load {

using microseconds = std::chrono::microseconds;

/** Whose jobs are sent. */
enum class mix : std::uint8_t
{
  Tabcraft,
  Qamar,
  Single, ///< One task of 50 ms in each job.
};
inline constexpr core::enum_names<mix, 3> kMixNames{
  { "tabcraft", "qamar", "single" }
};

/** One kind of job of a mix. Counts and times are drawn between the bounds. */
struct job_shape
{
  std::string mKind;
  std::vector<std::string> mTeams; ///< One of them sends the job.
  double mShare = 1.0;             ///< Of the jobs of the mix.
  std::uint32_t mMinTasks = 1;
  std::uint32_t mMaxTasks = 1;
  /** Few tasks are likelier than many: uniform in the logarithm. */
  bool mLogUniform = false;
  double mMinRunMs = 50;
  double mMaxRunMs = 50;
  /** Share of tasks that last several seconds (`kLongMinMs` to `kLongMaxMs`).
   */
  double mLongShare = 0;
};

inline constexpr double kLongMinMs = 2000;
inline constexpr double kLongMaxMs = 4000;

/** The kinds of jobs of a mix; their shares add up to 1. */
std::vector<job_shape>
ShapesOf(mix aMix);

struct task_plan
{
  double mRunMs = 0;
  double mDeclaredMs = 0;
  std::string mEcho; ///< The target must give it back.
};

/** One job, wholly determined by mix, seed and number. */
struct job_plan
{
  std::string mName;
  std::string mKind;
  std::string mTeam;
  std::string mService;
  microseconds mArrival{}; ///< Since the start of the run.
  bool mIdempotent = true;
  std::vector<task_plan> mTasks;
};

/** How many jobs and when. */
struct arrival_settings
{
  mix mMix = mix::Qamar;
  std::string mRun; ///< First part of the jobs' names.
  std::uint64_t mSeed = 1;
  double mJobsPerSecond = 1;
  double mSeconds = 10;
  double mBurstFactor = 1; ///< The rate is multiplied during the burst.
  double mBurstStart = 0;  ///< Seconds since the start of the run.
  double mBurstEnd = 0;
};

/** Mean work of one job of the mix, in slot-seconds. */
double
MeanWorkSeconds(mix aMix);

/** All jobs of a run in order of arrival; arrivals are a Poisson process. */
std::vector<job_plan>
PlanJobs(const arrival_settings& aSettings);

/** Work of a job in slot-seconds. */
double
WorkSeconds(const job_plan& aJob);

/**
 * Response of a job alone on `aSlots` idle slots: its longest task, or its work
 * over the slots if that is longer, plus `aRoundTrips` for all legs together.
 */
microseconds
IdealResponse(const job_plan& aJob,
              std::uint32_t aSlots,
              microseconds aRoundTrips);

} // namespace gooseberry::tools::load
