#include "libgooseberryio/log_once.h"

#include <functional>

namespace gooseberry::io {

bool
log_once::IsNew(const std::string& aText)
{
  constexpr std::size_t kMaxKept = 4'096;
  const std::lock_guard lock(mMutex);
  if (mHashes.size() >= kMaxKept) {
    mHashes.clear();
  }
  return mHashes.insert(std::hash<std::string>{}(aText)).second;
}

} // namespace gooseberry::io
