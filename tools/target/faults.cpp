#include "target/faults.h"

#include <nlohmann/json.hpp>

namespace gooseberry::tools::target {

using nlohmann::json;

namespace {

/** Run time of a task on a target that fails everything. */
constexpr std::chrono::microseconds kFailFast{ 1000 };

void
ChangeKey(faults& aFaults, const std::string& aKey, const json& aValue)
{
  if (aKey == "run_time_factor") {
    aFaults.mRunTimeFactor = aValue.get<double>();
  } else if (aKey == "straggler_probability") {
    aFaults.mStragglerProbability = aValue.get<double>();
  } else if (aKey == "straggler_factor") {
    aFaults.mStragglerFactor = aValue.get<double>();
  } else if (aKey == "fails_everything") {
    aFaults.mFailsEverything = aValue.get<bool>();
  } else if (aKey == "silent") {
    aFaults.mSilent = aValue.get<bool>();
  } else if (aKey == "failure_probability") {
    aFaults.mFailureProbability = aValue.get<std::map<std::string, double>>();
  } else {
    throw std::invalid_argument("unknown key " + aKey);
  }
}

} // namespace

core::result<faults>
Change(faults aFaults, std::string_view aJson)
{
  try {
    const json change = json::parse(aJson);
    for (const auto& [key, value] : change.items()) {
      ChangeKey(aFaults, key, value);
    }
  } catch (const std::exception& failure) {
    return core::error{ "change faults", "", failure.what() };
  }
  return aFaults;
}

run_plan
PlanRun(const faults& aFaults,
        std::string_view aKind,
        std::chrono::microseconds aRunTime,
        std::mt19937_64& aRandom)
{
  if (aFaults.mFailsEverything) {
    return { kFailFast, true };
  }
  double factor = aFaults.mRunTimeFactor;
  if (std::bernoulli_distribution(aFaults.mStragglerProbability)(aRandom)) {
    factor *= aFaults.mStragglerFactor;
  }
  run_plan plan;
  plan.mRunTime =
    std::chrono::duration_cast<std::chrono::microseconds>(aRunTime * factor);
  if (const auto it = aFaults.mFailureProbability.find(std::string(aKind));
      it != aFaults.mFailureProbability.end()) {
    plan.mFails = std::bernoulli_distribution(it->second)(aRandom);
  }
  return plan;
}

} // namespace gooseberry::tools::target
