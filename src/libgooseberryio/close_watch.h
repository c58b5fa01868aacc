#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace gooseberry::io {

/** Whether the other end of a connection is known to have closed it. */
bool
IsClosedByPeer(int aSocket);

/**
 * Tells when the other end of a connection has closed it, on one thread for all
 * connections. Nothing wakes up for a connection that stays open.
 */
class close_watch
{
public:
  using handler = std::function<void()>;

  close_watch();
  ~close_watch();
  close_watch(const close_watch&) = delete;
  close_watch& operator=(const close_watch&) = delete;

  /**
   * Watches an open socket until `Remove`. The handler is called once at most,
   * on the watch's thread, and must not block.
   */
  std::uint64_t Add(int aSocket, handler aOnClosed);

  /** Ends a watch before its socket is closed; the handler is not called any
   * more once this returns. */
  void Remove(std::uint64_t aId);

private:
  struct watched
  {
    int mSocket = -1;
    handler mOnClosed;
  };

  void Run();
  void ReportClosed(std::uint64_t aId);

  const int mPoll; ///< An epoll descriptor.
  const int mWake; ///< Readable once the watch is to end.
  std::mutex mMutex;
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, watched> mWatched;
  std::thread mThread;
};

} // namespace gooseberry::io
