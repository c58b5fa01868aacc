#include "libgooseberryio/http_connections.h"

#include "libgooseberryio/clock.h"
#include "libgooseberryio/log.h"

#include <sys/socket.h>

#include <algorithm>

namespace gooseberry::io {
namespace {

constexpr core::duration kLongestCheckInterval = std::chrono::seconds(1);
constexpr int kChecksPerTimeout = 4;

} // namespace

http_connections::http_connections(const arrival_limits& aLimits,
                                   std::shared_ptr<body_budget> aBudget)
  : mLimits(aLimits)
  , mBudget(std::move(aBudget))
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
http_connections::Opened(int aSocket)
{
  const auto now = Now();
  const std::lock_guard lock(mMutex);
  mConnections[aSocket] = { .mPhase = connection_phase::New, .mSince = now };
  CloseOneIfShort(now);
}

/** Lets the next caller in where connections are short. */
void
http_connections::CloseOneIfShort(core::instant aNow)
{
  if (!IsShort(mConnections, mLimits)) {
    return;
  }
  if (const auto unfinished = ChooseUnfinished(mConnections, aNow)) {
    Shutdown(*unfinished, mConnections.at(*unfinished));
    mBudget->CountDrop(drop_reason::ConnectionsFull);
  } else if (const auto idle = ChooseIdle(mConnections, aNow)) {
    Shutdown(*idle, mConnections.at(*idle));
  }
}

void
http_connections::Closed(int aSocket)
{
  {
    const std::lock_guard lock(mMutex);
    mConnections.erase(aSocket);
  }
  NotifyIdleWaiter();
}

void
http_connections::SetPhase(int aSocket, connection_phase aPhase)
{
  const auto now = Now();
  const std::lock_guard lock(mMutex);
  if (const auto found = mConnections.find(aSocket);
      found != mConnections.end()) {
    found->second.mPhase = aPhase;
    found->second.mSince = now;
  }
}

void
http_connections::RequestArrives(int aSocket)
{
  SetPhase(aSocket, connection_phase::Arriving);
}

bool
http_connections::RequestBegun(int aSocket)
{
  const std::lock_guard lock(mMutex);
  const auto found = mConnections.find(aSocket);
  if (found == mConnections.end() || found->second.mIsClosing) {
    return false;
  }
  found->second.mPhase = connection_phase::Handled;
  return true;
}

void
http_connections::RequestEnded(int aSocket)
{
  SetPhase(aSocket, connection_phase::Kept);
  NotifyIdleWaiter();
}

void
http_connections::CloseUnfinished(drop_reason aReason)
{
  const auto now = Now();
  const std::lock_guard lock(mMutex);
  if (const auto chosen = ChooseUnfinished(mConnections, now)) {
    Shutdown(*chosen, mConnections.at(*chosen));
    mBudget->CountDrop(aReason);
  }
}

/** Wakes the connection's thread, which then closes it. */
void
http_connections::Shutdown(int aSocket, open_connection& aConnection)
{
  aConnection.mIsClosing = true;
  shutdown(aSocket, SHUT_RDWR);
}

void
http_connections::WaitIdle()
{
  std::unique_lock lock(mMutex);
  mAwaitsIdle = true;
  mRequestEnded.wait(lock, [this] {
    return std::ranges::none_of(mConnections, [](const auto& aItem) {
      return aItem.second.mPhase == connection_phase::Handled;
    });
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
  const auto shortest = std::min(mLimits.mIdleTimeout, mLimits.mBodyTimeout);
  const auto interval =
    std::min(kLongestCheckInterval, shortest / kChecksPerTimeout);
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mStopped.wait_for(lock, interval, [this] { return mStopping; });
    CloseLateOnce();
    LogDrops();
  }
}

void
http_connections::CloseLateOnce()
{
  const auto now = Now();
  for (auto& [socket, connection] : mConnections) {
    if (!connection.mIsClosing && IsLate(connection, mLimits, now)) {
      if (connection.mPhase == connection_phase::Arriving) {
        mBudget->CountDrop(drop_reason::BodyTimeout);
      }
      Shutdown(socket, connection);
    }
  }
  // At the limit, nothing more is opened that would make room for others.
  CloseOneIfShort(now);
}

/** One line for each check at most, however many requests are dropped. */
void
http_connections::LogDrops()
{
  const auto drops = mBudget->TakeUnloggedDrops();
  if (!drops) {
    return;
  }
  log_event line("requests_dropped", log_level::Warning);
  for (std::size_t i = 0; i < drops->size(); ++i) {
    line.Add(std::string(kDropReasonNames.NameOf(static_cast<drop_reason>(i))),
             drops->at(i));
  }
  line.Add("buffered_bytes", mBudget->Used());
}

} // namespace gooseberry::io
