#include "libgooseberry/target/placement.h"

#include "libgooseberry/target/capacity.h"
#include "libgooseberry/target/ejection.h"
#include "libgooseberry/target/members.h"
#include "libgooseberry/target/target_table.h"

#include <algorithm>
#include <array>
#include <optional>

namespace gooseberry::target {

namespace {

/** Targets compared for one task; bounds the cost in large installations. */
constexpr std::size_t kMaxWeighed = 16;
/** Targets up to this much slower than the fastest candidate count as equal. */
constexpr double kSpeedTolerance = 1.25;
/** Equal candidates, in order of preference, of which the one with the most
 * free slots is chosen. */
constexpr std::size_t kSpread = 4;

/** State of one placement decision. */
struct search
{
  target_table& mTable;
  service_view& mService;
  const placement_request& mRequest;
  core::instant mNow;
  core::duration mRunTime; ///< At the mean of all targets.
  bool mAvoids = false;    ///< Skip targets where earlier tries failed.
};

struct candidate
{
  target_index mTarget = 0;
  double mFactor = 1.0;
};

struct candidate_list
{
  std::array<candidate, kMaxWeighed> mCandidates;
  std::size_t mCount = 0;
};

core::duration
Scale(core::duration aDuration, double aFactor)
{
  return core::duration(static_cast<core::duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

bool
IsAvoided(const placement_request& aRequest, target_index aTarget)
{
  const auto* const avoid = aRequest.mAvoid;
  return avoid != nullptr &&
         std::find(avoid->begin(), avoid->end(), aTarget) != avoid->end();
}

/** Returns whether a startable target remains besides the avoided ones. */
bool
CanAvoid(const target_table& aTable,
         const service_view& aService,
         const placement_request& aRequest)
{
  if (aRequest.mAvoid == nullptr || aRequest.mAvoid->empty()) {
    return false;
  }
  return std::any_of(aService.mMembers.begin(),
                     aService.mMembers.end(),
                     [&](target_index aTarget) {
                       return aTable.mTargets[aTarget].mStartable &&
                              !IsAvoided(aRequest, aTarget);
                     });
}

/** Returns whether as many more tasks like this one fit as the request asks to
 * leave room for. */
bool
LeavesHeadroom(const target_view& aTarget, const placement_request& aRequest)
{
  if (aRequest.mHeadroom == 0) {
    return true;
  }
  if (aTarget.mLoad.mCapacity == core::resources{}) {
    return aTarget.mFree > aRequest.mHeadroom;
  }
  core::resources needs = aRequest.mNeeds;
  for (std::uint32_t i = 0; i < aRequest.mHeadroom; ++i) {
    needs += aRequest.mNeeds;
  }
  return core::Fits(needs, FreeResources(aTarget));
}

/** Returns whether the target may be chosen now. Removes it from the sets if
 * its last report is stale. */
bool
IsUsable(search& aSearch, target_index aTarget)
{
  if (!IsFresh(
        aSearch.mTable, aSearch.mTable.mTargets[aTarget], aSearch.mNow)) {
    Refresh(aSearch.mTable, aTarget);
    return false;
  }
  return HasCapacityFor(aSearch.mTable.mTargets[aTarget],
                        aSearch.mRequest.mNeeds) &&
         LeavesHeadroom(aSearch.mTable.mTargets[aTarget], aSearch.mRequest) &&
         (!aSearch.mAvoids || !IsAvoided(aSearch.mRequest, aTarget));
}

/** Returns the first usable targets of a set, in order from a position. */
candidate_list
Gather(search& aSearch, const position_set& aSet, std::size_t aStart)
{
  candidate_list list;
  const auto gather = [&](std::size_t aFrom, std::size_t aEnd) {
    std::size_t position = NextFrom(aSet, aFrom);
    while (position < aEnd && list.mCount < kMaxWeighed) {
      const target_index index = aSearch.mService.mMembers[position];
      if (IsUsable(aSearch, index)) {
        const auto& speed = aSearch.mTable.mTargets[index].mSpeed;
        list.mCandidates[list.mCount++] = { index,
                                            FactorAt(speed, aSearch.mNow) };
      }
      position = NextFrom(aSet, position + 1);
    }
  };
  gather(aStart, kNoPosition);
  gather(0, aStart);
  return list;
}

/** Returns the start position of a search: the most preferred target, or a
 * random one for an entry without preferences. */
std::size_t
StartOf(const search& aSearch, random_source& aRandom)
{
  return aSearch.mTable.mSettings.mAffinitySeed == 0
           ? aRandom() % aSearch.mService.mMembers.size()
           : 0;
}

std::optional<placement_choice>
ChooseFree(search& aSearch, const position_set& aSet, std::size_t aStart)
{
  const candidate_list list = Gather(aSearch, aSet, aStart);
  if (list.mCount == 0) {
    return std::nullopt;
  }
  const auto* const begin = list.mCandidates.data();
  const auto* const end = begin + list.mCount;
  const auto* const fastest = std::min_element(
    begin, end, [](const candidate& aLeft, const candidate& aRight) {
      return aLeft.mFactor < aRight.mFactor;
    });
  const double limit = fastest->mFactor * kSpeedTolerance;
  const candidate* best = nullptr;
  std::size_t equals = 0;
  for (const auto* current = begin; current != end && equals < kSpread;
       ++current) {
    if (current->mFactor > limit) {
      continue;
    }
    ++equals;
    if (best == nullptr || aSearch.mTable.mTargets[current->mTarget].mFree >
                             aSearch.mTable.mTargets[best->mTarget].mFree) {
      best = current;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return placement_choice{ best->mTarget,
                           placement_reason::FreeSlot,
                           Scale(aSearch.mRunTime, best->mFactor),
                           static_cast<std::uint32_t>(list.mCount) };
}

/** Returns the expected time until the target has a slot for another task. */
core::duration
ExpectedWait(const search& aSearch, const target_view& aTarget)
{
  const std::uint32_t used = UsedSlots(aTarget);
  const std::uint32_t slots = std::max(aTarget.mLoad.mSlots, 1U);
  if (used < slots) {
    return core::duration::zero();
  }
  const core::duration mean =
    Expected(aTarget.mRunTime, aSearch.mService.mRunTime, aSearch.mRunTime);
  return mean * std::int64_t(used - slots + 1) / std::int64_t(slots);
}

std::optional<placement_choice>
ChoosePrefetch(search& aSearch, std::size_t aStart)
{
  const candidate_list list =
    Gather(aSearch, aSearch.mService.mPrefetchable, aStart);
  std::optional<placement_choice> best;
  for (std::size_t i = 0; i < list.mCount; ++i) {
    const auto& [index, factor] = list.mCandidates[i];
    const core::duration finish =
      ExpectedWait(aSearch, aSearch.mTable.mTargets[index]) +
      Scale(aSearch.mRunTime, factor);
    if (!best || finish < best->mExpectedFinish) {
      best = placement_choice{ index,
                               placement_reason::Prefetch,
                               finish,
                               static_cast<std::uint32_t>(list.mCount) };
    }
  }
  return best;
}

std::optional<placement_choice>
ChooseProbe(search& aSearch)
{
  if (!aSearch.mRequest.mIdempotent) {
    return std::nullopt;
  }
  for (const target_index index : aSearch.mTable.mEjected) {
    const target_view& target = aSearch.mTable.mTargets[index];
    if (!IsProbeDue(aSearch.mTable, target, aSearch.mNow) ||
        IsAvoided(aSearch.mRequest, index)) {
      continue;
    }
    const auto& members = aSearch.mService.mMembers;
    if (std::find(members.begin(), members.end(), index) != members.end()) {
      const double factor = FactorAt(target.mSpeed, aSearch.mNow);
      return placement_choice{
        index, placement_reason::Probe, Scale(aSearch.mRunTime, factor), 1
      };
    }
  }
  return std::nullopt;
}

/** Returns whether this entry may send more to a target, regardless of its
 * reported load. */
bool
HasWindow(const search& aSearch, const target_view& aTarget)
{
  return aTarget.mOwnOutstanding <
         aTarget.mLoad.mSlots + aSearch.mTable.mSettings.mPrefetch;
}

std::optional<placement_choice>
ChooseRandom(search& aSearch, random_source& aRandom)
{
  const position_set& set = aSearch.mService.mStartable;
  for (std::uint32_t draw = 1; draw <= kMaxWeighed && set.mCount > 0; ++draw) {
    const std::size_t position = AtRank(set, aRandom() % set.mCount);
    const target_index index = aSearch.mService.mMembers[position];
    if (IsUsable(aSearch, index) &&
        HasWindow(aSearch, aSearch.mTable.mTargets[index])) {
      return placement_choice{
        index, placement_reason::Random, aSearch.mRunTime, draw
      };
    }
  }
  return std::nullopt;
}

/**
 * Returns the target of the job's previous task if many slots are free there,
 * so that one message carries both starts. With few free slots, each task is
 * placed on its own.
 */
std::optional<placement_choice>
ChoosePreferred(search& aSearch)
{
  constexpr std::uint32_t kFreeToShare = 4;
  if (!aSearch.mRequest.mPreferredTarget) {
    return std::nullopt;
  }
  const target_index index = *aSearch.mRequest.mPreferredTarget;
  const target_view& target = aSearch.mTable.mTargets[index];
  if (!target.mStartable || target.mFree < kFreeToShare ||
      !IsUsable(aSearch, index)) {
    return std::nullopt;
  }
  const double factor = FactorAt(target.mSpeed, aSearch.mNow);
  return placement_choice{
    index, placement_reason::Preferred, Scale(aSearch.mRunTime, factor), 1
  };
}

std::optional<placement_choice>
ChooseExpectedFinish(search& aSearch, random_source& aRandom)
{
  if (auto choice = ChoosePreferred(aSearch)) {
    return choice;
  }
  const std::size_t start = StartOf(aSearch, aRandom);
  if (auto choice = ChooseFree(aSearch, aSearch.mService.mSeveralFree, start)) {
    return choice;
  }
  if (auto choice = ChooseFree(aSearch, aSearch.mService.mFree, start)) {
    return choice;
  }
  return ChoosePrefetch(aSearch, start);
}

/** Returns whether any startable target has a recent report. */
bool
AnyStartable(search& aSearch)
{
  const position_set& set = aSearch.mService.mStartable;
  for (std::size_t position = NextFrom(set, 0); position != kNoPosition;
       position = NextFrom(set, position + 1)) {
    const target_index index = aSearch.mService.mMembers[position];
    if (IsFresh(aSearch.mTable, aSearch.mTable.mTargets[index], aSearch.mNow)) {
      return true;
    }
    Refresh(aSearch.mTable, index);
  }
  return false;
}

} // namespace

placement
Place(target_table& aTable,
      const placement_request& aRequest,
      random_source& aRandom,
      core::instant aNow)
{
  AdvanceTo(aTable, aNow);
  service_view* const service = FindService(aTable, aRequest.mService);
  if (service == nullptr || !service->mDeclared) {
    return placement_refusal::NoService;
  }
  if (service->mMembers.empty()) {
    return placement_refusal::NoTarget;
  }
  search search{ aTable,
                 *service,
                 aRequest,
                 aNow,
                 ExpectedRunTime(aTable,
                                 aRequest.mService,
                                 aRequest.mKind,
                                 aRequest.mDeclared),
                 CanAvoid(aTable, *service, aRequest) };
  std::optional<placement_choice> choice = ChooseProbe(search);
  if (!choice) {
    choice = aTable.mSettings.mPolicy == placement_policy::Random
               ? ChooseRandom(search, aRandom)
               : ChooseExpectedFinish(search, aRandom);
  }
  if (choice) {
    return *choice;
  }
  if (AnyStartable(search)) {
    return placement_refusal::NothingFree;
  }
  return HasKnownMember(aTable, *service) ? placement_refusal::NothingEligible
                                          : placement_refusal::NoTarget;
}

} // namespace gooseberry::target
