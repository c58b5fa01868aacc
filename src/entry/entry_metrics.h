#pragma once

#include "libgooseberry/entry/entry_control.h"
#include "libgooseberryio/metrics.h"

#include <mutex>
#include <vector>

namespace gooseberry::entry_program {

/** Copies of the control state to be published. */
struct measurements
{
  entry::entry_counters mCounters;           ///< Since the start.
  std::vector<entry::ended_sample> mSamples; ///< Since the last time.
  std::size_t mWaitingTasks = 0;
  core::generation mGeneration = 0;
  core::duration mConfigurationAge{};
};

/** Takes the samples out of the control state. */
measurements
TakeMeasurements(entry::entry_control& aControl, core::instant aNow);

/** Turns counters since the start into increments of the metrics. */
class metrics_publisher
{
public:
  void Publish(io::metrics& aMetrics, const measurements& aTaken);

private:
  std::mutex mMutex;
  entry::entry_counters mPublished;
};

} // namespace gooseberry::entry_program
