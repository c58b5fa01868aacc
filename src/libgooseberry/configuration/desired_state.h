#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/error.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <map>
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

/** Everything that operators declare, as one value. */
struct desired_state
{
  std::string mName;
  std::map<std::string, failure_domain> mFailureDomains;
  std::map<std::string, service> mServices;
  std::map<std::string, team> mTeams;

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

/** Whether a target in a domain may take a service; states are not looked at.
 */
bool
MayServe(const service& aService,
         std::string_view aTarget,
         std::string_view aDomain);

} // namespace gooseberry::configuration
