#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberryio/body_budget.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace gooseberry::io {

/**
 * The open connections of a server, known by their sockets. Shuts those down on
 * which no whole request arrives in time: the HTTP library's own bound is on
 * silence only, which a caller that sends a byte now and then evades. Shuts
 * unfinished ones down earlier where connections or buffers run short.
 */
class http_connections
{
public:
  http_connections(const arrival_limits& aLimits,
                   std::shared_ptr<body_budget> aBudget);
  ~http_connections();
  http_connections(const http_connections&) = delete;
  http_connections& operator=(const http_connections&) = delete;

  void Opened(int aSocket);
  /** To be called before the socket is closed. */
  void Closed(int aSocket);
  /** The first line of a request has arrived. */
  void RequestArrives(int aSocket);
  /** A whole request has arrived; false where its connection is being shut
   * down, so that it must not be handled. */
  [[nodiscard]] bool RequestBegun(int aSocket);
  /** The response has been sent. */
  void RequestEnded(int aSocket);
  /** Closes the oldest connection with an unfinished request, if any. */
  void CloseUnfinished(drop_reason aReason);

  /** Waits until no request is in progress. */
  void WaitIdle();

private:
  void CloseLate();
  void CloseLateOnce();
  void CloseOneIfShort(core::instant aNow);
  void LogDrops();
  void Shutdown(int aSocket, open_connection& aConnection);
  void SetPhase(int aSocket, connection_phase aPhase);
  void NotifyIdleWaiter();

  const arrival_limits mLimits;
  const std::shared_ptr<body_budget> mBudget;
  std::mutex mMutex;
  std::condition_variable mStopped;
  std::condition_variable mRequestEnded;
  open_connections mConnections;
  bool mStopping = false;
  std::atomic<bool> mAwaitsIdle = false;
  std::thread mThread;
};

} // namespace gooseberry::io
