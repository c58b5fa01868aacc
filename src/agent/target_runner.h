#pragma once

#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/agent/effects.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace gooseberry::agentd {

/** What came of a call; called on the runner's threads. */
using report_handler = std::function<void(agent::task_report)>;

struct runner_settings
{
  std::size_t mMaxResult = 0;  ///< Bytes.
  std::size_t mMaxThreads = 0; ///< Over all targets.
};

/**
 * Calls targets over kept connections, with threads for each target that are
 * made when needed and end when idle.
 */
class target_runner
{
public:
  target_runner(const runner_settings& aSettings, report_handler aReport);
  /** Stops. */
  ~target_runner();
  target_runner(const target_runner&) = delete;
  target_runner& operator=(const target_runner&) = delete;

  /** Calls the target soon; every call ends with one report. */
  void Post(agent::run_task aTask);

  /** Waits for the calls that run and ends all threads. */
  void Stop();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace gooseberry::agentd
