#include "libgooseberryio/close_watch.h"

#include "libgooseberryio/log.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gooseberry::io {

namespace {

/** Marks the event that ends the watch. */
constexpr std::uint64_t kWakeId = 0;
constexpr std::size_t kEventsAtOnce = 64;

bool
Control(int aPoll,
        int aOperation,
        int aDescriptor,
        std::uint32_t aEvents,
        std::uint64_t aId)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = aId;
  return epoll_ctl(aPoll, aOperation, aDescriptor, &event) == 0;
}

} // namespace

bool
IsClosedByPeer(int aSocket)
{
  char next = 0;
  const auto read = recv(aSocket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return read == 0 || (read < 0 && errno != EAGAIN && errno != EINTR);
}

close_watch::close_watch()
  : mPoll(epoll_create1(EPOLL_CLOEXEC))
  , mWake(eventfd(0, EFD_CLOEXEC))
{
  if (!Control(mPoll, EPOLL_CTL_ADD, mWake, EPOLLIN, kWakeId)) {
    log_event("connections_not_watched", log_level::Error)
      .Add("reason", std::strerror(errno));
    return;
  }
  mThread = std::thread([this] { Run(); });
}

close_watch::~close_watch()
{
  if (mThread.joinable()) {
    eventfd_write(mWake, 1);
    mThread.join();
  }
  close(mWake);
  close(mPoll);
}

std::uint64_t
close_watch::Add(int aSocket, handler aOnClosed)
{
  const std::lock_guard lock(mMutex);
  const std::uint64_t id = mNextId++;
  mWatched.emplace(id, watched{ aSocket, std::move(aOnClosed) });
  if (!Control(mPoll, EPOLL_CTL_ADD, aSocket, EPOLLRDHUP | EPOLLONESHOT, id)) {
    log_event("connection_not_watched", log_level::Warning)
      .Add("reason", std::strerror(errno));
  }
  return id;
}

void
close_watch::Remove(std::uint64_t aId)
{
  const std::lock_guard lock(mMutex);
  const auto node = mWatched.extract(aId);
  if (!node.empty()) {
    static_cast<void>(
      Control(mPoll, EPOLL_CTL_DEL, node.mapped().mSocket, 0, aId));
  }
}

void
close_watch::Run()
{
  std::array<epoll_event, kEventsAtOnce> events{};
  while (true) {
    const int count =
      epoll_wait(mPoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id == kWakeId) {
        return;
      }
      ReportClosed(id);
    }
  }
}

void
close_watch::ReportClosed(std::uint64_t aId)
{
  const std::lock_guard lock(mMutex);
  if (const auto found = mWatched.find(aId);
      found != mWatched.end() && found->second.mOnClosed) {
    found->second.mOnClosed();
    found->second.mOnClosed = nullptr;
  }
}

} // namespace gooseberry::io
