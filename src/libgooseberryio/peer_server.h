#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/core/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry::io {

/**
 * What an agent does with each call. Handlers run on the threads of the
 * connections, several at once; all must be set. An exception becomes an error
 * at the caller, which then closes its connection, and harms no other.
 */
struct agent_handlers
{
  std::function<core::start_reply(core::start_batch)> mStart;
  std::function<void(core::cancel_batch)> mCancel;
  std::function<std::vector<core::fence_reply>(
    std::vector<core::fence_request>)>
    mFence;
  std::function<core::copy_fences_reply(core::peer_ref)> mCopyFences;
  std::function<core::generation(core::versioned_configuration)> mApply;
};

/** What an entry does with each call; the rules of `agent_handlers` hold. */
struct entry_handlers
{
  std::function<core::entry_reply(core::agent_state)> mAnnounce;
  std::function<core::entry_reply(core::finish_batch)> mFinish;
  std::function<std::vector<core::locate_reply>(
    std::vector<core::locate_request>)>
    mLocate;
  std::function<core::copy_promises_reply(core::peer_ref)> mCopyNotes;
  std::function<core::heartbeat(core::heartbeat)> mBeat;
  std::function<void(core::deliver_request)> mDeliver;
};

/** Listens for calls of one service, with one thread for each connection. */
class peer_server
{
public:
  /** Serves an agent's calls at `aAddress`, `IP:PORT`; port 0: any free one. */
  peer_server(const std::string& aAddress, agent_handlers aHandlers);
  /** Serves an entry's calls. */
  peer_server(const std::string& aAddress, entry_handlers aHandlers);
  /** Stops. */
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /** Listens and returns; an error if the address cannot be had. */
  std::optional<core::error> Start();

  /**
   * Takes no more calls, closes idle connections, waits for handlers that run
   * and joins all threads. Handlers must not wait for the caller of `Stop`.
   */
  void Stop();

  /** The port that it listens on, once started. */
  std::uint16_t Port() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/** Serves the calls of `agent_handlers`. */
class agent_server : public peer_server
{
public:
  agent_server(const std::string& aAddress, agent_handlers aHandlers)
    : peer_server(aAddress, std::move(aHandlers))
  {
  }
};

/** Serves the calls of `entry_handlers`. */
class entry_server : public peer_server
{
public:
  entry_server(const std::string& aAddress, entry_handlers aHandlers)
    : peer_server(aAddress, std::move(aHandlers))
  {
  }
};

} // namespace gooseberry::io
