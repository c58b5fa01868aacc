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

/** Of the slots, left to a job however much arrives that matters more. */
constexpr double kLeastShare = 0.1;

/** Part of the longest wait up to which a job is taken in: run times differ
 * from what is expected, and urgent jobs that come later go first. At the whole
 * of it, all jobs of an overload end a little late. */
constexpr double kSafeWait = 0.5;

core::duration
Scale(core::duration aTime, double aFactor)
{
  return core::duration(static_cast<core::duration::rep>(
    static_cast<double>(aTime.count()) * aFactor));
}

/** Time in which so many slots do the work. */
core::duration
TimeToDo(core::duration aWork, double aSlots)
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
                 core::duration aOwn)
{
  const objective_request& objective = *aRequest.mObjective;
  const core::duration before = aRequest.mWork - aRequest.mLongestTask;
  if (objective.mFreeSlots >= aRequest.mTasks + aRequest.mWaitingTasks) {
    return admitted{ core::duration::zero(), aOwn };
  }
  const double slots = std::max(aRequest.mSlots, 1U);
  const double left =
    std::max(slots - objective.mHigherPriorityLoad, slots * kLeastShare);
  const core::duration wait = TimeToDo(aRequest.mWorkAhead + before, left);
  if (wait <= Scale(objective.mLongestWait, kSafeWait)) {
    return admitted{ wait, wait + aRequest.mLongestTask };
  }
  const core::duration late =
    TimeToDo(objective.mWaitingWork + before, slots - objective.mTotalLoad);
  if (late <= objective.mLongestUsefulWait) {
    return admitted{ late, late + aRequest.mLongestTask };
  }
  return Refuse(
    aSettings, admission_reason::Late, wait - objective.mLongestWait);
}

} // namespace

admission_decision
Admit(const admission_settings& aSettings, const admission_request& aRequest)
{
  // With no slot in sight a little may still wait for one to come back.
  const std::int64_t slots = std::max(aRequest.mSlots, 1U);
  const core::duration wait = aRequest.mWorkAhead / slots;
  const core::duration own =
    std::max(aRequest.mLongestTask, aRequest.mWork / slots);
  const bool isIdle = aRequest.mWaitingTasks == 0 &&
                      aRequest.mWorkAhead <= core::duration::zero();
  if (isIdle) {
    return admitted{ core::duration::zero(), own };
  }
  if (aRequest.mWaitingTasks > 0 &&
      aRequest.mWaitingTasks + aRequest.mTasks > aSettings.mMaxWaitingTasks) {
    return Refuse(aSettings, admission_reason::QueueFull, wait / 2);
  }
  if (aRequest.mObjective) {
    return AdmitByObjective(aSettings, aRequest, own);
  }
  if (wait > aSettings.mMaxWait) {
    return Refuse(aSettings, admission_reason::Wait, wait - aSettings.mMaxWait);
  }
  if (const auto& deadline = aRequest.mDeadline;
      deadline && own <= *deadline && wait + own > *deadline) {
    return Refuse(
      aSettings, admission_reason::Deadline, wait + own - *deadline);
  }
  return admitted{ wait, wait + own };
}

} // namespace gooseberry::quota
