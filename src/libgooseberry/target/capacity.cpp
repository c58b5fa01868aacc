#include "libgooseberry/target/capacity.h"

#include <algorithm>
#include <utility>

namespace gooseberry::target {

namespace {

/** Interval of the checks for agents that stopped reporting. */
constexpr core::duration kSweepInterval = std::chrono::milliseconds(500);

/** Returns the time between two slow-start steps; 0 without a slow start. */
core::duration
StepTime(const placement_settings& aSettings)
{
  if (aSettings.mRampSteps < 2) {
    return core::duration::zero();
  }
  return aSettings.mRampTime / std::int64_t(aSettings.mRampSteps - 1);
}

/** Returns the completed slow-start steps, from 1 to `mRampSteps`. */
std::uint32_t
StepsMade(const target_table& aTable, core::instant aStart)
{
  const core::duration step = StepTime(aTable.mSettings);
  if (step <= core::duration::zero()) {
    return aTable.mSettings.mRampSteps;
  }
  const std::int64_t made = 1 + (aTable.mNow - aStart) / step;
  return static_cast<std::uint32_t>(
    std::min<std::int64_t>(made, aTable.mSettings.mRampSteps));
}

/** Removes the targets of agents without recent reports from the sets and
 * sums. */
void
SweepSilent(target_table& aTable)
{
  for (target_index index = 0; index < aTable.mTargets.size(); ++index) {
    const target_view& target = aTable.mTargets[index];
    if (target.mStartable && !IsFresh(aTable, target, aTable.mNow)) {
      Refresh(aTable, index);
    }
  }
}

/** Advances slow starts to the step that is due. */
void
StepRamps(target_table& aTable)
{
  aTable.mNextStepAt = core::instant::max();
  const core::duration step = StepTime(aTable.mSettings);
  std::vector<target_index> ramping;
  for (const target_index index : aTable.mRamping) {
    target_view& target = aTable.mTargets[index];
    const std::uint32_t made = StepsMade(aTable, *target.mRampStart);
    if (made < aTable.mSettings.mRampSteps) {
      ramping.push_back(index);
      aTable.mNextStepAt =
        std::min(aTable.mNextStepAt, *target.mRampStart + step * made);
    } else {
      target.mRampStart.reset();
    }
    Refresh(aTable, index);
  }
  aTable.mRamping = std::move(ramping);
}

/**
 * Returns how many tasks of the usual size fit into the free resources; at
 * least one while any CPU is free, as the next task may be small.
 */
std::uint32_t
FreeSlotsByResources(const target_view& aTarget, std::uint32_t aAllowed)
{
  const std::uint32_t slots = std::max(aTarget.mLoad.mSlots, 1U);
  const std::uint32_t each = std::max(aTarget.mLoad.mCapacity.mCpu / slots, 1U);
  const std::uint64_t withheld = std::uint64_t(each) * (slots - aAllowed);
  const std::uint64_t free = FreeResources(aTarget).mCpu;
  if (aAllowed == 0 || free <= withheld) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::max<std::uint64_t>((free - withheld) / each, 1));
}

} // namespace

bool
IsFresh(const target_table& aTable,
        const target_view& aTarget,
        core::instant aNow)
{
  return aNow - aTarget.mReportedAt <= aTable.mSettings.mAgentFreshness;
}

bool
IsInUse(const target_view& aTarget)
{
  return aTarget.mKnown && aTarget.mDomainIn && aTarget.mAgentOpen &&
         !aTarget.mLoad.mLeaving;
}

std::uint32_t
UsedSlots(const target_view& aTarget)
{
  const std::uint32_t reported = aTarget.mLoad.mRunning + aTarget.mLoad.mQueued;
  return std::max(reported + aTarget.mSentSinceReport, aTarget.mOwnOutstanding);
}

core::resources
FreeResources(const target_view& aTarget)
{
  core::resources available = aTarget.mLoad.mCapacity;
  available -= aTarget.mLoad.mUsed;
  available -= aTarget.mUnanswered;
  return available;
}

bool
HasCapacityFor(const target_view& aTarget, const core::resources& aNeeds)
{
  return aTarget.mLoad.mCapacity == core::resources{} ||
         core::Fits(aNeeds, FreeResources(aTarget));
}

std::uint32_t
AllowedSlots(const target_table& aTable, const target_view& aTarget)
{
  const std::uint32_t slots = aTarget.mLoad.mSlots;
  if (!aTarget.mRampStart) {
    return slots;
  }
  const std::uint64_t steps = aTable.mSettings.mRampSteps;
  const std::uint64_t made = StepsMade(aTable, *aTarget.mRampStart);
  return static_cast<std::uint32_t>((slots * made + steps - 1) / steps);
}

void
Refresh(target_table& aTable, target_index aTarget)
{
  target_view& target = aTable.mTargets[aTarget];
  target.mStartable = IsInUse(target) && !target.mHealth.mEjected &&
                      IsFresh(aTable, target, aTable.mNow);
  const std::uint32_t used = UsedSlots(target);
  const std::uint32_t allowed =
    target.mStartable ? AllowedSlots(aTable, target) : 0;
  target.mFree = allowed > used ? allowed - used : 0;
  if (target.mLoad.mCapacity.mCpu > 0) {
    target.mFree = FreeSlotsByResources(target, allowed);
  }
  target.mPrefetchable =
    target.mStartable && !target.mRampStart &&
    used < target.mLoad.mSlots + aTable.mSettings.mPrefetch;
  const std::uint32_t before = target.mCountedSlots;
  target.mCountedSlots = target.mStartable ? target.mLoad.mSlots : 0;
  for (const auto& [service, position] : target.mMemberships) {
    service_view& view = aTable.mServices[service];
    view.mSlots = view.mSlots - before + target.mCountedSlots;
    Assign(view.mStartable, position, target.mStartable);
    Assign(view.mFree, position, target.mFree > 0);
    Assign(view.mSeveralFree, position, target.mFree > 1);
    Assign(view.mPrefetchable, position, target.mPrefetchable);
  }
}

void
StartRamp(target_table& aTable, target_index aTarget, core::instant aStart)
{
  const core::duration step = StepTime(aTable.mSettings);
  if (step <= core::duration::zero()) {
    return;
  }
  target_view& target = aTable.mTargets[aTarget];
  if (!target.mRampStart) {
    aTable.mRamping.push_back(aTarget);
  }
  target.mRampStart = aStart;
  aTable.mNextStepAt = std::min(aTable.mNextStepAt, aStart + step);
}

void
AdvanceTo(target_table& aTable, core::instant aNow)
{
  aTable.mNow = std::max(aTable.mNow, aNow);
  if (aTable.mNow >= aTable.mNextStepAt) {
    StepRamps(aTable);
  }
  if (aTable.mNow >= aTable.mNextSweepAt) {
    SweepSilent(aTable);
    aTable.mNextSweepAt = aTable.mNow + kSweepInterval;
  }
}

} // namespace gooseberry::target
