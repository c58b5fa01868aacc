#pragma once

#include "libgooseberryio/clock.h"
#include "libgooseberryio/deadline_socket.h"
#include "libgooseberryio/peer_client.h"
#include "libgooseberryio/peer_limits.h"

#include <memory>
#include <optional>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <utility>

namespace gooseberry::io {

/**
 * One kept connection and the calls over it; `Stub` is a generated client.
 * The shared part of `agent_client` and `entry_client`.
 */
template<typename Stub>
class peer_connection
{
public:
  peer_connection(std::string aAddress, core::duration aDeadline)
    : mAddress(std::move(aAddress))
    , mDeadline(aDeadline)
  {
    QuietThrift();
  }

  /**
   * Runs `aCall(stub)`, which sends, receives and converts one call. Whatever
   * it throws closes the connection.
   */
  template<typename Call>
  auto Run(const char* aStep, const Call& aCall)
    -> call_result<decltype(aCall(std::declval<Stub&>()))>
  {
    try {
      Prepare();
      return aCall(*mStub);
    } catch (const std::exception& failure) {
      const bool hasSent = mSocket && mSocket->HasSent();
      Close();
      return call_error{ .mError = { .mStep = aStep,
                                     .mPeer = mAddress,
                                     .mReason = failure.what() },
                         .mDelivered = hasSent };
    }
  }

  const std::string& Address() const { return mAddress; }

private:
  void Prepare()
  {
    const auto deadline = Now() + mDeadline;
    if (mSocket && mSocket->IsStale()) {
      Close();
    }
    if (!mSocket) {
      Open(deadline);
    }
    mSocket->BeginCall(deadline);
  }

  void Open(core::instant aDeadline)
  {
    const auto address = ParseAddress(mAddress);
    if (const auto* const bad = std::get_if<core::error>(&address)) {
      throw apache::thrift::transport::TTransportException(bad->mReason);
    }
    mSocket = std::make_shared<deadline_socket>(std::get<ip_address>(address));
    mSocket->BeginCall(aDeadline);
    mStub.emplace(std::make_shared<apache::thrift::protocol::TCompactProtocol>(
      FramedTransport(mSocket)));
    mSocket->open();
  }

  void Close()
  {
    mStub.reset();
    mSocket.reset();
  }

  const std::string mAddress;
  const core::duration mDeadline;
  std::shared_ptr<deadline_socket> mSocket;
  std::optional<Stub> mStub;
};

} // namespace gooseberry::io
