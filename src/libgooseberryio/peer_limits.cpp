#include "libgooseberryio/peer_limits.h"

#include "libgooseberryio/log.h"

#include <mutex>
#include <thrift/TOutput.h>

namespace gooseberry::io {

std::shared_ptr<apache::thrift::TConfiguration>
PeerLimits()
{
  return std::make_shared<apache::thrift::TConfiguration>(
    kMaxFrameBytes, kMaxFrameBytes, kMaxMessageDepth);
}

void
QuietThrift()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] {
    apache::thrift::GlobalOutput.setOutputFunction([](const char* aText) {
      log_event("thrift", log_level::Debug).Add("text", aText);
    });
  });
}

} // namespace gooseberry::io
