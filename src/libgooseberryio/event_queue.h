#pragma once

#include "libgooseberry/core/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace gooseberry::io {

/**
 * Bounded queue between threads, in order of arrival.
 */
template<typename Event>
class event_queue
{
public:
  explicit event_queue(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** False where the queue is full or closed; the event is dropped then. */
  [[nodiscard]] bool Push(Event aEvent)
  {
    {
      const std::lock_guard lock(mMutex);
      if (mClosed || mEvents.size() >= mCapacity) {
        return false;
      }
      mEvents.push_back(std::move(aEvent));
    }
    mArrived.notify_one();
    return true;
  }

  /** The oldest event; nothing after `aTimeout`, or when closed and empty. */
  std::optional<Event> Pop(core::duration aTimeout)
  {
    std::unique_lock lock(mMutex);
    mArrived.wait_for(
      lock, aTimeout, [this] { return mClosed || !mEvents.empty(); });
    if (mEvents.empty()) {
      return std::nullopt;
    }
    Event event = std::move(mEvents.front());
    mEvents.pop_front();
    return event;
  }

  /**
   * All events, in order, waiting up to `aTimeout` for the first; empty after
   * that.
   */
  std::deque<Event> PopAll(core::duration aTimeout)
  {
    std::unique_lock lock(mMutex);
    mArrived.wait_for(
      lock, aTimeout, [this] { return mClosed || !mEvents.empty(); });
    return std::exchange(mEvents, {});
  }

  /** Refuses further events and wakes the reader; queued ones stay. */
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mArrived.notify_all();
  }

  bool IsClosed() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed;
  }

  std::size_t Size() const
  {
    const std::lock_guard lock(mMutex);
    return mEvents.size();
  }

private:
  const std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::condition_variable mArrived;
  std::deque<Event> mEvents;
  bool mClosed = false;
};

} // namespace gooseberry::io
