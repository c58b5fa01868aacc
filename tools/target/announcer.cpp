#include "target/announcer.h"

#include "common/http_call.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace gooseberry::tools::target {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kLease{ 3000 };
constexpr std::chrono::milliseconds kRenewal = kLease / 3;
constexpr std::chrono::milliseconds kRetry{ 200 };
constexpr std::chrono::milliseconds kAskAgain{ 2000 };
constexpr std::chrono::milliseconds kCallTimeout{ 1000 };

std::string
UrlAtAgent(const target_settings& aSettings)
{
  return "http://" + aSettings.mAgentAddress + "/v1/targets/" + aSettings.mName;
}

bool
Announce(const target_settings& aSettings)
{
  const auto answer = common::Call(
    { "PUT", UrlAtAgent(aSettings), Announcement(aSettings), kCallTimeout });
  const auto* ok = std::get_if<common::http_answer>(&answer);
  if (ok != nullptr && ok->mStatus != 200) {
    std::cerr << "event=announce target=" << aSettings.mName
              << " status=" << ok->mStatus << " body=" << json(ok->mBody).dump()
              << std::endl;
  }
  return ok != nullptr && ok->mStatus == 200;
}

} // namespace

std::string
Announcement(const target_settings& aSettings)
{
  return json{
    { "address", aSettings.mAddress },
    { "services", aSettings.mServices },
    { "slots", aSettings.mSlots },
    { "lease_ms", kLease.count() },
    { "ask_again_ms", kAskAgain.count() }
  }.dump();
}

void
KeepAnnounced(target_state& aTarget)
{
  std::unique_lock guard(aTarget.mMutex);
  while (!aTarget.mStopping) {
    auto wait = kRenewal;
    if (!aTarget.mLeaving) {
      guard.unlock();
      wait = Announce(aTarget.mSettings) ? kRenewal : kRetry;
      guard.lock();
    }
    aTarget.mWake.wait_for(guard, wait, [&] { return aTarget.mStopping; });
  }
}

void
Leave(target_state& aTarget)
{
  {
    const std::lock_guard guard(aTarget.mMutex);
    aTarget.mLeaving = true;
  }
  const auto answer =
    common::Call({ "DELETE", UrlAtAgent(aTarget.mSettings), "", kCallTimeout });
  if (const auto* failure = std::get_if<core::error>(&answer)) {
    std::cerr << "event=leave target=" << aTarget.mSettings.mName
              << " error=" << json(core::ToString(*failure)).dump()
              << std::endl;
  }
}

void
Return(target_state& aTarget)
{
  {
    const std::lock_guard guard(aTarget.mMutex);
    aTarget.mLeaving = false;
  }
  Announce(aTarget.mSettings);
}

} // namespace gooseberry::tools::target
