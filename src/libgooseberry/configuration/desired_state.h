#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/error.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::configuration {

/** Version of the operator file's format that is read and written. */
inline constexpr std::uint32_t kFormatVersion = 1;

/** Whether operators allow starts in a failure domain. */
enum class domain_state : std::uint8_t
{
  In,
  Out,
};
inline constexpr core::enum_names<domain_state, 2> kDomainStateNames{
  { "in", "out" }
};

/** `[failure_domain NAME]` */
struct failure_domain
{
  std::string mRegion;
  domain_state mState = domain_state::In;

  bool operator==(const failure_domain&) const = default;
};

/** `[service NAME]` */
struct service
{
  /** Names of targets, each with at most one `*`, which matches any text. */
  std::vector<std::string> mTargets;
  /** Where it may run; empty: everywhere. */
  std::vector<std::string> mFailureDomains;
  /** Starts allowed for an idempotent task, the first included. */
  std::uint32_t mMaxTries = 3;
  core::duration mMaxTaskTime = std::chrono::seconds(30);

  bool operator==(const service&) const = default;
};

/** `[team NAME]` */
struct team
{
  /** Tasks that may run at once over all entries; 0: no limit. */
  std::uint32_t mQuotaSlots = 0;

  bool operator==(const team&) const = default;
};

/** `[queue NAME]`: where callers send jobs of one kind. */
struct queue
{
  std::string mHost; ///< Name of the host that requests are sent to.
  std::string mPath; ///< Requests whose path begins with it; ends in `/`.
  std::string mService;
  std::uint32_t mPriority = 0; ///< Lower ones go first.
  std::uint32_t mMaxTries = 1; ///< Starts allowed for each task.
  core::duration mTimeout = std::chrono::seconds(30); ///< Of a request.
  /** A job is late after `mSlackPercent` of its own run time and this. */
  core::duration mTargetLatency{};
  std::uint32_t mSlackPercent = 100;

  bool operator==(const queue&) const = default;
};

/** Everything that operators declare, as one value. */
struct desired_state
{
  std::string mName;
  std::map<std::string, failure_domain> mFailureDomains;
  std::map<std::string, service> mServices;
  std::map<std::string, team> mTeams;
  std::map<std::string, queue> mQueues;

  bool operator==(const desired_state&) const = default;
};

/**
 * Reads a whole operator file. Errors name file, line, key and what was
 * expected, as `FILE:LINE: [section] key: ...`.
 */
core::result<desired_state>
Parse(std::string_view aText, std::string_view aFileName);

/** The operator file that declares `aState`; `Parse` reads it back. */
std::string
Format(const desired_state& aState);

/** Whether starts are allowed there; a domain nobody declared is out. */
bool
IsDomainIn(const desired_state& aState, std::string_view aDomain);

/** A queue with its name. */
struct named_queue
{
  std::string mName;
  queue mQueue;
};

/** The queue of a request: the one of the host with the longest path that the
 * request's path begins with. */
std::optional<named_queue>
FindQueue(const desired_state& aState,
          std::string_view aHost,
          std::string_view aPath);

/** Whether a target in a domain may take a service; states are not looked at.
 */
bool
MayServe(const service& aService,
         std::string_view aTarget,
         std::string_view aDomain);

} // namespace gooseberry::configuration
