#pragma once

#include "libgooseberry/configuration/change.h"
#include "libgooseberry/configuration/desired_state.h"

#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::configuration {

/** Takes a failure domain out of service or back in. */
struct domain_command
{
  std::string mDomain;
  domain_state mState = domain_state::In;

  bool operator==(const domain_command&) const = default;
};

/**
 * Carries out the command and returns the one that undoes it. An undeclared
 * failure domain is an error, and the state stays as it was.
 */
core::result<domain_command>
SetDomainState(desired_state& aState,
               std::string_view aDomain,
               domain_state aDomainState);

/**
 * Replaces the state by what a whole operator file declares and returns what
 * changed. Where the file is refused the state stays as it was.
 */
core::result<std::vector<change>>
ReplaceState(desired_state& aState,
             std::string_view aText,
             std::string_view aFileName);

} // namespace gooseberry::configuration
