#include "libgooseberry/target/ejection.h"

#include "libgooseberry/target/capacity.h"

#include <algorithm>

namespace gooseberry::target {

namespace {

/** Numbers of a service's members in use, and of the ejected among them. */
struct use_count
{
  std::size_t mInUse = 0;
  std::size_t mEjected = 0;
};

use_count
CountUse(const target_table& aTable, const service_view& aService)
{
  use_count count;
  for (const target_index index : aService.mMembers) {
    const target_view& target = aTable.mTargets[index];
    if (IsInUse(target)) {
      ++count.mInUse;
      count.mEjected += target.mHealth.mEjected ? 1 : 0;
    }
  }
  return count;
}

bool
StaysWithinEjectedShare(const target_table& aTable, const target_view& aTarget)
{
  const auto staysWithinShare = [&](const membership& aMembership) {
    const auto count = CountUse(aTable, aTable.mServices[aMembership.mService]);
    return count.mEjected < MaxEjected(aTable.mSettings, count.mInUse);
  };
  return !aTarget.mMemberships.empty() &&
         std::all_of(aTarget.mMemberships.begin(),
                     aTarget.mMemberships.end(),
                     staysWithinShare);
}

void
TryEject(target_table& aTable, target_index aTarget)
{
  target_view& target = aTable.mTargets[aTarget];
  if (target.mHealth.mEjected || !IsInUse(target) ||
      !StaysWithinEjectedShare(aTable, target)) {
    return;
  }
  Eject(target.mHealth, aTable.mSettings, aTable.mNow);
  aTable.mEjected.push_back(aTarget);
  Refresh(aTable, aTarget);
}

void
ReturnToUse(target_table& aTable, target_index aTarget)
{
  target_view& target = aTable.mTargets[aTarget];
  const bool wasEjected = target.mHealth.mEjected;
  Reinstate(target.mHealth, target.mLoad.mConsecutiveFailures);
  if (wasEjected) {
    std::erase(aTable.mEjected, aTarget);
    StartRamp(aTable, aTarget, aTable.mNow);
    Refresh(aTable, aTarget);
  }
}

/** Reinstates targets whose failures are all of a kind that fails
 * everywhere. */
void
ReturnToUseForKind(target_table& aTable,
                   const kind_outcomes& aOutcomes,
                   std::uint64_t aKind)
{
  for (std::size_t i = 0; i < aOutcomes.mCount; ++i) {
    const target_index index = aOutcomes.mOutcomes[i].mTarget;
    const target_health& health = aTable.mTargets[index].mHealth;
    if (health.mOwnFailures > 0 && health.mKind == aKind) {
      ReturnToUse(aTable, index);
    }
  }
}

/** Returns whether any kind of the service fails everywhere. */
bool
HasFailingKind(const target_table& aTable, const service_view& aService)
{
  return std::any_of(
    aService.mKinds.begin(), aService.mKinds.end(), [&](const auto& aKind) {
      return FailsEverywhere(aKind.second.mOutcomes, aTable.mNow);
    });
}

/** Returns whether most of the other targets of the service report no
 * failures. */
bool
ArePeersHealthy(const target_table& aTable,
                const service_view& aService,
                target_index aTarget)
{
  std::size_t well = 0;
  std::size_t peers = 0;
  for (const target_index index : aService.mMembers) {
    const target_view& peer = aTable.mTargets[index];
    if (index == aTarget || !IsInUse(peer) || peer.mHealth.mEjected) {
      continue;
    }
    ++peers;
    well += peer.mLoad.mConsecutiveFailures == 0 ? 1 : 0;
  }
  return well * 2 > peers;
}

} // namespace

void
RecordSuccess(target_table& aTable, target_index aTarget)
{
  ReturnToUse(aTable, aTarget);
}

void
RecordFailure(target_table& aTable,
              target_index aTarget,
              const kind_outcomes& aOutcomes,
              std::uint64_t aKind)
{
  target_health& health = aTable.mTargets[aTarget].mHealth;
  if (health.mEjected) {
    if (aTable.mNow >= health.mProbeAt) {
      Eject(health, aTable.mSettings, aTable.mNow);
    }
    return;
  }
  if (FailsElsewhere(aOutcomes, aTarget, aTable.mNow)) {
    ReturnToUseForKind(aTable, aOutcomes, aKind);
    return;
  }
  CountFailure(health, aKind);
  if (health.mOwnFailures >= aTable.mSettings.mEjectAfterFailures) {
    TryEject(aTable, aTarget);
  }
}

void
ApplyReportedFailures(target_table& aTable,
                      target_index aTarget,
                      std::uint32_t aBefore)
{
  target_view& target = aTable.mTargets[aTarget];
  const std::uint32_t failures = target.mLoad.mConsecutiveFailures;
  const target_health& health = target.mHealth;
  const bool isUnprobed =
    health.mEjected && aTable.mNow - health.mProbeAt >= kMaxUnprobedTime;
  // Fewer failures: a task has succeeded there, perhaps of another entry.
  if (failures < aBefore || isUnprobed) {
    ReturnToUse(aTable, aTarget);
  }
  if (!UpdateSuspicion(
        target.mHealth, failures, aTable.mSettings, aTable.mNow)) {
    return;
  }
  const auto isOutlier = [&](const membership& aMembership) {
    const service_view& service = aTable.mServices[aMembership.mService];
    return ArePeersHealthy(aTable, service, aTarget) &&
           !HasFailingKind(aTable, service);
  };
  if (std::all_of(
        target.mMemberships.begin(), target.mMemberships.end(), isOutlier)) {
    TryEject(aTable, aTarget);
  }
}

void
EnforceEjectedShare(target_table& aTable)
{
  for (std::size_t s = 0; s < aTable.mServices.size(); ++s) {
    if (aTable.mEjected.empty()) {
      return;
    }
    auto count = CountUse(aTable, aTable.mServices[s]);
    std::vector<target_index> ejected;
    for (const target_index index : aTable.mServices[s].mMembers) {
      const target_view& target = aTable.mTargets[index];
      if (target.mHealth.mEjected && IsInUse(target)) {
        ejected.push_back(index);
      }
    }
    const auto lastProbedFirst = [&](target_index aLeft, target_index aRight) {
      return aTable.mTargets[aLeft].mHealth.mProbeAt >
             aTable.mTargets[aRight].mHealth.mProbeAt;
    };
    std::sort(ejected.begin(), ejected.end(), lastProbedFirst);
    while (count.mEjected > MaxEjected(aTable.mSettings, count.mInUse)) {
      ReturnToUse(aTable, ejected.back());
      ejected.pop_back();
      --count.mEjected;
    }
  }
}

bool
IsProbeDue(const target_table& aTable,
           const target_view& aTarget,
           core::instant aNow)
{
  return aTarget.mHealth.mEjected && aNow >= aTarget.mHealth.mProbeAt &&
         aTarget.mOwnOutstanding == 0 && IsInUse(aTarget) &&
         IsFresh(aTable, aTarget, aNow) &&
         UsedSlots(aTarget) < aTarget.mLoad.mSlots;
}

} // namespace gooseberry::target
