#pragma once

#include "libgooseberryio/event_queue.h"
#include "libgooseberryio/platform_client.h"

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace gooseberry::entry_program {

/** Runs calls to the platform, which block, on threads of its own. */
class platform_worker
{
public:
  using call = std::function<void(io::table_store&)>;

  explicit platform_worker(std::unique_ptr<io::table_store> aStore);
  ~platform_worker();
  platform_worker(const platform_worker&) = delete;
  platform_worker& operator=(const platform_worker&) = delete;

  /** False where the queue is full; the call is dropped then. */
  [[nodiscard]] bool Post(call aCall);
  void Stop();

private:
  void Run();

  std::unique_ptr<io::table_store> mStore;
  io::event_queue<call> mQueue;
  std::vector<std::thread> mThreads;
};

} // namespace gooseberry::entry_program
