#include "libgooseberryio/stop_signals.h"

#include "libgooseberryio/program.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <pthread.h>
#include <utility>

namespace gooseberry::io {

namespace {

/** How often the watching thread looks whether it is to end. */
constexpr timespec kPollTime{ 0, 50'000'000 };

sigset_t
StopSet()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

stop_signals::stop_signals(std::function<void()> aOnStop)
  : mOnStop(std::move(aOnStop))
{
  if (!mOnStop) {
    mOnStop = [] { std::_Exit(static_cast<int>(exit_code::Stopped)); };
  }
  const auto signals = StopSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  mThread = std::thread([this] { Watch(); });
}

stop_signals::~stop_signals()
{
  {
    const std::lock_guard lock(mMutex);
    mIsEnding = true;
  }
  mThread.join();
}

bool
stop_signals::WaitFor(core::duration aTime)
{
  std::unique_lock lock(mMutex);
  return mChanged.wait_for(lock, aTime, [this] { return mSignals > 0; });
}

void
stop_signals::Watch()
{
  const auto signals = StopSet();
  for (;;) {
    const int signal = sigtimedwait(&signals, nullptr, &kPollTime);
    {
      const std::lock_guard lock(mMutex);
      if (mIsEnding) {
        return;
      }
    }
    if (signal > 0 && signal != SIGHUP) {
      Take();
    }
  }
}

void
stop_signals::Take()
{
  bool isSecond = false;
  {
    const std::lock_guard lock(mMutex);
    isSecond = ++mSignals > 1;
  }
  mChanged.notify_all();
  if (isSecond) {
    mOnStop();
  }
}

} // namespace gooseberry::io
