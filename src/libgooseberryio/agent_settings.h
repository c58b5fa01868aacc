#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/core/time.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/platform_adapter.h"
#include "libgooseberryio/platform_client.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry::io {

/** `[protocol]` of an agent. */
struct agent_protocol
{
  core::duration mFreshnessBound{};
  core::duration mPeerDeadline{}; ///< Of one call to a peer.
  core::duration mAnnounce{};     ///< Between two announces.
  core::duration mDeduplicationWindow{};
  bool mLeasedRuns = false; ///< Targets run tasks under leases.
  core::duration mLease{};  ///< Longest lease that a target grants.
  /** Time after which a job may be started elsewhere. */
  core::duration mResubmit{};
};

/** `[limits]` of an agent. */
struct agent_limits
{
  std::uint32_t mMaxTargets = 0;
  std::uint32_t mQueuePerTarget = 0; ///< Tasks that wait beyond the slots.
  std::size_t mResultBytes = 0;      ///< Results that are kept, all together.
  std::size_t mMaxBodyBytes = 0;     ///< Of one request.
  std::size_t mMaxBufferedBytes = 0; ///< Of unfinished requests together.
  core::duration mBodyTimeout{};     ///< For a request to arrive.
  std::size_t mMaxAnswerBytes = 0;   ///< One target's answer.
  core::duration mTargetLease{};     ///< A target not heard for longer is gone.
};

/** Everything that an agent's settings file says. */
struct agent_settings
{
  std::string mName;
  std::string mPeerAddress; ///< `IP:PORT` for entries and agents.
  std::string mHttpAddress; ///< `IP:PORT` for targets, metrics and health.
  std::string mFailureDomain;
  std::string mRack; ///< Empty: not told.
  platform_settings mPlatform;
  agent_protocol mProtocol;
  agent_limits mLimits;
  log_settings mLog;
  bool mLogDecisions = false;
  platform_adapter mAdapter;
};

/** Reads the settings file of an agent. */
core::result<agent_settings>
ParseAgentSettings(std::string_view aText, std::string_view aFileName);

/** All keys of the file as a Markdown table. */
std::string
AgentSettingsReference();

} // namespace gooseberry::io
