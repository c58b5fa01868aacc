#pragma once

#include <string>
#include <variant>

namespace gooseberry::core {

/** A failure, with the step and the peer at which it arose. */
struct error
{
  std::string mStep; ///< What was being done, e.g. `read configuration`.
  std::string mPeer; ///< With whom; empty where nobody else took part.
  std::string mReason;
};

/** A value, or the error that took its place. */
template<typename Value>
using result = std::variant<Value, error>;

/** `step: reason (peer)`, for logs and messages to people. */
std::string
ToString(const error& aError);

} // namespace gooseberry::core
