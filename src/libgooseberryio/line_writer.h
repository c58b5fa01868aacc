#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace gooseberry::io {

/**
 * Writes lines to a file descriptor on a thread of its own, those of some
 * milliseconds in one call. Adding a line never waits for the reader: beyond a
 * bound, lines are dropped, and a line of their number is written later.
 */
class line_writer
{
public:
  explicit line_writer(int aDescriptor);
  /** Writes what waits, for a second at most. */
  ~line_writer();
  line_writer(const line_writer&) = delete;
  line_writer& operator=(const line_writer&) = delete;

  /** Takes a line with its end. */
  void Add(std::string_view aLine);

private:
  void Run();
  std::string TakeText();
  void Write(std::string_view aText);
  bool AwaitRoom();

  const int mDescriptor;
  std::mutex mMutex;
  std::condition_variable mArrived;
  std::string mWaiting;
  std::size_t mDropped = 0;
  bool mClosing = false;
  std::thread mThread;
};

} // namespace gooseberry::io
