#pragma once

#include <cstddef>
#include <mutex>
#include <set>
#include <string>

namespace gooseberry::io {

/**
 * What has been logged, so that something odd that is read again and again
 * gives one line. For any thread; remembers a bounded number.
 */
class log_once
{
public:
  /** Whether this text comes for the first time. */
  bool IsNew(const std::string& aText);

private:
  std::mutex mMutex;
  std::set<std::size_t> mHashes;
};

} // namespace gooseberry::io
