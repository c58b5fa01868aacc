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
  /** Names of targets. Each may contain one `*`, which matches any text. */
  std::vector<std::string> mTargets;
  /** Failure domains where it may run; empty: everywhere. */
  std::vector<std::string> mFailureDomains;
  /** Starts allowed for an idempotent task, including the first. */
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

/** `[queue NAME]`: a host and path to which callers send jobs of one kind. */
struct queue
{
  std::string mHost; ///< Host name that requests are sent to.
  std::string mPath; ///< Prefix of the request path; begins with `/`.
  std::string mService;
  std::uint32_t mPriority = 0; ///< Smaller values go first.
  std::uint32_t mMaxTries = 1; ///< Starts allowed for each task.
  core::duration mTimeout = std::chrono::seconds(30); ///< Timeout of a request.
  /** A job is late after this plus `mSlackPercent` of its own run time. */
  core::duration mTargetLatency{};
  std::uint32_t mSlackPercent = 100;

  bool operator==(const queue&) const = default;
};

/**
 * Everything that operators declare, as one value. Names of services and queues
 * may have any bytes; files hold them as `text_coding.h` says.
 */
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
 * Reads an operator file. Errors name the file, line and key and what was
 * expected, as `FILE:LINE: [section] key: ...`.
 */
core::result<desired_state>
Parse(std::string_view aText, std::string_view aFileName);

/** Writes the operator file that declares `aState`; `Parse` reads it back. */
std::string
Format(const desired_state& aState);

/**
 * Returns whether starts are allowed in a domain. An undeclared domain is out.
 */
bool
IsDomainIn(const desired_state& aState, std::string_view aDomain);

/** A queue with its name. */
struct named_queue
{
  std::string mName;
  queue mQueue;
};

/**
 * Returns the queue of a request: of the queues of the host, the one with the
 * longest path that is a prefix of the request path.
 */
std::optional<named_queue>
FindQueue(const desired_state& aState,
          std::string_view aHost,
          std::string_view aPath);

/**
 * Returns whether a target in a domain may provide a service, regardless of the
 * state of the domain.
 */
bool
MayServe(const service& aService,
         std::string_view aTarget,
         std::string_view aDomain);

} // namespace gooseberry::configuration
