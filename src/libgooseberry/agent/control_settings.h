#pragma once

#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/lease/settings.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace gooseberry::agent {

using namespace std::chrono_literals;

/** Identity and limits of the agent. */
struct control_settings
{
  core::peer_ref mAgent;
  std::string mAddress; ///< Address for entries and agents, `ip:port`.
  std::string mFailureDomain;
  std::string mRack;
  /** Maximum age of a start's timestamp and of the agent's last contact. */
  core::duration mFreshnessBound = 2s;
  /** How long a job is remembered after its last change. */
  core::duration mDeduplicationWindow = 120s;
  /** Maximum number of tasks that wait at one target beyond its slots. */
  std::uint32_t mQueuePerTarget = 8;
  std::uint32_t mMaxTargets = 256;
  /** Maximum bytes of kept results; beyond it the oldest are dropped. */
  std::size_t mMaxResultBytes = std::size_t{ 64 } << 20U;
  core::duration mLoadReportInterval = 500ms;
  /** Minimum time between two load reports to one entry. */
  core::duration mMinLoadReportGap = 2ms;
  core::duration mFirstRetry = 50ms;
  core::duration mMaxRetry = 1s;
  /** Interval of reading member rows while no entry is known or reachable. */
  core::duration mRowsInterval = 1s;
  /** Interval of reading the member rows otherwise. */
  core::duration mIdleRowsInterval = 30s;
  /**
   * Under leases, time without a confirmation of the configuration by an entry
   * after which the agent reads the configuration itself.
   */
  core::duration mConfigurationAge = 1500ms;
  /** Interval of these reads. */
  core::duration mConfigurationInterval = 2s;
  /** Interval of reads while an entry has a newer configuration. */
  core::duration mConfigurationRetry = 500ms;
  std::size_t mMaxResultsPerBatch = 256;
  std::uint32_t mMaxBatchesInFlight = 4; ///< Per entry.
  /**
   * Every target runs tasks under leases. Tasks started by an agent or entry
   * that is gone are then known to end, so that neither records of others (R1
   * to R4, R6) nor a recent contact (R11) are needed.
   */
  bool mLeasedRuns = false;
  /** Runs that their entry has not confirmed for longer are stopped. */
  core::duration mEntryContactTimeout = 910ms;
  lease::lease_settings mLease;
};

} // namespace gooseberry::agent
