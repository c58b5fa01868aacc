#include "entry/platform_worker.h"

namespace gooseberry::entry_program {

namespace {

constexpr std::size_t kQueueLimit = 256;
/** A slow write must not hold up the reads that prove freshness. */
constexpr int kThreads = 3;
constexpr core::duration kPopTimeout = std::chrono::milliseconds(200);

} // namespace

platform_worker::platform_worker(std::unique_ptr<io::table_store> aStore)
  : mStore(std::move(aStore))
  , mQueue(kQueueLimit)
{
  for (int i = 0; i < kThreads; ++i) {
    mThreads.emplace_back([this] { Run(); });
  }
}

platform_worker::~platform_worker()
{
  Stop();
}

bool
platform_worker::Post(call aCall)
{
  return mQueue.Push(std::move(aCall));
}

void
platform_worker::Stop()
{
  mStore->Stop();
  mQueue.Close();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
platform_worker::Run()
{
  while (true) {
    if (const auto call = mQueue.Pop(kPopTimeout)) {
      (*call)(*mStore);
    } else if (mQueue.IsClosed()) {
      return;
    }
  }
}

} // namespace gooseberry::entry_program
