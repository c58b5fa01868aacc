#include "libgooseberry/target/members.h"

#include "libgooseberry/target/capacity.h"

#include <algorithm>

namespace gooseberry::target {

namespace {

/** Finaliser of splitmix64: spreads any change over all bits. */
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

/** Returns whether the target stays a member. One that is no longer reported
 * stays for `kTargetRetention`, as it may come back. */
bool
IsListed(const target_table& aTable, const target_view& aTarget)
{
  return aTarget.mKnown ||
         aTable.mNow - aTarget.mReportedAt <= kTargetRetention;
}

bool
IsMember(const service_view& aService, const target_view& aTarget)
{
  if (!aService.mDeclared || aTarget.mExpired) {
    return false;
  }
  const auto& offered = aTarget.mLoad.mServices;
  if (std::find(offered.begin(), offered.end(), aService.mName) ==
      offered.end()) {
    return false;
  }
  return configuration::MayServe(
    aService.mRule, aTarget.mName, aTarget.mFailureDomain);
}

void
DropMembership(target_view& aTarget, std::uint32_t aService)
{
  std::erase_if(aTarget.mMemberships, [&](const membership& aMembership) {
    return aMembership.mService == aService;
  });
}

void
SortByAffinity(const target_table& aTable, std::vector<target_index>& aMembers)
{
  const auto& targets = aTable.mTargets;
  std::sort(aMembers.begin(),
            aMembers.end(),
            [&](target_index aLeft, target_index aRight) {
              const auto left = targets[aLeft].mAffinity;
              const auto right = targets[aRight].mAffinity;
              return left != right ? left < right : aLeft < aRight;
            });
}

} // namespace

std::uint64_t
AffinityOf(std::uint64_t aSeed, std::string_view aTarget)
{
  std::uint64_t hash = Mix(aSeed + 0x9e3779b97f4a7c15ULL);
  for (const char letter : aTarget) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
  }
  return Mix(hash);
}

std::uint32_t
ServiceIndex(target_table& aTable, std::string_view aName)
{
  const auto next = static_cast<std::uint32_t>(aTable.mServices.size());
  const auto [found, isNew] =
    aTable.mServiceByName.try_emplace(std::string(aName), next);
  if (isNew) {
    aTable.mServices.emplace_back().mName = aName;
  }
  return found->second;
}

service_view*
FindService(target_table& aTable, std::string_view aName)
{
  const auto found = aTable.mServiceByName.find(aName);
  return found == aTable.mServiceByName.end()
           ? nullptr
           : &aTable.mServices[found->second];
}

const service_view*
FindService(const target_table& aTable, std::string_view aName)
{
  const auto found = aTable.mServiceByName.find(aName);
  return found == aTable.mServiceByName.end()
           ? nullptr
           : &aTable.mServices[found->second];
}

bool
HasKnownMember(const target_table& aTable, const service_view& aService)
{
  return std::any_of(aService.mMembers.begin(),
                     aService.mMembers.end(),
                     [&](target_index aTarget) {
                       const auto lastReport =
                         aTable.mTargets[aTarget].mReportedAt;
                       return aTable.mNow - lastReport <= kTargetRetention;
                     });
}

void
RebuildMembers(target_table& aTable, std::uint32_t aService)
{
  service_view& service = aTable.mServices[aService];
  for (const target_index index : service.mMembers) {
    DropMembership(aTable.mTargets[index], aService);
  }
  service.mMembers.clear();
  service.mSlots = 0;
  for (target_index index = 0; index < aTable.mTargets.size(); ++index) {
    target_view& target = aTable.mTargets[index];
    target.mExpired = !IsListed(aTable, target);
    if (IsMember(service, target)) {
      service.mMembers.push_back(index);
    }
  }
  SortByAffinity(aTable, service.mMembers);
  const std::size_t size = service.mMembers.size();
  Reset(service.mStartable, size);
  Reset(service.mFree, size);
  Reset(service.mSeveralFree, size);
  Reset(service.mPrefetchable, size);
  for (std::uint32_t position = 0; position < size; ++position) {
    const target_index index = service.mMembers[position];
    target_view& target = aTable.mTargets[index];
    target.mMemberships.push_back({ aService, position });
    service.mSlots += target.mCountedSlots;
    Refresh(aTable, index);
  }
}

} // namespace gooseberry::target
