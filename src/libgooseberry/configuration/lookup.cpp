#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/configuration/value.h"

#include <algorithm>

namespace gooseberry::configuration {

bool
IsDomainIn(const desired_state& aState, std::string_view aDomain)
{
  const auto found = aState.mFailureDomains.find(std::string(aDomain));
  return found != aState.mFailureDomains.end() &&
         found->second.mState == domain_state::In;
}

std::optional<named_queue>
FindQueue(const desired_state& aState,
          std::string_view aHost,
          std::string_view aPath)
{
  std::optional<named_queue> best;
  for (const auto& [name, queue] : aState.mQueues) {
    const bool isLonger =
      !best || queue.mPath.size() > best->mQueue.mPath.size();
    if (queue.mHost == aHost && aPath.starts_with(queue.mPath) && isLonger) {
      best = named_queue{ name, queue };
    }
  }
  return best;
}

bool
MayServe(const service& aService,
         std::string_view aTarget,
         std::string_view aDomain)
{
  const auto& domains = aService.mFailureDomains;
  const bool isAllowedDomain =
    domains.empty() ||
    std::find(domains.begin(), domains.end(), aDomain) != domains.end();
  return isAllowedDomain &&
         std::any_of(aService.mTargets.begin(),
                     aService.mTargets.end(),
                     [&](const std::string& aPattern) {
                       return MatchesPattern(aPattern, aTarget);
                     });
}

} // namespace gooseberry::configuration
