#include "libgooseberryio/http_connections.h"

#include "libgooseberryio/clock.h"

#include <sys/socket.h>

#include <algorithm>

namespace gooseberry::io {
namespace {

constexpr core::duration kLongestCheckInterval = std::chrono::seconds(1);
constexpr int kChecksPerTimeout = 4;

} // namespace

http_connections::http_connections(core::duration aTimeout)
  : mTimeout(aTimeout)
  , mThread([this] { CloseLate(); })
{
}

http_connections::~http_connections()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mStopped.notify_all();
  mThread.join();
}

void
http_connections::Opened(const std::string& aClient, int aSocket)
{
  const std::lock_guard lock(mMutex);
  mConnections[aClient] = { .mSocket = aSocket,
                            .mSince = Now(),
                            .mBusy = false };
}

void
http_connections::Closed(const std::string& aClient)
{
  {
    const std::lock_guard lock(mMutex);
    mConnections.erase(aClient);
  }
  NotifyIdleWaiter();
}

int
http_connections::RequestBegun(const std::string& aClient)
{
  const std::lock_guard lock(mMutex);
  const auto found = mConnections.find(aClient);
  if (found == mConnections.end()) {
    return -1;
  }
  found->second.mBusy = true;
  return found->second.mSocket;
}

void
http_connections::RequestEnded(const std::string& aClient)
{
  {
    const std::lock_guard lock(mMutex);
    if (const auto found = mConnections.find(aClient);
        found != mConnections.end()) {
      found->second.mBusy = false;
      found->second.mSince = Now();
    }
  }
  NotifyIdleWaiter();
}

void
http_connections::WaitIdle()
{
  std::unique_lock lock(mMutex);
  mAwaitsIdle = true;
  mRequestEnded.wait(lock, [this] {
    return std::ranges::none_of(
      mConnections, [](const auto& aItem) { return aItem.second.mBusy; });
  });
}

/** Wakes `WaitIdle`, and nobody while the server runs. */
void
http_connections::NotifyIdleWaiter()
{
  if (mAwaitsIdle) {
    mRequestEnded.notify_all();
  }
}

void
http_connections::CloseLate()
{
  const auto interval =
    std::min(kLongestCheckInterval, mTimeout / kChecksPerTimeout);
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mStopped.wait_for(lock, interval, [this] { return mStopping; });
    const auto now = Now();
    for (const auto& [client, connection] : mConnections) {
      if (!connection.mBusy && now - connection.mSince > mTimeout) {
        shutdown(connection.mSocket, SHUT_RDWR);
      }
    }
  }
}

} // namespace gooseberry::io
