#include "libgooseberry/quota/job_meter.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::quota {

namespace {

using seconds = std::chrono::duration<double>;

constexpr core::duration kSamplePeriod = std::chrono::milliseconds(250);
/** Time constant of the rate and the use: short enough for a rise within
 * seconds, and a relative error of 7% at 50 jobs/s. */
constexpr seconds kRateTime = std::chrono::seconds(2);
/** Time constant of the cost of a job, which changes with the mix of jobs. */
constexpr seconds kCostTime = std::chrono::seconds(20);
/** After this time, the averages have no more than a tenth of their initial
 * value. */
constexpr core::duration kMinMeasured = std::chrono::seconds(5);
/** Below this rate, the cost is not learned: other work outweighs the jobs. */
constexpr double kMinRateToLearn = 5.0;
/** Jobs after which the learned cost replaces the typical one. */
constexpr double kMinJobs = 50.0;
/** 1.0 to 1.5 ms were measured. */
constexpr core::duration kTypicalCost = std::chrono::microseconds(1250);
/** Bounds of the learned cost: the processor time of other work, or a wrong
 * reading of it, must not decide. */
constexpr core::duration kMinCost = std::chrono::microseconds(250);
constexpr core::duration kMaxCost = std::chrono::microseconds(3000);
/** Processor seconds per second for the load reports and heartbeats of one
 * agent: 3% of a core were measured with 66 agents. */
constexpr double kCoresPerAgent = 0.03 / 66;
constexpr double kMillicoresPerCore = 1000;

/** Moves an average towards a sample that covers `aTime`. */
void
Average(double& aAverage, double aSample, seconds aTime)
{
  aAverage += (aSample - aAverage) * (1 - std::exp(-aTime / kRateTime));
}

/** Adds to the sums that the cost of a job is learned from. */
void
LearnCost(job_meter& aMeter,
          double aJobs,
          double aProcessorSeconds,
          std::size_t aAgents,
          seconds aTime)
{
  if (aMeter.mJobsPerSecond < kMinRateToLearn) {
    return;
  }
  const double forAgents =
    kCoresPerAgent * static_cast<double>(aAgents) * aTime.count();
  const double decay = std::exp(-aTime / kCostTime);
  aMeter.mCostJobs = aMeter.mCostJobs * decay + aJobs;
  aMeter.mCostSeconds =
    aMeter.mCostSeconds * decay + std::max(aProcessorSeconds - forAgents, 0.0);
}

} // namespace

void
Sample(job_meter& aMeter, const entry_work& aWork, core::instant aNow)
{
  if (!aMeter.mHasStarted) {
    aMeter.mHasStarted = true;
    aMeter.mStartedAt = aNow;
  } else if (aNow - aMeter.mSampledAt < kSamplePeriod) {
    return;
  } else {
    const seconds time = aNow - aMeter.mSampledAt;
    const auto jobs = static_cast<double>(aWork.mJobs - aMeter.mJobs);
    const double processor =
      seconds(aMeter.mProcessorTime - aMeter.mProcessorSampled).count();
    Average(aMeter.mJobsPerSecond, jobs / time.count(), time);
    Average(aMeter.mCores, processor / time.count(), time);
    if (aMeter.mProcessorTime > core::duration::zero() && !aWork.mIsRefusing) {
      LearnCost(aMeter, jobs, processor, aWork.mAgents, time);
    }
  }
  aMeter.mSampledAt = aNow;
  aMeter.mJobs = aWork.mJobs;
  aMeter.mProcessorSampled = aMeter.mProcessorTime;
}

bool
HasMeasured(const job_meter& aMeter, core::instant aNow)
{
  return aMeter.mHasStarted && aNow - aMeter.mStartedAt >= kMinMeasured;
}

core::duration
JobCost(const job_meter& aMeter)
{
  if (aMeter.mCostJobs < kMinJobs) {
    return kTypicalCost;
  }
  const seconds learned(aMeter.mCostSeconds / aMeter.mCostJobs);
  return std::clamp(
    std::chrono::duration_cast<core::duration>(learned), kMinCost, kMaxCost);
}

double
ExpectedUse(const job_meter& aMeter,
            double aJobsPerSecond,
            std::size_t aAgents,
            std::uint32_t aMillicores)
{
  if (aMillicores == 0) {
    return 0;
  }
  const double cores = kCoresPerAgent * static_cast<double>(aAgents) +
                       aJobsPerSecond * seconds(JobCost(aMeter)).count();
  return cores * kMillicoresPerCore / aMillicores;
}

double
CurrentUse(const job_meter& aMeter,
           std::size_t aAgents,
           std::uint32_t aMillicores)
{
  if (aMeter.mProcessorTime == core::duration::zero() || aMillicores == 0) {
    return ExpectedUse(aMeter, aMeter.mJobsPerSecond, aAgents, aMillicores);
  }
  return aMeter.mCores * kMillicoresPerCore / aMillicores;
}

} // namespace gooseberry::quota
