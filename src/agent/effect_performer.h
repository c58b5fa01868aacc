#pragma once

#include "agent/control_thread.h"
#include "agent/daemon_settings.h"
#include "agent/store_thread.h"
#include "agent/target_link.h"
#include "agent/target_runner.h"
#include "libgooseberryio/metrics.h"
#include "libgooseberryio/peer_pool.h"

#include <functional>

namespace gooseberry::agentd {

/** What carries out effects: pools of connections, threads and counters. */
struct effect_parts
{
  const daemon_settings& mSettings;
  control_thread& mControl;
  target_runner& mRunner;
  target_link* mLink; ///< Null where no target runs tasks under leases.
  store_thread& mStore;
  io::peer_pool<io::entry_client>& mEntries;
  io::peer_pool<io::agent_client>& mAgents;
  io::metrics& mMetrics;
  std::function<void()> mOnLeft;
};

/** Carries out one effect without blocking; what it gives is handled next. */
std::optional<control_event>
Perform(effect_parts& aParts, agent::effect aEffect);

} // namespace gooseberry::agentd
