#include "libgooseberryio/line_writer.h"

#include "libgooseberryio/clock.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <poll.h>
#include <unistd.h>

namespace gooseberry::io {

namespace {

constexpr std::size_t kMaxWaitingBytes = 1U << 20U;
/** Lines that arrive within this time of the first share a write. */
constexpr core::duration kGatherTime = std::chrono::milliseconds(20);
/** A pipe that has room at all takes this much without waiting. */
constexpr std::size_t kWriteBytes = 4'096;
/** How long a reader may keep a process that ends. */
constexpr core::duration kCloseTime = std::chrono::seconds(1);
constexpr int kPollMilliseconds = 100;

/** Keeps signals from the threads that are made meanwhile. */
class blocked_signals
{
public:
  blocked_signals()
  {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &mBefore);
  }
  ~blocked_signals() { pthread_sigmask(SIG_SETMASK, &mBefore, nullptr); }
  blocked_signals(const blocked_signals&) = delete;
  blocked_signals& operator=(const blocked_signals&) = delete;

private:
  sigset_t mBefore{};
};

} // namespace

line_writer::line_writer(int aDescriptor)
  : mDescriptor(aDescriptor)
{
  const blocked_signals blocked;
  mThread = std::thread([this] { Run(); });
}

line_writer::~line_writer()
{
  {
    const std::lock_guard lock(mMutex);
    mClosing = true;
  }
  mArrived.notify_one();
  mThread.join();
}

void
line_writer::Add(std::string_view aLine)
{
  bool isFirst = false;
  {
    const std::lock_guard lock(mMutex);
    if (mWaiting.size() + aLine.size() > kMaxWaitingBytes) {
      ++mDropped;
      return;
    }
    isFirst = mWaiting.empty();
    mWaiting += aLine;
  }
  if (isFirst) {
    mArrived.notify_one();
  }
}

void
line_writer::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mArrived.wait(lock, [this] { return mClosing || !mWaiting.empty(); });
    if (mWaiting.empty()) {
      return;
    }
    mArrived.wait_for(lock, kGatherTime, [this] { return mClosing; });
    const std::string text = TakeText();
    lock.unlock();
    Write(text);
    lock.lock();
  }
}

std::string
line_writer::TakeText()
{
  std::string text;
  text.swap(mWaiting);
  if (mDropped > 0) {
    text += "event=log_lines_dropped count=" + std::to_string(mDropped) + '\n';
    mDropped = 0;
  }
  return text;
}

/** Whether the reader takes more; false once it is not waited for any more. */
bool
line_writer::AwaitRoom()
{
  const core::instant since = Now();
  while (true) {
    pollfd state{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
    if (poll(&state, 1, kPollMilliseconds) > 0) {
      return true;
    }
    const std::lock_guard lock(mMutex);
    if (mClosing && Now() - since > kCloseTime) {
      return false;
    }
  }
}

void
line_writer::Write(std::string_view aText)
{
  while (!aText.empty() && AwaitRoom()) {
    const auto count =
      write(mDescriptor, aText.data(), std::min(aText.size(), kWriteBytes));
    if (count < 0 && errno != EINTR && errno != EAGAIN) {
      return; // Nobody reads the log any more: nowhere is left to say so.
    }
    aText.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
  }
}

} // namespace gooseberry::io
