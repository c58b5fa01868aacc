#pragma once

#include "agent/control_thread.h"
#include "agent/daemon_settings.h"
#include "agent/effect_performer.h"
#include "libgooseberry/core/error.h"
#include "libgooseberryio/http_server.h"
#include "libgooseberryio/peer_server.h"
#include "libgooseberryio/stop_signals.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace gooseberry::agentd {

/** The whole agent: its servers, pools and the control thread. */
class agent_daemon
{
public:
  explicit agent_daemon(daemon_settings aSettings);
  /** Stops. */
  ~agent_daemon();
  agent_daemon(const agent_daemon&) = delete;
  agent_daemon& operator=(const agent_daemon&) = delete;

  /** Listens and joins; an error where an address cannot be had. */
  std::optional<core::error> Start();

  /** Announces leaving and takes nothing new. */
  void Leave();

  /** Whether all tasks have ended and all results were acknowledged. */
  bool HasLeft() const;

  void Stop();

  control_thread& Control() { return mControl; }

private:
  void RouteHealth();

  const daemon_settings mSettings;
  io::metrics mMetrics;
  std::atomic<bool> mHasLeft = false;
  control_thread mControl;
  target_runner mRunner;
  std::unique_ptr<target_link> mLink;
  store_thread mStore;
  io::peer_pool<io::entry_client> mEntries;
  io::peer_pool<io::agent_client> mAgents;
  effect_parts mParts;
  io::agent_server mPeerServer;
  io::http_server mHttpServer;
};

/**
 * Serves until a signal, and then until the agent has left; runs `aBeforeStop`
 * before the process stops.
 */
void
Serve(
  agent_daemon& aDaemon,
  io::stop_signals& aSignals,
  const std::function<void()>& aBeforeStop = [] {});

} // namespace gooseberry::agentd
