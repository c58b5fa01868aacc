#include "libgooseberry/quota/admission.h"

#include <algorithm>

namespace gooseberry::quota {

namespace {

refused
Refuse(const admission_settings& aSettings,
       admission_reason aReason,
       core::duration aExcess)
{
  return { aReason, std::max(aExcess, aSettings.mMinRetryAfter) };
}

/**
 * Smallest share of the slots available to a job, however many more urgent jobs
 * arrive.
 */
constexpr double kMinSlotShare = 0.1;

/**
 * Share of the longest wait up to which a job is admitted. Run times differ
 * from their expected values, and urgent jobs that come later go first. With
 * the full wait, all jobs of an overload end a little late.
 */
constexpr double kSafeWaitShare = 0.5;

core::duration
Scale(core::duration aTime, double aFactor)
{
  return core::duration(static_cast<core::duration::rep>(
    static_cast<double>(aTime.count()) * aFactor));
}

/** Returns the time in which this many slots process the work. */
core::duration
ProcessingTime(core::duration aWork, double aSlots)
{
  constexpr core::duration kNever = std::chrono::hours(1);
  if (aSlots <= 0) {
    return aWork > core::duration::zero() ? kNever : core::duration::zero();
  }
  const double time = static_cast<double>(aWork.count()) / aSlots;
  return time < static_cast<double>(kNever.count())
           ? core::duration(static_cast<core::duration::rep>(time))
           : kNever;
}

admission_decision
AdmitByObjective(const admission_settings& aSettings,
                 const admission_request& aRequest,
                 core::duration aOwnTime)
{
  const objective_request& objective = *aRequest.mObjective;
  const core::duration workBeforeLastTask =
    aRequest.mWork - aRequest.mLongestTask;
  if (objective.mFreeSlots >= aRequest.mTasks + aRequest.mWaitingTasks) {
    return admitted{ core::duration::zero(), aOwnTime };
  }
  const double slots = std::max(aRequest.mSlots, 1U);
  const double availableSlots =
    std::max(slots - objective.mHigherPriorityLoad, slots * kMinSlotShare);
  const core::duration wait =
    ProcessingTime(aRequest.mWorkAhead + workBeforeLastTask, availableSlots);
  if (wait <= Scale(objective.mLongestWait, kSafeWaitShare)) {
    return admitted{ wait, wait + aRequest.mLongestTask };
  }
  const core::duration lateWait = ProcessingTime(
    objective.mWaitingWork + workBeforeLastTask, slots - objective.mTotalLoad);
  if (lateWait <= objective.mLongestUsefulWait) {
    return admitted{ lateWait, lateWait + aRequest.mLongestTask };
  }
  return Refuse(
    aSettings, admission_reason::Late, wait - objective.mLongestWait);
}

} // namespace

admission_decision
Admit(const admission_settings& aSettings, const admission_request& aRequest)
{
  // With no slots available, a little work may still wait for a slot to return.
  const std::int64_t slots = std::max(aRequest.mSlots, 1U);
  const core::duration wait = aRequest.mWorkAhead / slots;
  const core::duration ownTime =
    std::max(aRequest.mLongestTask, aRequest.mWork / slots);
  const bool isIdle = aRequest.mWaitingTasks == 0 &&
                      aRequest.mWorkAhead <= core::duration::zero();
  if (isIdle) {
    return admitted{ core::duration::zero(), ownTime };
  }
  if (aRequest.mWaitingTasks > 0 &&
      aRequest.mWaitingTasks + aRequest.mTasks > aSettings.mMaxWaitingTasks) {
    return Refuse(aSettings, admission_reason::QueueFull, wait / 2);
  }
  if (aRequest.mObjective) {
    return AdmitByObjective(aSettings, aRequest, ownTime);
  }
  if (wait > aSettings.mMaxWait) {
    return Refuse(aSettings, admission_reason::Wait, wait - aSettings.mMaxWait);
  }
  if (const auto& deadline = aRequest.mDeadline;
      deadline && ownTime <= *deadline && wait + ownTime > *deadline) {
    return Refuse(
      aSettings, admission_reason::Deadline, wait + ownTime - *deadline);
  }
  return admitted{ wait, wait + ownTime };
}

} // namespace gooseberry::quota
