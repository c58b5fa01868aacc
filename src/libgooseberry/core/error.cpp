#include "libgooseberry/core/error.h"

namespace gooseberry::core {

std::string
ToString(const error& aError)
{
  std::string text = aError.mStep + ": " + aError.mReason;
  if (!aError.mPeer.empty()) {
    text += " (" + aError.mPeer + ")";
  }
  return text;
}

} // namespace gooseberry::core
