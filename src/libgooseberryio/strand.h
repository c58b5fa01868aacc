#pragma once

#include "libgooseberry/core/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace gooseberry::io {

/**
 * Bounded queue whose events run one at a time, in order of arrival, on the
 * threads that post them: a thread that finds the strand idle runs its own
 * event, so that an event costs no switch of threads. What arrives while
 * another thread runs events is handed over to the strand's owner, a thread
 * that waits in `Begin`.
 *
 * A thread is running the strand from a `Begin` or a non-empty `TryBegin` to
 * its `End`. A new strand is being run by whoever made it.
 */
template<typename Event>
class strand
{
public:
  explicit strand(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** False where the queue is full or closed; the event is dropped then. */
  [[nodiscard]] bool Push(Event aEvent)
  {
    const std::lock_guard lock(mMutex);
    if (mClosed || mEvents.size() >= mCapacity) {
      return false;
    }
    mEvents.push_back(std::move(aEvent));
    return true;
  }

  /**
   * Begins to run the strand and returns all queued events; empty where another
   * thread runs it or the owner is about to, or nothing is queued.
   */
  std::deque<Event> TryBegin()
  {
    const std::lock_guard lock(mMutex);
    if (mIsRunning || mIsOwnerNext || mEvents.empty()) {
      return {};
    }
    mIsRunning = true;
    return std::exchange(mEvents, {});
  }

  /**
   * For the owner: waits up to `aTimeout` for events that are handed over, then
   * for the thread that runs the strand. Always begins to run it.
   */
  std::deque<Event> Begin(core::duration aTimeout)
  {
    std::unique_lock lock(mMutex);
    mOwnerWakes.wait_for(
      lock, aTimeout, [this] { return mClosed || mIsHandedOver; });
    mIsOwnerNext = true;
    mOwnerWakes.wait(lock, [this] { return !mIsRunning; });
    mIsOwnerNext = false;
    mIsHandedOver = false;
    mIsRunning = true;
    return std::exchange(mEvents, {});
  }

  /** Ends running the strand; hands over what has arrived meanwhile. */
  void End()
  {
    bool isOwnerNeeded = false;
    {
      const std::lock_guard lock(mMutex);
      mIsRunning = false;
      mIsHandedOver = !mEvents.empty();
      isOwnerNeeded = mIsHandedOver || mIsOwnerNext;
    }
    if (isOwnerNeeded) {
      mOwnerWakes.notify_one();
    }
  }

  /** Refuses further events and wakes the owner; queued ones stay. */
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mOwnerWakes.notify_one();
  }

  bool IsClosed() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed;
  }

private:
  const std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::condition_variable mOwnerWakes;
  std::deque<Event> mEvents;
  bool mIsRunning = true;
  bool mIsHandedOver = false; ///< Events wait for the owner.
  bool mIsOwnerNext = false;  ///< The owner waits for the running thread.
  bool mClosed = false;
};

} // namespace gooseberry::io
