#pragma once

#include <string>

namespace gooseberry::io {

/** `[adapter]`: what only the adapter of a platform needs; may all be empty. */
struct platform_adapter
{
  std::string mCallerAddress; ///< `IP:PORT` for callers.
  std::string mReadyAddress;  ///< `IP:PORT` that a balancer asks.
  std::string mTargetAddress; ///< `IP:PORT` where targets register.
  std::string mDomains;       ///< All failure domains, with commas between.
  std::string mRegion;
};

} // namespace gooseberry::io
