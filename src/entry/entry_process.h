#pragma once

#include "entry/caller_api.h"
#include "entry/control_loop.h"
#include "entry/effect_runner.h"
#include "entry/entry_metrics.h"
#include "libgooseberryio/close_watch.h"
#include "libgooseberryio/entry_settings.h"
#include "libgooseberryio/http_server.h"
#include "libgooseberryio/metrics.h"
#include "libgooseberryio/peer_server.h"
#include "libgooseberryio/platform_client.h"
#include "libgooseberryio/stop_signals.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace gooseberry::entry_program {

/** Everything that one entry process is set up with. */
struct process_options
{
  entry::entry_options mEntry;
  caller_limits mCallers;
  io::http_server_settings mHttp;
  io::store_factory mMakeStore;
  core::duration mPeerDeadline = std::chrono::milliseconds(300);
};

/** What a process needs, from its settings. */
process_options
MakeProcessOptions(const io::entry_settings& aSettings);

/** One running entry: servers, clients and the control loop. */
class entry_process
{
public:
  explicit entry_process(const process_options& aOptions);
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  std::optional<core::error> Start();
  /** Turns /readyz, so that the balancer sends no more callers here. */
  void AnnounceLeaving();
  /** Takes nothing new from now on. */
  void Leave();
  /** All that was taken has been answered. */
  bool IsDrained() const;
  void Stop();

  /** Whether it asks the balancer for callers; see `entry::IsReady`. */
  bool IsReady();
  /** Whether callers are to go elsewhere, though they are still served: as the
   * balancer was told. */
  bool SendsElsewhere() const { return !mReady || mSendsElsewhere; }
  const caller_limits& CallerLimits() const { return mOptions.mCallers; }
  control_loop& Loop() { return mLoop; }
  caller_waiters& Callers() { return mCallers; }
  /** Tells of callers that leave before their answer. */
  io::close_watch& Connections() { return mConnections; }

private:
  io::entry_handlers MakeHandlers();
  void AddHealthRoutes();

  process_options mOptions;
  std::atomic<bool> mReady{ true };
  std::atomic<bool> mSendsElsewhere{ false };
  io::metrics mMetrics;
  metrics_publisher mPublisher;
  caller_waiters mCallers;
  io::close_watch mConnections;
  operator_waiters mOperators;
  runner mRunner;
  entry::effects mFirstEffects;
  control_loop mLoop;
  io::entry_server mPeers;
  io::http_server mHttp;
};

/**
 * Serves until a signal, then until all that was taken is answered; runs
 * `aBeforeStop` before the process stops.
 */
void
Serve(
  entry_process& aProcess,
  io::stop_signals& aSignals,
  const std::function<void()>& aBeforeStop = [] {});

} // namespace gooseberry::entry_program
