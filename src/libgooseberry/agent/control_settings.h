#pragma once

#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/lease/settings.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace gooseberry::agent {

using namespace std::chrono_literals;

/** Who the agent is, and its bounds. */
struct control_settings
{
  core::peer_ref mAgent;
  std::string mAddress; ///< Where entries and agents call it, `ip:port`.
  std::string mFailureDomain;
  std::string mRack;
  /** Longest age of a start's stamp and of the agent's own evidence. */
  core::duration mFreshnessBound = 2s;
  /** How long a job is remembered after its last change. */
  core::duration mDeduplicationWindow = 120s;
  /** Tasks that may wait at one target beyond its slots. */
  std::uint32_t mQueuePerTarget = 8;
  std::uint32_t mMaxTargets = 256;
  /** Bytes of results kept; beyond it the oldest results are dropped. */
  std::size_t mMaxResultBytes = std::size_t{ 64 } << 20U;
  core::duration mLoadReportInterval = 500ms;
  /** Shortest time between two announces to one entry. */
  core::duration mMinLoadReportGap = 2ms;
  core::duration mFirstRetry = 50ms;
  core::duration mMaxRetry = 1s;
  /** How often the rows are read while no entry is known or in reach. */
  core::duration mRowsInterval = 1s;
  /** How often the rows are read otherwise. */
  core::duration mIdleRowsInterval = 30s;
  std::size_t mMaxResultsPerBatch = 256;
  std::uint32_t mMaxBatchesInFlight = 4; ///< Towards each entry.
  /**
   * Every target runs tasks under leases: what an agent or an entry that is
   * gone has started is known to end, so that neither records of others
   * (R1 to R4, R6) nor evidence (R11) are needed.
   */
  bool mLeasedRuns = false;
  /** What its entry is not known to want for longer is stopped. */
  core::duration mEntryContactTimeout = 910ms;
  lease::lease_settings mLease;
};

} // namespace gooseberry::agent
