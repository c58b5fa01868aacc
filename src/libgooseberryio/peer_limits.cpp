#include "libgooseberryio/peer_limits.h"

#include "libgooseberryio/log.h"

#include <mutex>
#include <thrift/TOutput.h>
#include <thrift/transport/TBufferTransports.h>
#include <utility>

namespace gooseberry::io {

std::shared_ptr<apache::thrift::TConfiguration>
PeerLimits()
{
  return std::make_shared<apache::thrift::TConfiguration>(
    kMaxFrameBytes, kMaxFrameBytes, kMaxMessageDepth);
}

std::shared_ptr<apache::thrift::transport::TTransport>
FramedTransport(std::shared_ptr<apache::thrift::transport::TTransport> aSocket)
{
  // A frame's length and content usually arrive together: one call reads both.
  constexpr std::uint32_t kReadBytes = 4'096;
  const auto limits = PeerLimits();
  return std::make_shared<apache::thrift::transport::TFramedTransport>(
    std::make_shared<apache::thrift::transport::TBufferedTransport>(
      std::move(aSocket), kReadBytes, limits),
    limits);
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
