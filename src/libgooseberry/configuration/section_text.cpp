#include "libgooseberry/configuration/section_text.h"

#include "libgooseberry/configuration/text_coding.h"

namespace gooseberry::configuration {

namespace {

std::string
Join(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text += text.empty() ? name : ", " + name;
  }
  return text;
}

std::vector<key_text>
ToKeys(const failure_domain& aDomain)
{
  return { { "region", aDomain.mRegion },
           { "state", std::string(kDomainStateNames.NameOf(aDomain.mState)) } };
}

std::vector<key_text>
ToKeys(const service& aService)
{
  const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
    aService.mMaxTaskTime);
  std::vector<key_text> keys{ { "targets", Join(aService.mTargets) } };
  if (!aService.mFailureDomains.empty()) {
    keys.push_back({ "failure_domains", Join(aService.mFailureDomains) });
  }
  keys.push_back({ "max_tries", std::to_string(aService.mMaxTries) });
  keys.push_back({ "max_task_ms", std::to_string(limit.count()) });
  return keys;
}

std::vector<key_text>
ToKeys(const team& aTeam)
{
  return { { "quota_slots", std::to_string(aTeam.mQuotaSlots) } };
}

std::string
Milliseconds(core::duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

std::vector<key_text>
ToKeys(const queue& aQueue)
{
  return { { "host", EncodeText(aQueue.mHost) },
           { "path", EncodePath(aQueue.mPath) },
           { "service", EncodeText(aQueue.mService) },
           { "priority", std::to_string(aQueue.mPriority) },
           { "max_tries", std::to_string(aQueue.mMaxTries) },
           { "timeout_ms", Milliseconds(aQueue.mTimeout) },
           { "target_latency_ms", Milliseconds(aQueue.mTargetLatency) },
           { "slack_percent", std::to_string(aQueue.mSlackPercent) } };
}

template<typename Values>
void
Append(std::vector<section_text>& aSections,
       const char* aKind,
       const Values& aValues)
{
  for (const auto& [name, value] : aValues) {
    aSections.push_back({ aKind, EncodeText(name), ToKeys(value) });
  }
}

} // namespace

std::vector<section_text>
ToSections(const desired_state& aState)
{
  std::vector<section_text> sections{
    { "state",
      "",
      { { "format", std::to_string(kFormatVersion) },
        { "name", aState.mName } } }
  };
  Append(sections, "failure_domain", aState.mFailureDomains);
  Append(sections, "service", aState.mServices);
  Append(sections, "team", aState.mTeams);
  Append(sections, "queue", aState.mQueues);
  return sections;
}

} // namespace gooseberry::configuration
