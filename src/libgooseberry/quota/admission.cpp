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
    return Refuse(aSettings, admission_reason::Room, wait / 2);
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
