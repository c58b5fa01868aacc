#include "libgooseberry/target/report.h"

#include "libgooseberry/target/capacity.h"
#include "libgooseberry/target/ejection.h"
#include "libgooseberry/target/members.h"

#include <algorithm>
#include <utility>

namespace gooseberry::target {

namespace {

/** Ended incarnations remembered per agent, to drop their late reports. */
constexpr std::size_t kMaxEndedIncarnations = 8;
/** Limit of reported counts, so that sums cannot overflow. */
constexpr std::uint32_t kMaxReportedCount = 1U << 20;

using service_list = std::vector<std::uint32_t>;

void
AddServices(target_table& aTable,
            const target_view& aTarget,
            service_list& aServices)
{
  for (const std::string& name : aTarget.mLoad.mServices) {
    if (FindService(aTable, name) == nullptr) {
      continue; // Not a configured service.
    }
    const std::uint32_t index = ServiceIndex(aTable, name);
    if (std::find(aServices.begin(), aServices.end(), index) ==
        aServices.end()) {
      aServices.push_back(index);
    }
  }
}

target_index
FindOrAdd(target_table& aTable, const std::string& aName)
{
  const auto next = static_cast<target_index>(aTable.mTargets.size());
  const auto [found, isNew] = aTable.mTargetByName.try_emplace(aName, next);
  if (isNew) {
    target_view& target = aTable.mTargets.emplace_back();
    target.mName = aName;
    target.mAffinity = aTable.mSettings.mAffinitySeed == 0
                         ? next
                         : AffinityOf(aTable.mSettings.mAffinitySeed, aName);
  }
  return found->second;
}

/** Returns whether another agent with recent reports holds the target. If two
 * agents report the same target, the first keeps it. */
bool
IsHeldByOther(const target_table& aTable,
              const target_view& aTarget,
              const core::agent_state& aState)
{
  return aTarget.mKnown && aTarget.mAgent != aState.mAgent.mName &&
         IsFresh(aTable, aTarget, aTable.mNow);
}

/** Returns whether the report changes the member lists of the target. */
bool
ChangesLists(const target_view& aTarget,
             const core::agent_state& aState,
             const core::target_load& aLoad)
{
  return aTarget.mAgent.empty() || aTarget.mExpired ||
         aTarget.mFailureDomain != aState.mFailureDomain ||
         aTarget.mLoad.mServices != aLoad.mServices;
}

void
CopyReport(target_table& aTable,
           target_view& aTarget,
           const core::agent_state& aState,
           const core::target_load& aLoad)
{
  aTarget.mAgent = aState.mAgent.mName;
  aTarget.mAgentIncarnation = aState.mAgent.mIncarnation;
  aTarget.mFailureDomain = aState.mFailureDomain;
  aTarget.mRack = aState.mRack;
  aTarget.mLoad = aLoad;
  aTarget.mLoad.mSlots = std::min(aLoad.mSlots, kMaxReportedCount);
  aTarget.mLoad.mRunning = std::min(aLoad.mRunning, kMaxReportedCount);
  aTarget.mLoad.mQueued = std::min(aLoad.mQueued, kMaxReportedCount);
  aTarget.mReportedAt = aTable.mNow;
  aTarget.mSentSinceReport = 0;
  aTarget.mAgentOpen = aState.mOpen && !aState.mLeaving;
  aTarget.mDomainIn =
    configuration::IsDomainIn(aTable.mConfiguration, aState.mFailureDomain);
  aTarget.mKnown = true;
  aTarget.mExpired = false;
}

/** Joins the slow start of a failure domain that is coming back, for a target
 * that was not known when the domain returned. */
void
JoinRamp(target_table& aTable, target_index aTarget)
{
  const auto& domain = aTable.mTargets[aTarget].mFailureDomain;
  const auto found = aTable.mDomainReturns.find(domain);
  if (found != aTable.mDomainReturns.end() &&
      aTable.mNow - found->second < aTable.mSettings.mRampTime) {
    StartRamp(aTable, aTarget, found->second);
  }
}

void
Drop(target_table& aTable, target_index aTarget)
{
  target_view& target = aTable.mTargets[aTarget];
  target.mKnown = false;
  // It may have been repaired meanwhile: allow a probe at once.
  target.mHealth.mProbeAt = std::min(target.mHealth.mProbeAt, aTable.mNow);
  Refresh(aTable, aTarget);
}

} // namespace

bool
AcceptReport(target_table& aTable, const core::agent_state& aState)
{
  agent_view& agent = aTable.mAgents[aState.mAgent.mName];
  const std::uint64_t incarnation = aState.mAgent.mIncarnation;
  if (std::find(agent.mEndedIncarnations.begin(),
                agent.mEndedIncarnations.end(),
                incarnation) != agent.mEndedIncarnations.end()) {
    return false;
  }
  if (agent.mIncarnation == incarnation) {
    if (aState.mTimestamp < agent.mTimestamp) {
      return false;
    }
  } else if (agent.mIncarnation != 0) {
    agent.mEndedIncarnations.push_back(agent.mIncarnation);
    if (agent.mEndedIncarnations.size() > kMaxEndedIncarnations) {
      agent.mEndedIncarnations.erase(agent.mEndedIncarnations.begin());
    }
  }
  agent.mIncarnation = incarnation;
  agent.mTimestamp = aState.mTimestamp;
  return true;
}

report_change
ApplyReport(target_table& aTable, const core::agent_state& aState)
{
  report_change change;
  std::vector<target_index> reported;
  for (const core::target_load& load : aState.mTargets) {
    const target_index index = FindOrAdd(aTable, load.mName);
    target_view& target = aTable.mTargets[index];
    if (IsHeldByOther(aTable, target, aState)) {
      continue;
    }
    reported.push_back(index);
    const bool wasKnown = target.mKnown;
    const bool changesLists = ChangesLists(target, aState, load);
    if (changesLists) {
      AddServices(aTable, target, change.mServices);
    }
    const std::uint32_t failures = target.mLoad.mConsecutiveFailures;
    CopyReport(aTable, target, aState, load);
    if (changesLists) {
      AddServices(aTable, target, change.mServices);
    }
    if (!wasKnown) {
      JoinRamp(aTable, index);
    }
    ApplyReportedFailures(aTable, index, failures);
  }
  agent_view& agent = aTable.mAgents[aState.mAgent.mName];
  const auto before = std::exchange(agent.mTargets, std::move(reported));
  for (const target_index index : before) {
    const bool isStillThere =
      std::find(agent.mTargets.begin(), agent.mTargets.end(), index) !=
      agent.mTargets.end();
    if (!isStillThere && aTable.mTargets[index].mAgent == aState.mAgent.mName) {
      Drop(aTable, index);
      change.mDropped = true;
    }
  }
  return change;
}

} // namespace gooseberry::target
