#include "agent/message_metrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace gooseberry::agentd {

namespace {

const prometheus::Histogram::BucketBoundaries kRunTimeBounds{
  0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
}; // Seconds.

constexpr std::size_t kTypes = kMessageTypeNames.mNames.size();

} // namespace

struct message_metrics::families
{
  prometheus::Registry mRegistry;
  std::array<prometheus::Counter*, kTypes> mMessages{};
  prometheus::Histogram* mRunTime = nullptr;
};

message_metrics::message_metrics(const std::string& aProcess)
  : mFamilies(std::make_unique<families>())
{
  auto& messages = prometheus::BuildCounter()
                     .Name("gooseberry_messages_total")
                     .Help("Messages about tasks, by type, and announces.")
                     .Labels({ { "process", aProcess } })
                     .Register(mFamilies->mRegistry);
  for (std::size_t i = 0; i < kTypes; ++i) {
    const std::string name(kMessageTypeNames.mNames[i]);
    mFamilies->mMessages[i] = &messages.Add({ { "type", name } });
  }
  mFamilies->mRunTime = &prometheus::BuildHistogram()
                           .Name("gooseberry_task_run_seconds")
                           .Help("Time that targets took for tasks.")
                           .Labels({ { "process", aProcess } })
                           .Register(mFamilies->mRegistry)
                           .Add({}, kRunTimeBounds);
}

message_metrics::~message_metrics() = default;

void
message_metrics::Count(message_type aType, std::size_t aCount)
{
  mFamilies->mMessages.at(static_cast<std::size_t>(aType))
    ->Increment(static_cast<double>(aCount));
}

void
message_metrics::ObserveRunTime(core::duration aRunTime)
{
  mFamilies->mRunTime->Observe(std::chrono::duration<double>(aRunTime).count());
}

std::string
message_metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mFamilies->mRegistry.Collect());
}

} // namespace gooseberry::agentd
