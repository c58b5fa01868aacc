#pragma once

#include <memory>
#include <thrift/TConfiguration.h>
#include <thrift/transport/TTransport.h>

namespace gooseberry::io {

/** Greatest message between two processes of the system, in bytes. */
inline constexpr int kMaxFrameBytes = 32 << 20;
/** Greatest nesting of a message's structs. */
inline constexpr int kMaxMessageDepth = 16;

/** The bounds that both ends of a connection set for what they read. */
std::shared_ptr<apache::thrift::TConfiguration>
PeerLimits();

/** Frames of at most `kMaxFrameBytes` on a socket, read with few calls. */
std::shared_ptr<apache::thrift::transport::TTransport>
FramedTransport(std::shared_ptr<apache::thrift::transport::TTransport> aSocket);

/** Sends Thrift's own complaints to the log instead of standard error. */
void
QuietThrift();

} // namespace gooseberry::io
