#pragma once

#include "entry/control_loop.h"
#include "entry/platform_worker.h"
#include "entry/waiting_callers.h"
#include "libgooseberry/entry/effects.h"
#include "libgooseberryio/log_once.h"
#include "libgooseberryio/peer_pool.h"

#include <atomic>

namespace gooseberry::entry_program {

using caller_waiters = waiting_callers<core::job_answer>;
using operator_waiters = waiting_callers<entry::apply_result>;

/** Carries out what the decisions ask for, and feeds back what came of it. */
class runner
{
public:
  runner(const io::peer_pool_settings& aPeers,
         std::unique_ptr<io::table_store> aStore,
         caller_waiters& aCallers,
         operator_waiters& aOperators);

  /** The loop that gets the results; set before the first effect. */
  void SetLoop(control_loop& aLoop) { mLoop = &aLoop; }
  void Run(const entry::effects& aEffects);
  void Stop();
  bool IsDrained() const { return mDrained; }

private:
  void Do(const entry::send_start& aEffect);
  void Do(const entry::send_cancel& aEffect);
  void Do(const entry::send_fence& aEffect);
  void Do(const entry::send_locate& aEffect);
  void Do(const entry::send_heartbeat& aEffect);
  void Do(const entry::send_deliver& aEffect);
  void Do(const entry::copy_promises& aEffect);
  void Do(const entry::push_configuration& aEffect);
  void Do(const entry::read_members& aEffect);
  void Do(const entry::write_member& aEffect);
  void Do(const entry::delete_member& aEffect);
  void Do(const entry::read_configuration& aEffect);
  void Do(const entry::write_configuration& aEffect);
  void Do(const entry::answer_caller& aEffect);
  void Do(const entry::answer_operator& aEffect);
  void Do(const entry::log_line& aEffect);
  void Do(const entry::drained& aEffect);

  /** Hands an input to the loop; a full queue is logged. */
  void Feed(input aInput);
  void PostPlatform(platform_worker::call aCall, input aOnDropped);

  control_loop* mLoop = nullptr;
  caller_waiters& mCallers;
  operator_waiters& mOperators;
  io::peer_pool<io::agent_client> mAgents;
  io::peer_pool<io::entry_client> mEntries;
  io::log_once mLoggedRows; ///< Before the threads that use it.
  platform_worker mPlatform;
  std::atomic<bool> mDrained{ false };
};

} // namespace gooseberry::entry_program
