#include "libgooseberry/target/target_table.h"

#include "libgooseberry/target/capacity.h"
#include "libgooseberry/target/ejection.h"
#include "libgooseberry/target/members.h"
#include "libgooseberry/target/report.h"

#include <algorithm>

namespace gooseberry::target {

namespace {

/** Kinds tracked per service; further kinds count only for the service. */
constexpr std::size_t kMaxKinds = 1024;

/** Capacity of a target, compared before and after a report. */
struct capacity
{
  std::uint32_t mFree = 0;
  bool mPrefetchable = false;
  bool mInUse = false;
};

capacity
CapacityOf(const target_table& aTable, target_index aTarget)
{
  const target_view& target = aTable.mTargets[aTarget];
  return { target.mFree, target.mPrefetchable, IsInUse(target) };
}

/** Records the failure domains that come back in with a new configuration. */
void
RecordDomainReturns(target_table& aTable,
                    const configuration::desired_state& aState)
{
  for (const auto& [name, domain] : aState.mFailureDomains) {
    if (domain.mState == configuration::domain_state::Out) {
      aTable.mDomainReturns.erase(name);
    } else if (aTable.mConfigured &&
               !configuration::IsDomainIn(aTable.mConfiguration, name)) {
      aTable.mDomainReturns.insert_or_assign(name, aTable.mNow);
    }
  }
}

/** Applies the rules; returns the services whose rule has changed. */
std::vector<std::uint32_t>
ApplyRules(target_table& aTable, const configuration::desired_state& aState)
{
  std::vector<std::uint32_t> changed;
  for (const auto& [name, rule] : aState.mServices) {
    const std::uint32_t index = ServiceIndex(aTable, name);
    service_view& service = aTable.mServices[index];
    if (!service.mDeclared || service.mRule != rule) {
      service.mDeclared = true;
      service.mRule = rule;
      changed.push_back(index);
    }
  }
  for (std::uint32_t index = 0; index < aTable.mServices.size(); ++index) {
    service_view& service = aTable.mServices[index];
    if (service.mDeclared && !aState.mServices.contains(service.mName)) {
      service.mDeclared = false;
      changed.push_back(index);
    }
  }
  return changed;
}

void
ApplyDomains(target_table& aTable)
{
  for (target_index index = 0; index < aTable.mTargets.size(); ++index) {
    target_view& target = aTable.mTargets[index];
    const bool wasIn = target.mDomainIn;
    target.mDomainIn =
      configuration::IsDomainIn(aTable.mConfiguration, target.mFailureDomain);
    const auto returned = aTable.mDomainReturns.find(target.mFailureDomain);
    if (target.mDomainIn && !wasIn && target.mKnown &&
        returned != aTable.mDomainReturns.end()) {
      StartRamp(aTable, index, returned->second);
    }
    Refresh(aTable, index);
  }
}

void
LearnRunTime(service_view& aService,
             kind_view* aKind,
             target_view& aTarget,
             core::duration aRunTime,
             core::duration aDeclared,
             core::instant aNow)
{
  const run_time_mean& mean =
    aKind != nullptr ? aKind->mRunTime : aService.mRunTime;
  Learn(aTarget.mSpeed, aRunTime, mean.mMean, aNow);
  Learn(aTarget.mRunTime, aRunTime);
  Learn(aService.mRunTime, aRunTime);
  if (aKind != nullptr) {
    Learn(aKind->mRunTime, aRunTime);
    if (aDeclared > core::duration::zero()) {
      Learn(aKind->mDeclared, aDeclared);
    }
  }
}

/** Returns the kind, added if it is new; null at the limit of kinds. */
kind_view*
KindOf(service_view& aService, std::string_view aKind)
{
  if (const auto found = aService.mKinds.find(aKind);
      found != aService.mKinds.end()) {
    return &found->second;
  }
  if (aService.mKinds.size() >= kMaxKinds) {
    return nullptr;
  }
  return &aService.mKinds.try_emplace(std::string(aKind)).first->second;
}

std::uint64_t
KindNumber(std::string_view aService, std::string_view aKind)
{
  const name_hash hash;
  return (hash(aService) * 0x9e3779b97f4a7c15ULL ^ hash(aKind)) | 1;
}

} // namespace

void
SetConfiguration(target_table& aTable,
                 const configuration::desired_state& aState,
                 core::instant aNow)
{
  AdvanceTo(aTable, aNow);
  RecordDomainReturns(aTable, aState);
  aTable.mConfiguration = aState;
  aTable.mConfigured = true;
  ApplyDomains(aTable);
  for (const std::uint32_t service : ApplyRules(aTable, aState)) {
    RebuildMembers(aTable, service);
  }
  EnforceEjectedShare(aTable);
}

std::vector<target_index>
Observe(target_table& aTable,
        const core::agent_state& aState,
        core::instant aNow)
{
  AdvanceTo(aTable, aNow);
  if (!AcceptReport(aTable, aState)) {
    return {};
  }
  std::vector<capacity> before;
  before.reserve(aState.mTargets.size());
  for (const core::target_load& load : aState.mTargets) {
    const auto known = Find(aTable, load.mName);
    before.push_back(known ? CapacityOf(aTable, *known) : capacity{});
  }
  const auto [services, dropped] = ApplyReport(aTable, aState);
  for (const std::uint32_t service : services) {
    RebuildMembers(aTable, service);
  }
  bool changesUse = dropped || !services.empty();
  std::vector<target_index> grown;
  for (std::size_t i = 0; i < aState.mTargets.size(); ++i) {
    const target_index index = *Find(aTable, aState.mTargets[i].mName);
    Refresh(aTable, index);
    const capacity now = CapacityOf(aTable, index);
    if (now.mFree > before[i].mFree ||
        (now.mPrefetchable && !before[i].mPrefetchable)) {
      grown.push_back(index);
    }
    changesUse = changesUse || now.mInUse != before[i].mInUse;
  }
  if (changesUse) {
    EnforceEjectedShare(aTable);
  }
  return grown;
}

void
MarkAgentUnavailable(target_table& aTable,
                     std::string_view aAgentName,
                     core::instant aNow)
{
  AdvanceTo(aTable, aNow);
  const auto agent = aTable.mAgents.find(aAgentName);
  if (agent == aTable.mAgents.end()) {
    return;
  }
  for (const target_index index : agent->second.mTargets) {
    target_view& target = aTable.mTargets[index];
    if (target.mAgent == aAgentName) {
      target.mAgentOpen = false;
      Refresh(aTable, index);
    }
  }
  EnforceEjectedShare(aTable);
}

void
Reserve(target_table& aTable, target_index aTarget)
{
  target_view& target = aTable.mTargets[aTarget];
  ++target.mOwnOutstanding;
  ++target.mSentSinceReport;
  Refresh(aTable, aTarget);
}

void
AddUnanswered(target_table& aTable,
              target_index aTarget,
              const core::resources& aNeeds)
{
  aTable.mTargets[aTarget].mUnanswered += aNeeds;
  Refresh(aTable, aTarget);
}

void
RemoveUnanswered(target_table& aTable,
                 target_index aTarget,
                 const core::resources& aNeeds)
{
  aTable.mTargets[aTarget].mUnanswered -= aNeeds;
  Refresh(aTable, aTarget);
}

void
MarkFull(target_table& aTable, target_index aTarget)
{
  target_view& target = aTable.mTargets[aTarget];
  target.mLoad.mRunning = std::max(target.mLoad.mRunning, target.mLoad.mSlots);
  target.mLoad.mUsed = target.mLoad.mCapacity;
  Refresh(aTable, aTarget);
}

void
Release(target_table& aTable, target_index aTarget)
{
  target_view& target = aTable.mTargets[aTarget];
  if (target.mOwnOutstanding > 0) {
    --target.mOwnOutstanding;
  }
  target.mSentSinceReport =
    std::min(target.mSentSinceReport, target.mOwnOutstanding);
  Refresh(aTable, aTarget);
}

void
RecordEnd(target_table& aTable,
          target_index aTarget,
          std::string_view aService,
          std::string_view aKind,
          core::task_end aEnd,
          core::duration aRunTime,
          core::instant aNow,
          core::duration aDeclared)
{
  AdvanceTo(aTable, aNow);
  service_view* const service = FindService(aTable, aService);
  const bool succeeded = aEnd == core::task_end::Succeeded;
  if (service == nullptr || (!succeeded && aEnd != core::task_end::Failed)) {
    return;
  }
  kind_view* const kind = KindOf(*service, aKind);
  if (kind != nullptr) {
    RecordOutcome(kind->mOutcomes, aTarget, !succeeded, aTable.mNow);
  }
  if (succeeded) {
    LearnRunTime(*service,
                 kind,
                 aTable.mTargets[aTarget],
                 aRunTime,
                 aDeclared,
                 aTable.mNow);
    RecordSuccess(aTable, aTarget);
  } else if (kind != nullptr) {
    RecordFailure(
      aTable, aTarget, kind->mOutcomes, KindNumber(aService, aKind));
  }
}

core::duration
ExpectedRunTime(const target_table& aTable,
                std::string_view aService,
                std::string_view aKind,
                core::duration aDeclared)
{
  const service_view* const service = FindService(aTable, aService);
  if (service == nullptr) {
    return Expected({}, {}, aDeclared);
  }
  const auto kind = service->mKinds.find(aKind);
  if (kind == service->mKinds.end()) {
    return Expected({}, service->mRunTime, aDeclared);
  }
  const core::duration usual =
    Expected(kind->second.mRunTime, service->mRunTime, aDeclared);
  return Adjust(usual, kind->second.mDeclared, aDeclared);
}

std::optional<target_index>
Find(const target_table& aTable, std::string_view aName)
{
  const auto found = aTable.mTargetByName.find(aName);
  if (found == aTable.mTargetByName.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::uint32_t
TotalSlots(const target_table& aTable, std::string_view aService)
{
  const service_view* const service = FindService(aTable, aService);
  return service != nullptr ? service->mSlots : 0;
}

std::uint32_t
FreeSlots(const target_table& aTable,
          std::string_view aService,
          core::instant aNow)
{
  const service_view* const service = FindService(aTable, aService);
  std::uint32_t free = 0;
  if (service == nullptr) {
    return free;
  }
  for (std::size_t position = NextFrom(service->mFree, 0);
       position != kNoPosition;
       position = NextFrom(service->mFree, position + 1)) {
    const target_view& target = aTable.mTargets[service->mMembers[position]];
    free += IsFresh(aTable, target, aNow) ? target.mFree : 0;
  }
  return free;
}

bool
CanEverRun(const target_table& aTable, std::string_view aService)
{
  const service_view* const service = FindService(aTable, aService);
  return service != nullptr && service->mDeclared &&
         HasKnownMember(aTable, *service);
}

std::optional<core::instant>
NextChange(const target_table& aTable)
{
  core::instant next = aTable.mNextStepAt;
  for (const target_index index : aTable.mEjected) {
    const target_view& target = aTable.mTargets[index];
    if (target.mOwnOutstanding == 0 && IsInUse(target)) {
      next = std::min(next, target.mHealth.mProbeAt);
    }
  }
  if (next == core::instant::max()) {
    return std::nullopt;
  }
  return next;
}

} // namespace gooseberry::target
