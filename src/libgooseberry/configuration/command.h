#pragma once

#include "libgooseberry/configuration/change.h"
#include "libgooseberry/configuration/desired_state.h"

#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::configuration {

/** Puts a failure domain in or out of service. */
struct domain_command
{
  std::string mDomain;
  domain_state mState = domain_state::In;

  bool operator==(const domain_command&) const = default;
};

/**
 * Executes the command and returns the command that undoes it. Returns an error
 * and leaves the state unchanged where the failure domain is not declared.
 */
core::result<domain_command>
SetDomainState(desired_state& aState,
               std::string_view aDomain,
               domain_state aDomainState);

/**
 * Replaces the state by the contents of an operator file and returns the
 * changes. Returns an error and leaves the state unchanged where the file is
 * refused.
 */
core::result<std::vector<change>>
ReplaceState(desired_state& aState,
             std::string_view aText,
             std::string_view aFileName);

} // namespace gooseberry::configuration
