#include "libgooseberryio/platform_transport.h"

#include "libgooseberryio/clock.h"

#include <algorithm>
#include <random>

namespace gooseberry::io {
namespace {

constexpr unsigned kStatusCreated = 201;
constexpr unsigned kStatusNoContent = 204;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kFirstServerError = 500;

} // namespace

bool
IsDone(unsigned aStatus)
{
  return aStatus == kStatusOk || aStatus == kStatusCreated ||
         aStatus == kStatusNoContent;
}

bool
IsTransient(unsigned aStatus)
{
  return aStatus >= kFirstServerError || aStatus == kStatusTooManyRequests;
}

std::uint64_t
RandomNumber()
{
  thread_local std::mt19937_64 sGenerator{ std::random_device{}() };
  return sGenerator();
}

retry_budget::retry_budget(const platform_settings& aSettings)
  : mEnd(Now() + aSettings.mBudget)
  , mMaxPause(aSettings.mMaxPause)
  , mPause(aSettings.mFirstPause)
{
}

core::duration
retry_budget::Left() const
{
  return mEnd - Now();
}

core::duration
retry_budget::NextPause()
{
  const auto longest =
    static_cast<std::uint64_t>(std::max<std::int64_t>(1, mPause.count()));
  mPause = std::min(mPause * 2, mMaxPause);
  return core::duration(1 + RandomNumber() % longest);
}

platform_transport::platform_transport(const platform_settings& aSettings)
  : mSettings(aSettings)
{
}

std::unique_ptr<http_client>
platform_transport::TakeClient()
{
  {
    const std::lock_guard lock(mMutex);
    if (!mIdleClients.empty()) {
      auto client = std::move(mIdleClients.back());
      mIdleClients.pop_back();
      return client;
    }
  }
  return std::make_unique<http_client>();
}

call_result<http_reply>
platform_transport::Send(http_call aCall, const retry_budget& aBudget)
{
  auto client = TakeClient();
  aCall.mDeadline = std::min(mSettings.mDeadline, aBudget.Left());
  aCall.mConnectDeadline = aCall.mDeadline;
  auto reply = client->Send(aCall);
  // A client that failed is dropped with its connection.
  if (std::holds_alternative<http_reply>(reply)) {
    const std::lock_guard lock(mMutex);
    mIdleClients.push_back(std::move(client));
  }
  return reply;
}

core::result<http_reply>
platform_transport::Repeat(const http_call& aCall, retry_budget& aBudget)
{
  while (true) {
    auto answer = Send(aCall, aBudget);
    core::error failure{ .mStep = aCall.mMethod,
                         .mPeer = aCall.mUrl,
                         .mReason = {} };
    if (auto* const reply = std::get_if<http_reply>(&answer)) {
      if (!IsTransient(reply->mStatus)) {
        return std::move(*reply);
      }
      failure.mReason = "status " + std::to_string(reply->mStatus);
    } else {
      failure.mReason = std::get<call_error>(answer).mError.mReason;
    }
    if (!Pause(aBudget)) {
      return failure;
    }
  }
}

bool
platform_transport::Pause(retry_budget& aBudget)
{
  const auto pause = aBudget.NextPause();
  if (pause >= aBudget.Left()) {
    return false;
  }
  std::unique_lock lock(mMutex);
  return !mStopped.wait_for(lock, pause, [this] { return mStopping; });
}

void
platform_transport::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mStopped.notify_all();
}

} // namespace gooseberry::io
