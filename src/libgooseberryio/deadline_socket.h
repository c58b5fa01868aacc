#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberryio/address.h"

#include <cstdint>
#include <thrift/transport/TSocket.h>

namespace gooseberry::io {

/**
 * Client socket on which connecting, sending and receiving end at one common
 * point in time, and which knows whether anything was sent.
 */
class deadline_socket : public apache::thrift::transport::TSocket
{
public:
  explicit deadline_socket(const ip_address& aAddress);

  /** Begins a call that is to end by `aDeadline`. */
  void BeginCall(core::instant aDeadline);

  /** Whether a byte of the current call may have left. */
  bool HasSent() const { return mHasSent; }

  /** Whether the peer has closed the idle connection, or said anything. */
  bool IsStale();

  void open() override;
  std::uint32_t read(std::uint8_t* aBuffer, std::uint32_t aLength) override;
  void write(const std::uint8_t* aBuffer, std::uint32_t aLength) override;
  std::uint32_t write_partial(const std::uint8_t* aBuffer,
                              std::uint32_t aLength) override;

private:
  /** Time left, at least 1 ms; throws where the deadline has passed. */
  int MillisecondsLeft() const;
  /** Whether a timeout in force ends so close to the deadline that setting it
   * anew is not worth a system call. */
  static bool IsCloseEnough(int aInForce, int aLeft);

  core::instant mDeadline{};
  bool mHasSent = false;
  int mReceiveTimeout = 0; ///< In force, in milliseconds; 0: none.
  int mSendTimeout = 0;    ///< The same.
};

} // namespace gooseberry::io
