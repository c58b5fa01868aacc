#include "libgooseberryio/deadline_socket.h"

#include "libgooseberryio/clock.h"
#include "libgooseberryio/peer_limits.h"

#include <poll.h>

#include <cstdlib>
#include <string>

namespace gooseberry::io {

using apache::thrift::transport::TTransportException;

namespace {

constexpr std::uint32_t kFrameHeaderBytes = 4;

} // namespace

deadline_socket::deadline_socket(const ip_address& aAddress)
  : TSocket(aAddress.mIp, aAddress.mPort, PeerLimits())
{
  setNoDelay(true);
}

void
deadline_socket::BeginCall(core::instant aDeadline)
{
  mDeadline = aDeadline;
  mHasSent = false;
}

bool
deadline_socket::IsStale()
{
  // Between two calls nothing is to be read: not a reply, nor the end.
  pollfd state{ .fd = getSocketFD(), .events = POLLIN, .revents = 0 };
  return poll(&state, 1, 0) != 0;
}

void
deadline_socket::open()
{
  setConnTimeout(MillisecondsLeft());
  TSocket::open();
}

std::uint32_t
deadline_socket::read(std::uint8_t* aBuffer, std::uint32_t aLength)
{
  if (const int left = MillisecondsLeft();
      !IsCloseEnough(mReceiveTimeout, left)) {
    mReceiveTimeout = left;
    setRecvTimeout(left);
  }
  return TSocket::read(aBuffer, aLength);
}

void
deadline_socket::write(const std::uint8_t* aBuffer, std::uint32_t aLength)
{
  // The peer would refuse it; known here, it is known that nothing was sent.
  if (aLength > kMaxFrameBytes + kFrameHeaderBytes) {
    throw TTransportException(TTransportException::BAD_ARGS,
                              "message of " + std::to_string(aLength) +
                                " bytes is too large");
  }
  TSocket::write(aBuffer, aLength);
}

std::uint32_t
deadline_socket::write_partial(const std::uint8_t* aBuffer,
                               std::uint32_t aLength)
{
  if (const int left = MillisecondsLeft(); !IsCloseEnough(mSendTimeout, left)) {
    mSendTimeout = left;
    setSendTimeout(left);
  }
  mHasSent = true;
  return TSocket::write_partial(aBuffer, aLength);
}

bool
deadline_socket::IsCloseEnough(int aInForce, int aLeft)
{
  // Of the time left, by which a call may end before or after its deadline.
  constexpr int kTenth = 10;
  return aInForce > 0 && std::abs(aInForce - aLeft) <= aLeft / kTenth;
}

int
deadline_socket::MillisecondsLeft() const
{
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(mDeadline - Now());
  if (left <= left.zero()) {
    throw TTransportException(TTransportException::TIMED_OUT,
                              "deadline passed");
  }
  return static_cast<int>(left.count());
}

} // namespace gooseberry::io
