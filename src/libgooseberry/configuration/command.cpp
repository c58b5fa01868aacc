#include "libgooseberry/configuration/command.h"

#include "libgooseberry/configuration/value.h"

#include <utility>

namespace gooseberry::configuration {

core::result<domain_command>
SetDomainState(desired_state& aState,
               std::string_view aDomain,
               domain_state aDomainState)
{
  const auto found = aState.mFailureDomains.find(std::string(aDomain));
  if (found == aState.mFailureDomains.end()) {
    return core::error{ "set state of failure domain",
                        "",
                        "expected a declared failure domain, got " +
                          Quote(aDomain) };
  }
  const auto before = std::exchange(found->second.mState, aDomainState);
  return domain_command{ found->first, before };
}

core::result<std::vector<change>>
ReplaceState(desired_state& aState,
             std::string_view aText,
             std::string_view aFileName)
{
  auto parsed = Parse(aText, aFileName);
  if (auto* problem = std::get_if<core::error>(&parsed)) {
    return std::move(*problem);
  }
  auto changes = Compare(aState, std::get<desired_state>(parsed));
  aState = std::move(std::get<desired_state>(parsed));
  return changes;
}

} // namespace gooseberry::configuration
