#include "libgooseberry/target/run_time.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::target {

namespace {

/** Samples after which each new one weighs 1/kMeanMemory. */
constexpr std::uint32_t kMeanMemory = 16;
/** The same for speed, which is noisier: run times vary within a kind. */
constexpr std::uint32_t kSpeedMemory = 32;
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 8.0;
/** After this time without a sample, a target counts as average. */
constexpr core::duration kSpeedDecayTime = std::chrono::seconds(30);
/** A declared time may differ from the service's mean by this factor. */
constexpr std::int64_t kDeclaredBound = 8;

} // namespace

void
Learn(run_time_mean& aMean, core::duration aRunTime)
{
  const core::duration runTime = std::max(aRunTime, core::duration(1));
  aMean.mSamples = std::min(aMean.mSamples + 1, kMeanMemory);
  aMean.mMean += (runTime - aMean.mMean) / std::int64_t(aMean.mSamples);
}

void
Learn(speed_factor& aSpeed,
      core::duration aRunTime,
      core::duration aExpected,
      core::instant aNow)
{
  if (aExpected <= core::duration::zero()) {
    return;
  }
  const double sample = std::clamp(static_cast<double>(aRunTime.count()) /
                                     static_cast<double>(aExpected.count()),
                                   kMinFactor,
                                   kMaxFactor);
  aSpeed.mFactor = FactorAt(aSpeed, aNow);
  aSpeed.mSamples = std::min(aSpeed.mSamples + 1, kSpeedMemory);
  // The first samples weigh as if average samples had preceded them.
  const double weight = 1.0 / std::max(aSpeed.mSamples + 1, kSpeedMemory / 4);
  aSpeed.mFactor += (sample - aSpeed.mFactor) * weight;
  aSpeed.mLearnedAt = aNow;
}

double
FactorAt(const speed_factor& aSpeed, core::instant aNow)
{
  const core::duration age = aNow - aSpeed.mLearnedAt;
  if (aSpeed.mSamples == 0 || age >= kSpeedDecayTime) {
    return 1.0;
  }
  const double left = 1.0 - static_cast<double>(age.count()) /
                              static_cast<double>(kSpeedDecayTime.count());
  return 1.0 + (aSpeed.mFactor - 1.0) * std::min(left, 1.0);
}

core::duration
Expected(const run_time_mean& aKind,
         const run_time_mean& aService,
         core::duration aDeclared)
{
  if (aKind.mSamples > 0) {
    return aKind.mMean;
  }
  const bool known = aService.mSamples > 0;
  if (aDeclared <= core::duration::zero()) {
    return known ? aService.mMean : kDefaultRunTime;
  }
  if (!known) {
    return aDeclared;
  }
  return std::clamp(aDeclared,
                    aService.mMean / kDeclaredBound,
                    aService.mMean * kDeclaredBound);
}

core::duration
Adjust(core::duration aUsual,
       const run_time_mean& aUsuallyDeclared,
       core::duration aDeclared)
{
  if (aUsuallyDeclared.mSamples == 0 || aDeclared <= core::duration::zero()) {
    return aUsual;
  }
  const double ratio = static_cast<double>(aDeclared.count()) /
                       static_cast<double>(aUsuallyDeclared.mMean.count());
  const double bounded = std::clamp(
    ratio, 1.0 / static_cast<double>(kDeclaredBound), double(kDeclaredBound));
  return core::duration(static_cast<core::duration::rep>(
    static_cast<double>(aUsual.count()) * std::sqrt(bounded)));
}

} // namespace gooseberry::target
