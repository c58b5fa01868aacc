#pragma once

#include "libgooseberry/core/error.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace gooseberry::tools::target {

/** Deviations from a healthy target that are switched on. */
struct faults
{
  double mRunTimeFactor = 1.0;
  double mStragglerProbability = 0.0;
  double mStragglerFactor = 10.0;
  /** Fails each task at once, as a broken worker does. */
  bool mFailsEverything = false;
  /** Accepts and runs tasks but never answers. */
  bool mSilent = false;
  /** Probability of failure at the end of the run, by kind of task. */
  std::map<std::string, double> mFailureProbability;
};

/** What will happen to one task. */
struct run_plan
{
  std::chrono::microseconds mRunTime{};
  bool mFails = false;
};

/** Applies `{"run_time_factor":2,"silent":true,...}` to the faults. */
core::result<faults>
Change(faults aFaults, std::string_view aJson);

/** Draws the run time and the end of a task of nominal length `aRunTime`. */
run_plan
PlanRun(const faults& aFaults,
        std::string_view aKind,
        std::chrono::microseconds aRunTime,
        std::mt19937_64& aRandom);

} // namespace gooseberry::tools::target
