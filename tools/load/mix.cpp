#include "load/mix.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace gooseberry::tools::load {

namespace {

/** Declared run times are off by up to this factor, either way. */
constexpr double kDeclaredErrorFactor = 4.0;
constexpr double kNonIdempotentShare = 0.1;

using random_source = std::mt19937_64;

/** In [0, 1), the same on every platform, unlike the library's own. */
double
Uniform(random_source& aRandom)
{
  constexpr int kMantissaBits = 53;
  return static_cast<double>(aRandom() >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

double
Between(random_source& aRandom, double aLow, double aHigh)
{
  return aLow + (aHigh - aLow) * Uniform(aRandom);
}

std::string
ServiceOf(mix aMix)
{
  return aMix == mix::Tabcraft ? "tab-order" : "almanac";
}

std::uint32_t
DrawTaskCount(const job_shape& aShape, random_source& aRandom)
{
  const double low = aShape.mMinTasks;
  const double high = aShape.mMaxTasks + 1.0;
  const double drawn =
    aShape.mLogUniform
      ? std::exp(Between(aRandom, std::log(low), std::log(high)))
      : Between(aRandom, low, high);
  return std::clamp(
    static_cast<std::uint32_t>(drawn), aShape.mMinTasks, aShape.mMaxTasks);
}

task_plan
DrawTask(const job_shape& aShape, random_source& aRandom)
{
  task_plan task;
  const bool isLong = Uniform(aRandom) < aShape.mLongShare;
  task.mRunMs = isLong ? Between(aRandom, kLongMinMs, kLongMaxMs)
                       : Between(aRandom, aShape.mMinRunMs, aShape.mMaxRunMs);
  task.mRunMs = std::round(task.mRunMs * 10) / 10;
  const double error =
    std::pow(kDeclaredErrorFactor, Between(aRandom, -1.0, 1.0));
  task.mDeclaredMs = std::max(1.0, std::round(task.mRunMs * error));
  task.mEcho = std::to_string(aRandom());
  return task;
}

const job_shape&
DrawShape(const std::vector<job_shape>& aShapes, random_source& aRandom)
{
  double left = Uniform(aRandom);
  for (const job_shape& shape : aShapes) {
    left -= shape.mShare;
    if (left < 0) {
      return shape;
    }
  }
  return aShapes.back();
}

double
MeanTasks(const job_shape& aShape)
{
  const double low = aShape.mMinTasks;
  const double high = aShape.mMaxTasks;
  if (!aShape.mLogUniform || low == high) {
    return (low + high) / 2;
  }
  // Mean of the log-uniform distribution on [low, high + 1), less the half
  // that rounding down takes away.
  return (high + 1 - low) / std::log((high + 1) / low) - 0.5;
}

} // namespace

std::vector<job_shape>
ShapesOf(mix aMix)
{
  const std::vector<std::string> trade{ "wholesale", "print-shop", "notary" };
  const std::vector<std::string> desk{ "counter" };
  const std::vector<std::string> print{ "calendar" };
  switch (aMix) {
    case mix::Tabcraft:
      return {
        { "label_check", trade, 0.55, 1, 4, false, 50, 200, 0 },
        { "die_cut_proof", trade, 0.40, 4, 16, false, 100, 600, 0 },
        { "cutting_plan", trade, 0.049, 20, 120, true, 200, 1000, 0.005 },
        { "large_plan", trade, 0.001, 121, 870, true, 200, 1000, 0.005 }
      };
    case mix::Qamar:
      return {
        { "moon_phase", desk, 0.70, 1, 4, false, 50, 150, 0 },
        { "holiday_check", desk, 0.20, 1, 3, false, 50, 250, 0 },
        { "month_render", print, 0.099, 28, 31, false, 200, 1000, 0.005 },
        { "calendar_run", print, 0.001, 58, 870, true, 200, 1000, 0.005 }
      };
    case mix::Single:
      break;
  }
  return { { "single", desk, 1.0, 1, 1, false, 50, 50, 0 } };
}

double
MeanWorkSeconds(mix aMix)
{
  constexpr double kMsPerSecond = 1000;
  double mean = 0;
  for (const job_shape& shape : ShapesOf(aMix)) {
    const double usual = (shape.mMinRunMs + shape.mMaxRunMs) / 2;
    const double longer = (kLongMinMs + kLongMaxMs) / 2;
    const double task =
      usual * (1 - shape.mLongShare) + longer * shape.mLongShare;
    mean += shape.mShare * MeanTasks(shape) * task / kMsPerSecond;
  }
  return mean;
}

std::vector<job_plan>
PlanJobs(const arrival_settings& aSettings)
{
  random_source random(aSettings.mSeed);
  const auto shapes = ShapesOf(aSettings.mMix);
  std::vector<job_plan> jobs;
  double at = 0;
  while (true) {
    const bool inBurst =
      at >= aSettings.mBurstStart && at < aSettings.mBurstEnd;
    const double rate =
      aSettings.mJobsPerSecond * (inBurst ? aSettings.mBurstFactor : 1.0);
    at -= std::log(1.0 - Uniform(random)) / rate;
    if (at >= aSettings.mSeconds) {
      return jobs;
    }
    const job_shape& shape = DrawShape(shapes, random);
    job_plan job;
    job.mName = aSettings.mRun + "-" + std::to_string(jobs.size());
    job.mKind = shape.mKind;
    job.mService = ServiceOf(aSettings.mMix);
    job.mTeam = shape.mTeams[random() % shape.mTeams.size()];
    job.mArrival = std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(at));
    job.mIdempotent = Uniform(random) >= kNonIdempotentShare;
    const std::uint32_t count = DrawTaskCount(shape, random);
    for (std::uint32_t i = 0; i < count; ++i) {
      job.mTasks.push_back(DrawTask(shape, random));
    }
    jobs.push_back(std::move(job));
  }
}

double
WorkSeconds(const job_plan& aJob)
{
  double total = 0;
  for (const task_plan& task : aJob.mTasks) {
    total += task.mRunMs / 1000;
  }
  return total;
}

microseconds
IdealResponse(const job_plan& aJob,
              std::uint32_t aSlots,
              microseconds aRoundTrips)
{
  double longest = 0;
  for (const task_plan& task : aJob.mTasks) {
    longest = std::max(longest, task.mRunMs / 1000);
  }
  const double seconds = std::max(longest, WorkSeconds(aJob) / aSlots);
  return std::chrono::duration_cast<microseconds>(
           std::chrono::duration<double>(seconds)) +
         aRoundTrips;
}

} // namespace gooseberry::tools::load
