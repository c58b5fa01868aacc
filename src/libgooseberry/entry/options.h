#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/job/ready_queue.h"
#include "libgooseberry/quota/admission.h"
#include "libgooseberry/quota/retry_budget.h"
#include "libgooseberry/target/settings.h"

#include <cstdint>
#include <string>

namespace gooseberry::entry {

/** What is set for one entry; validated before it gets here. */
struct entry_options
{
  std::string mName;
  std::string mAddress; ///< `ip:port` of its Thrift server.
  std::string mFailureDomain;
  /** Processor time that it may use, in thousandths of a core; 0: unknown. */
  std::uint32_t mMillicores = 0;
  bool mTrustFirstAttempt = true;
  core::duration mWindow = std::chrono::seconds(120);
  core::duration mFreshnessBound = std::chrono::seconds(2);
  core::duration mHeartbeat = std::chrono::milliseconds(500);
  /** A peer that was not heard for longer is asked no more. */
  core::duration mPeerSuspect = std::chrono::milliseconds(1500);
  /** Longest wait for the answers to a locate before agents are asked. */
  core::duration mLocateTimeout = std::chrono::seconds(1);
  /** Longest wait for all fences of a recovery. */
  core::duration mRecoverTimeout = std::chrono::seconds(5);
  /** An agent not heard for longer has lost what it ran. */
  core::duration mAgentLost = std::chrono::seconds(10);
  /** Time in which peers are to confirm a configuration. */
  core::duration mApplyTimeout = std::chrono::seconds(3);
  core::duration mMembersPeriod = std::chrono::seconds(1);
  /**
   * Targets run tasks under leases, and agents stop what runs for an entry that
   * is gone: a job that another entry had leaves nothing behind, so that each
   * submission is a first one (R1 to R4, R6 and R11 are not needed).
   */
  bool mLeasedRuns = false;
  job::order_settings mOrder;
  target::placement_settings mPlacement;
  quota::admission_settings mAdmission;
  quota::retry_budget_settings mRetry;
  bool mLogDecisions = true;
};

} // namespace gooseberry::entry
