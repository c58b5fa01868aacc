#pragma once

#include "agent/target_link.h"
#include "libgooseberry/agent/control_settings.h"
#include "libgooseberryio/agent_settings.h"
#include "libgooseberryio/http_server.h"
#include "libgooseberryio/platform_client.h"

#include <cstddef>
#include <string>

namespace gooseberry::agentd {

/** Settings of the whole process. */
struct daemon_settings
{
  agent::control_settings mControl;
  std::string mListen; ///< `IP:PORT` of calls from entries and agents.
  /** For targets, metrics and health. */
  io::http_server_settings mHttp;
  io::store_factory mMakeStore;
  /** For targets that run tasks under leases; may be empty. */
  link_factory mMakeLink;
  core::duration mCallDeadline = std::chrono::milliseconds(500);
  /** Largest answer of a target; a larger one is an unknown end. */
  std::size_t mMaxResult = std::size_t{ 4 } << 20U;   // bytes
  core::duration mMaxLease = std::chrono::seconds(3); ///< Of a target.
  bool mLogDecisions = false;                         ///< Lines for each task.
  std::size_t mMaxTargetThreads = 1024;
  std::size_t mEventQueue = 65536; ///< Events that wait for control.
};

/** What an agent needs, from its settings. */
daemon_settings
MakeDaemonSettings(const io::agent_settings& aSettings);

} // namespace gooseberry::agentd
