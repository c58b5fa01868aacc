#pragma once

#include "libgooseberry/core/error.h"

#include <chrono>
#include <string>

namespace gooseberry::tools::common {

/** One short call, for control and collection; not for load. */
struct http_call
{
  std::string mMethod = "GET";
  std::string mUrl;
  std::string mBody;
  std::chrono::milliseconds mTimeout{ 2000 };
};

struct http_answer
{
  long mStatus = 0;
  std::string mBody;
};

/** Makes the call over a connection of its own; blocks until its deadline. */
core::result<http_answer>
Call(const http_call& aCall);

} // namespace gooseberry::tools::common
