#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>

namespace gooseberry::target {

/** Run time taken where nothing was learned and nothing declared. */
inline constexpr core::duration kDefaultRunTime =
  std::chrono::milliseconds(200);

/** Mean of the run times of successful tasks; newer ones weigh more. */
struct run_time_mean
{
  core::duration mMean{};
  std::uint32_t mSamples = 0; ///< Stops counting at the memory's length.
};

/** Run time of a target over the mean of all targets for the same tasks. */
struct speed_factor
{
  double mFactor = 1.0; ///< Above 1: slower than the mean.
  std::uint32_t mSamples = 0;
  core::instant mLearnedAt{};
};

void
Learn(run_time_mean& aMean, core::duration aRunTime);

/** `aExpected` is what the tasks take at the mean of all targets. */
void
Learn(speed_factor& aSpeed,
      core::duration aRunTime,
      core::duration aExpected,
      core::instant aNow);

/**
 * The factor to reckon with. What was learned fades out with time, so that a
 * target that was slow once is tried again.
 */
double
FactorAt(const speed_factor& aSpeed, core::instant aNow);

/**
 * The usual run time of a kind, moved towards what the caller declares for this
 * task. Both are off, about as far as each other: half of the difference in
 * ratio counts. That callers estimate too high or too low as a rule does not
 * matter, as the estimate is compared with the usual one.
 */
core::duration
Adjust(core::duration aUsual,
       const run_time_mean& aUsuallyDeclared,
       core::duration aDeclared);

/**
 * Run time to expect of a kind of task: the kind's learned mean; else what the
 * caller declared, held near the service's learned mean; else that mean; else
 * `kDefaultRunTime`. A declared time of 0 or less is none.
 */
core::duration
Expected(const run_time_mean& aKind,
         const run_time_mean& aService,
         core::duration aDeclared);

} // namespace gooseberry::target
