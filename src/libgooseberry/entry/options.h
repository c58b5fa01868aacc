#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/job/ready_queue.h"
#include "libgooseberry/quota/admission.h"
#include "libgooseberry/quota/retry_budget.h"
#include "libgooseberry/target/settings.h"

#include <cstdint>
#include <string>

namespace gooseberry::entry {

/** Options of one entry, already validated. */
struct entry_options
{
  std::string mName;
  std::string mAddress; ///< `ip:port` of its Thrift server.
  std::string mFailureDomain;
  /** Processor time that the entry may use, in thousandths of a core; 0:
   * unknown. */
  std::uint32_t mMillicores = 0;
  bool mTrustFirstAttempt = true;
  core::duration mWindow = std::chrono::seconds(120);
  core::duration mFreshnessBound = std::chrono::seconds(2);
  core::duration mHeartbeat = std::chrono::milliseconds(500);
  /** Time without contact after which a peer is not asked any more. */
  core::duration mPeerSuspect = std::chrono::milliseconds(1500);
  /** Longest wait for locate replies before the agents are fenced. */
  core::duration mLocateTimeout = std::chrono::seconds(1);
  /** Longest wait for the fence replies of a recovery. */
  core::duration mRecoverTimeout = std::chrono::seconds(5);
  /** Time without contact after which an agent's tasks count as lost. */
  core::duration mAgentLost = std::chrono::seconds(10);
  /** Longest wait for peers to confirm a configuration. */
  core::duration mApplyTimeout = std::chrono::seconds(3);
  core::duration mMembersPeriod = std::chrono::seconds(1);
  /**
   * Targets run tasks under leases, and agents stop the tasks of an entry that
   * is gone. A job leaves nothing behind at its previous entry, so every
   * submission is treated as a first attempt (R1 to R4, R6 and R11 are not
   * needed).
   */
  bool mLeasedRuns = false;
  job::order_settings mOrder;
  target::placement_settings mPlacement;
  quota::admission_settings mAdmission;
  quota::retry_budget_settings mRetry;
  bool mLogDecisions = true;
};

} // namespace gooseberry::entry
