#pragma once

#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/time.h"
#include "libgooseberryio/body_budget.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace gooseberry::io {

/** The metrics of one process; may be used from any thread. */
class metrics
{
public:
  /** `aProcess` is the process's name, a label of all families. */
  explicit metrics(const std::string& aProcess);
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /** One answered job: its response time, and that over the ideal. */
  void ObserveResponse(core::duration aResponseTime, double aOverIdeal);
  void ObserveResponseTime(core::duration aResponseTime);
  void CountJob(std::string_view aOutcome);
  void CountStarts(std::size_t aCount = 1);
  void CountRefusal(std::string_view aReason);
  void CountRetry();
  /** Messages beyond one start and one finish for each task. */
  void CountWastedMessages(std::size_t aCount = 1);
  /** Messages about tasks and jobs, by type, one for each task or job. */
  void CountMessages(std::string_view aType, std::size_t aCount = 1);
  /** Changes of whether the entry accepts callers. */
  void CountTrafficStateChanges(std::size_t aCount);
  /** Implausible rates in heartbeats of other entries. */
  void CountRatesDropped(std::size_t aCount);
  void SetQueueLength(std::size_t aTasks);
  /** Requests dropped before they were whole, all so far. */
  void SetDrops(const drop_counts& aCounts);
  /** Generation of the configuration in force. */
  void SetGeneration(core::generation aGeneration);
  /** Time since the configuration was last confirmed. */
  void SetConfigurationAge(core::duration aAge);

  /** All families in the text format of Prometheus. */
  std::string Text() const;

private:
  struct families;
  std::unique_ptr<families> mFamilies;
};

} // namespace gooseberry::io
