#include "libgooseberryio/metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace gooseberry::io {
namespace {

const prometheus::Histogram::BucketBoundaries kSeconds{
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
};
const prometheus::Histogram::BucketBoundaries kOverIdeal{
  1, 1.02, 1.05, 1.1, 1.2, 1.3, 1.5, 1.6, 2, 3, 5, 10, 100
};

prometheus::Family<prometheus::Counter>&
CounterFamily(prometheus::Registry& aRegistry,
              const std::string& aName,
              const std::string& aHelp,
              const prometheus::Labels& aLabels)
{
  return prometheus::BuildCounter()
    .Name("gooseberry_" + aName)
    .Help(aHelp)
    .Labels(aLabels)
    .Register(aRegistry);
}

prometheus::Gauge&
Gauge(prometheus::Registry& aRegistry,
      const std::string& aName,
      const std::string& aHelp,
      const prometheus::Labels& aLabels)
{
  return prometheus::BuildGauge()
    .Name("gooseberry_" + aName)
    .Help(aHelp)
    .Labels(aLabels)
    .Register(aRegistry)
    .Add({});
}

prometheus::Histogram&
Histogram(prometheus::Registry& aRegistry,
          const std::string& aName,
          const std::string& aHelp,
          const prometheus::Labels& aLabels,
          const prometheus::Histogram::BucketBoundaries& aBounds)
{
  return prometheus::BuildHistogram()
    .Name("gooseberry_" + aName)
    .Help(aHelp)
    .Labels(aLabels)
    .Register(aRegistry)
    .Add({}, aBounds);
}

} // namespace

struct metrics::families
{
  explicit families(const prometheus::Labels& aLabels);

  prometheus::Registry mRegistry;
  prometheus::Histogram& mResponseTime;
  prometheus::Histogram& mOverIdeal;
  prometheus::Family<prometheus::Counter>& mJobs;
  prometheus::Counter& mStarts;
  prometheus::Family<prometheus::Counter>& mRefusals;
  prometheus::Counter& mRetries;
  prometheus::Counter& mWastedMessages;
  prometheus::Family<prometheus::Counter>& mMessages;
  prometheus::Gauge& mQueueLength;
  prometheus::Gauge& mGeneration;
};

metrics::families::families(const prometheus::Labels& aLabels)
  : mResponseTime(Histogram(mRegistry,
                            "response_seconds",
                            "Response time of jobs, in seconds",
                            aLabels,
                            kSeconds))
  , mOverIdeal(Histogram(mRegistry,
                         "response_over_ideal_ratio",
                         "Response time of jobs over the ideal one",
                         aLabels,
                         kOverIdeal))
  , mJobs(CounterFamily(mRegistry, "jobs_total", "Jobs by outcome", aLabels))
  , mStarts(CounterFamily(mRegistry, "starts_total", "Tasks started", aLabels)
              .Add({}))
  , mRefusals(
      CounterFamily(mRegistry, "refusals_total", "Refusals by reason", aLabels))
  , mRetries(CounterFamily(mRegistry, "retries_total", "Tasks retried", aLabels)
               .Add({}))
  , mWastedMessages(CounterFamily(mRegistry,
                                  "wasted_messages_total",
                                  "Messages beyond one start and one finish "
                                  "for each task",
                                  aLabels)
                      .Add({}))
  , mMessages(CounterFamily(mRegistry,
                            "messages_total",
                            "Messages about tasks and jobs, by type",
                            aLabels))
  , mQueueLength(Gauge(mRegistry, "queue_length", "Tasks that wait", aLabels))
  , mGeneration(Gauge(mRegistry,
                      "configuration_generation",
                      "Generation of the configuration in force",
                      aLabels))
{
}

metrics::metrics(const std::string& aProcess)
  : mFamilies(
      std::make_unique<families>(prometheus::Labels{ { "process", aProcess } }))
{
}

metrics::~metrics() = default;

void
metrics::ObserveResponse(core::duration aResponseTime, double aOverIdeal)
{
  ObserveResponseTime(aResponseTime);
  mFamilies->mOverIdeal.Observe(aOverIdeal);
}

void
metrics::ObserveResponseTime(core::duration aResponseTime)
{
  mFamilies->mResponseTime.Observe(
    std::chrono::duration<double>(aResponseTime).count());
}

void
metrics::CountJob(std::string_view aOutcome)
{
  mFamilies->mJobs.Add({ { "outcome", std::string(aOutcome) } }).Increment();
}

void
metrics::CountStarts(std::size_t aCount)
{
  mFamilies->mStarts.Increment(static_cast<double>(aCount));
}

void
metrics::CountRefusal(std::string_view aReason)
{
  mFamilies->mRefusals.Add({ { "reason", std::string(aReason) } }).Increment();
}

void
metrics::CountRetry()
{
  mFamilies->mRetries.Increment();
}

void
metrics::CountWastedMessages(std::size_t aCount)
{
  mFamilies->mWastedMessages.Increment(static_cast<double>(aCount));
}

void
metrics::CountMessages(std::string_view aType, std::size_t aCount)
{
  mFamilies->mMessages.Add({ { "type", std::string(aType) } })
    .Increment(static_cast<double>(aCount));
}

void
metrics::SetQueueLength(std::size_t aTasks)
{
  mFamilies->mQueueLength.Set(static_cast<double>(aTasks));
}

void
metrics::SetGeneration(core::generation aGeneration)
{
  mFamilies->mGeneration.Set(static_cast<double>(aGeneration));
}

std::string
metrics::Text() const
{
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, mFamilies->mRegistry.Collect());
  return text.str();
}

} // namespace gooseberry::io
