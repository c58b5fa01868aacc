#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/core/message.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace gooseberry::io {

/** A call without a usable reply. */
struct call_error
{
  core::error mError;
  /**
   * False only where nothing was sent, as when the connection was refused;
   * else the peer may have acted on the call.
   */
  bool mDelivered = true;
  /** The other end said that nobody listens at its address. */
  bool mRefused = false;
};

/** The reply to a call, or why there is none. */
template<typename Reply>
using call_result = std::variant<Reply, call_error>;

/** Reply to a call that has nothing to say but that it was done. */
struct acknowledgement
{};

/**
 * Calls to one agent over one kept connection. For one thread at a time. Each
 * call ends within the deadline. After any failure the connection is closed
 * and the next call opens a new one.
 */
class agent_client
{
public:
  /** `aAddress` is `IP:PORT`; `aDeadline` bounds each call as a whole. */
  agent_client(const std::string& aAddress, core::duration aDeadline);
  ~agent_client();
  agent_client(const agent_client&) = delete;
  agent_client& operator=(const agent_client&) = delete;

  call_result<core::start_reply> Start(const core::start_batch& aBatch);
  call_result<acknowledgement> Cancel(const core::cancel_batch& aBatch);
  call_result<std::vector<core::fence_reply>> Fence(
    const std::vector<core::fence_request>& aRequests);
  call_result<core::copy_fences_reply> CopyFences(
    const core::peer_ref& aJoiner);
  /** Offers a configuration; the reply is the generation then in force. */
  call_result<core::generation> Apply(
    const core::versioned_configuration& aConfiguration);

  const std::string& Address() const;

private:
  struct connection;
  std::unique_ptr<connection> mConnection;
};

/** Calls to one entry; the rules of `agent_client` hold. */
class entry_client
{
public:
  /** `aAddress` is `IP:PORT`; `aDeadline` bounds each call as a whole. */
  entry_client(const std::string& aAddress, core::duration aDeadline);
  ~entry_client();
  entry_client(const entry_client&) = delete;
  entry_client& operator=(const entry_client&) = delete;

  call_result<core::entry_reply> Announce(const core::agent_state& aState);
  call_result<core::entry_reply> Finish(const core::finish_batch& aBatch);
  call_result<std::vector<core::locate_reply>> Locate(
    const std::vector<core::locate_request>& aRequests);
  call_result<core::copy_promises_reply> CopyNotes(
    const core::peer_ref& aJoiner);
  call_result<core::heartbeat> Beat(const core::heartbeat& aBeat);
  call_result<acknowledgement> Deliver(const core::deliver_request& aRequest);

  const std::string& Address() const;

private:
  struct connection;
  std::unique_ptr<connection> mConnection;
};

} // namespace gooseberry::io
