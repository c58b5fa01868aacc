#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>

namespace gooseberry::target {

/** Run time assumed if none was learned or declared. */
inline constexpr core::duration kDefaultRunTime =
  std::chrono::milliseconds(200);

/** Weighted mean of the run times of successful tasks; newer ones weigh
 * more. */
struct run_time_mean
{
  core::duration mMean{};
  std::uint32_t mSamples = 0; ///< Stops at the number that the mean covers.
};

/** Ratio of a target's run time to the mean of all targets for the same
 * tasks. */
struct speed_factor
{
  double mFactor = 1.0; ///< Above 1: slower than the mean.
  std::uint32_t mSamples = 0;
  core::instant mLearnedAt{};
};

void
Learn(run_time_mean& aMean, core::duration aRunTime);

/** Adds a run time to the factor. `aExpected` is the run time at the mean of
 * all targets. */
void
Learn(speed_factor& aSpeed,
      core::duration aRunTime,
      core::duration aExpected,
      core::instant aNow);

/**
 * Returns the factor at a time. It decays towards 1 without new samples, so
 * that a target that was slow once is tried again.
 */
double
FactorAt(const speed_factor& aSpeed, core::instant aNow);

/**
 * Returns the usual run time of a kind, adjusted by the square root of the
 * ratio of this task's estimate to the usual estimate: the estimate and the
 * usual run time are about equally inaccurate. The ratio cancels out callers
 * that always estimate too high or too low.
 */
core::duration
Adjust(core::duration aUsual,
       const run_time_mean& aUsuallyDeclared,
       core::duration aDeclared);

/**
 * Returns the expected run time of a kind of task: the kind's learned mean;
 * else the declared time, limited to a range around the service's learned mean;
 * else that mean; else `kDefaultRunTime`. A declared time of 0 or less counts
 * as none.
 */
core::duration
Expected(const run_time_mean& aKind,
         const run_time_mean& aService,
         core::duration aDeclared);

} // namespace gooseberry::target
