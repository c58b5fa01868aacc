#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace gooseberry::tools::test {

/** Answers jobs with made-up results, without any target. */
struct fake_entry
{
  std::chrono::milliseconds mRunTime{ 0 };
  bool mRefuses = false;
  std::atomic<int> mSubmitted{ 0 };
  std::atomic<int> mResubmitted{ 0 };
  std::atomic<int> mCancelled{ 0 };
  std::string mAddress; ///< Set once it serves.
  std::shared_ptr<void> mServer;
};

/** Serves `aEntry` on a free port of loopback until `mServer` is reset. */
void
Serve(fake_entry& aEntry);

} // namespace gooseberry::tools::test
