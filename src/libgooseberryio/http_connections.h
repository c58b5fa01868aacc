#pragma once

#include "libgooseberry/core/time.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace gooseberry::io {

/**
 * The open connections of a server, known by the client's address. Shuts those
 * down on which no whole request arrives in time: the HTTP library's own bound
 * is on silence only, which a caller that sends a byte now and then evades.
 */
class http_connections
{
public:
  /** `aTimeout` bounds the time to the next whole request. */
  explicit http_connections(core::duration aTimeout);
  ~http_connections();
  http_connections(const http_connections&) = delete;
  http_connections& operator=(const http_connections&) = delete;

  void Opened(const std::string& aClient, int aSocket);
  /** To be called before the socket is closed. */
  void Closed(const std::string& aClient);
  /** A whole request has arrived; gives the connection's socket, or -1. */
  int RequestBegun(const std::string& aClient);
  /** The response has been sent. */
  void RequestEnded(const std::string& aClient);

  /** Waits until no request is in progress. */
  void WaitIdle();

private:
  struct connection
  {
    int mSocket = -1;
    core::instant mSince{}; ///< When it began to wait for a request.
    bool mBusy = false;
  };

  void CloseLate();
  void NotifyIdleWaiter();

  const core::duration mTimeout;
  std::mutex mMutex;
  std::condition_variable mStopped;
  std::condition_variable mRequestEnded;
  std::map<std::string, connection> mConnections;
  bool mStopping = false;
  std::atomic<bool> mAwaitsIdle = false;
  std::thread mThread;
};

} // namespace gooseberry::io
