#pragma once

#include <string>
#include <variant>

namespace gooseberry::core {

/** A failure, with the step and the peer where it occurred. */
struct error
{
  std::string mStep; ///< Operation that failed, e.g. `read configuration`.
  std::string mPeer; ///< The other party; empty where there is none.
  std::string mReason;
};

/** A value, or the error of the operation that should have given it. */
template<typename Value>
using result = std::variant<Value, error>;

/** Formats `step: reason (peer)`, for logs and terminal output. */
std::string
ToString(const error& aError);

} // namespace gooseberry::core
