#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/job/ready_queue.h"
#include "libgooseberry/target/settings.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/platform_adapter.h"
#include "libgooseberryio/platform_client.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry::io {

/** `[limits]`: what callers may ask for. */
struct caller_bounds
{
  std::uint32_t mMaxTasks = 0;       ///< Of one job.
  std::size_t mMaxBodyBytes = 0;     ///< Of one request.
  std::size_t mMaxBufferedBytes = 0; ///< Of unfinished requests together.
  core::duration mBodyTimeout{};     ///< For a request to arrive.
  std::size_t mMaxPayloadBytes = 0;  ///< Of one task.
  core::duration mMaxQueueWait{};    ///< Expected; above it a job is refused.
  std::uint32_t mMaxCallers = 0;     ///< Connections at once.
  core::duration mDefaultDeadline{}; ///< Of a job that names none.
  core::duration mMaxDeadline{};
};

/** `[protocol]` of an entry. */
struct entry_protocol
{
  bool mTrustFirstAttempt = false;
  core::duration mDeduplicationWindow{};
  core::duration mFreshnessBound{};
  core::duration mPeerDeadline{};  ///< Of one call to a peer.
  core::duration mHeartbeat{};     ///< Between two heartbeats.
  bool mLeasedRuns = false;        ///< Targets run tasks under leases.
  core::duration mAgentLost{};     ///< An agent not heard for longer is lost.
  core::duration mMembersPeriod{}; ///< Between two reads of the member rows.
};

/** Everything that an entry's settings file says. */
struct entry_settings
{
  std::string mName;
  std::string mHttpAddress; ///< `IP:PORT` for callers and operators.
  std::string mPeerAddress; ///< `IP:PORT` for agents and entries.
  std::string mFailureDomain;
  std::uint32_t mMillicores = 0; ///< Thousandths of a core; 0: not known.
  platform_settings mPlatform;
  caller_bounds mLimits;
  entry_protocol mProtocol;
  target::placement_settings mPlacement;
  job::order_policy mOrder = job::order_policy::LeastRemaining;
  double mRetryShare = 0; ///< Retries for each start.
  log_settings mLog;
  bool mLogDecisions = false;
  platform_adapter mAdapter;
};

/** Reads the settings file of an entry. */
core::result<entry_settings>
ParseEntrySettings(std::string_view aText, std::string_view aFileName);

/** All keys of the file as a Markdown table. */
std::string
EntrySettingsReference();

} // namespace gooseberry::io
