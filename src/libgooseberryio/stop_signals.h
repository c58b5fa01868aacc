#pragma once

#include "libgooseberry/core/time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace gooseberry::io {

/**
 * Turns SIGTERM and SIGINT into requests: the first to drain, the second to
 * stop at once. SIGHUP does nothing. To be made before any other thread, so
 * that all threads inherit the blocked signals. SIGPIPE is ignored from then
 * on.
 */
class stop_signals
{
public:
  /** `aOnStop` runs on the second signal; by default the process exits. */
  explicit stop_signals(std::function<void()> aOnStop = nullptr);
  ~stop_signals();
  stop_signals(const stop_signals&) = delete;
  stop_signals& operator=(const stop_signals&) = delete;

  /** Waits up to `aTime` for the first signal; whether it has come. */
  bool WaitFor(core::duration aTime);

private:
  void Watch();
  void Take();

  std::function<void()> mOnStop;
  std::mutex mMutex;
  std::condition_variable mChanged;
  int mSignals = 0;
  bool mIsEnding = false;
  std::thread mThread;
};

} // namespace gooseberry::io
