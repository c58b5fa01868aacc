#include "libgooseberry/agent/admission.h"

#include <algorithm>
#include <optional>

namespace gooseberry::agent {

namespace {

using core::start_verdict;

constexpr admission kRepeat{ admission_action::Repeat,
                             start_verdict::Accepted };

admission
Refused(start_verdict aVerdict)
{
  return { admission_action::Refuse, aVerdict };
}

/** Returns whether the record belongs to a copy of this start. */
bool
IsSameStart(const task_record& aRecord, const core::task_start& aStart)
{
  const auto key = KeyOf(aStart);
  const auto& earlier = aRecord.mEarlierStarts;
  return KeyOf(aRecord.mStarted.mResult) == key ||
         std::find(earlier.begin(), earlier.end(), key) != earlier.end();
}

/** Returns the verdict implied by an earlier start of the task, if any. */
std::optional<admission>
DecideByRecord(const agent_control& aControl, const core::task_start& aStart)
{
  const auto* record = FindTask(aControl.mRecordStore, aStart.mTask);
  if (record == nullptr) {
    return std::nullopt;
  }
  if (IsSameStart(*record, aStart)) {
    return kRepeat;
  }
  const auto& result = record->mStarted.mResult;
  const bool hasFailed =
    record->mStarted.mState != core::record_state::Running &&
    (result.mEnd == core::task_end::Failed ||
     result.mEnd == core::task_end::Lost);
  if (hasFailed && aStart.mTry > result.mTry) {
    return std::nullopt;
  }
  if (hasFailed && aControl.mSettings.mLeasedRuns) {
    return std::nullopt; // Resubmitted through another entry.
  }
  const auto action = record->mStarted.mState == core::record_state::Running
                        ? admission_action::Repeat
                        : admission_action::Report;
  return admission{ action, start_verdict::AlreadyStarted };
}

/** Returns the verdict implied by a queued start of the task, if any. */
std::optional<admission>
DecideByQueue(const agent_control& aControl, const core::task_start& aStart)
{
  const auto target = aControl.mQueuedAt.find(aStart.mTask);
  if (target == aControl.mQueuedAt.end()) {
    return std::nullopt;
  }
  const auto* waiting =
    Find(aControl.mTargets.at(target->second).mQueue, aStart.mTask);
  const auto known = KeyOf(waiting->mStart);
  if (KeyOf(aStart) == known) {
    return kRepeat;
  }
  return KeyOf(aStart) < known ? std::optional(Refused(start_verdict::Stale))
                               : std::nullopt;
}

std::optional<admission>
DecideByHistory(const agent_control& aControl, const core::task_start& aStart)
{
  if (const auto verdict = FindRefusal(aControl.mRecordStore, KeyOf(aStart));
      verdict) {
    return Refused(*verdict);
  }
  if (const auto* job = FindJob(aControl.mRecordStore, aStart.mTask.mJob);
      job != nullptr && aStart.mBallot < job->mBallot &&
      !aControl.mSettings.mLeasedRuns) {
    return Refused(start_verdict::Fenced);
  }
  if (const auto byRecord = DecideByRecord(aControl, aStart); byRecord) {
    return byRecord;
  }
  return DecideByQueue(aControl, aStart);
}

/** Returns whether the task fits into the target's capacity beside the tasks
 * there and the slots held for other entries. */
bool
HasCapacity(const agent_target& aTarget,
            const core::task_start& aStart,
            std::string_view aEntryAddress,
            core::instant aNow)
{
  if (aTarget.mCapacity == core::resources{}) {
    return aTarget.mRunning +
             CountHeldForOthers(aTarget.mGrants, aEntryAddress, aNow) <
           aTarget.mSlots;
  }
  return core::Fits(UnavailableFor(aTarget, aEntryAddress, aNow) +
                      aStart.mNeeds,
                    aTarget.mCapacity);
}

bool
Serves(const agent_control& aControl,
       const agent_target& aTarget,
       const core::task_start& aStart)
{
  const auto service = aControl.mDesired.mServices.find(aStart.mService);
  return service != aControl.mDesired.mServices.end() &&
         std::find(aTarget.mServices.begin(),
                   aTarget.mServices.end(),
                   aStart.mService) != aTarget.mServices.end() &&
         configuration::MayServe(
           service->second, aStart.mTarget, aControl.mSettings.mFailureDomain);
}

/** Returns whether the start was sent before its entry cancelled the job. */
bool
IsCancelled(const agent_control& aControl,
            const core::start_batch& aBatch,
            const core::task_start& aStart)
{
  const auto* job = FindJob(aControl.mRecordStore, aStart.mTask.mJob);
  return job != nullptr && job->mCancelledBy != 0 &&
         job->mCancelledBy == aBatch.mEntry.mIncarnation &&
         aBatch.mAgentTimestamp <= job->mCancelledAt;
}

} // namespace

bool
IsOwnDomainIn(const agent_control& aControl)
{
  return configuration::IsDomainIn(aControl.mDesired,
                                   aControl.mSettings.mFailureDomain);
}

start_verdict
CheckEligibility(const agent_control& aControl,
                 const core::task_start& aStart,
                 core::instant aNow)
{
  if (!IsOwnDomainIn(aControl)) {
    return start_verdict::DomainOut;
  }
  if (aControl.mLeaving) {
    return start_verdict::Leaving;
  }
  const auto found = aControl.mTargets.find(aStart.mTarget);
  if (found == aControl.mTargets.end()) {
    return start_verdict::NoTarget;
  }
  const auto& target = found->second;
  if (target.mLeaving) {
    return start_verdict::Leaving;
  }
  if (target.mSuspect || target.mLeaseEnd <= aNow ||
      !IsLeaseReady(aControl, target, aNow) ||
      !Serves(aControl, target, aStart)) {
    return start_verdict::NoTarget;
  }
  return start_verdict::Accepted;
}

start_verdict
CheckStart(const agent_control& aControl,
           const core::task_start& aStart,
           core::instant aNow)
{
  const auto& settings = aControl.mSettings;
  return settings.mLeasedRuns ||
             IsFresh(aControl.mFreshness, aNow, settings.mFreshnessBound)
           ? CheckEligibility(aControl, aStart, aNow)
           : start_verdict::Stale;
}

core::resources
UnavailableFor(const agent_target& aTarget,
               std::string_view aEntryAddress,
               core::instant aNow)
{
  core::resources used = aTarget.mUsed;
  used.mCpu += CountHeldForOthers(aTarget.mGrants, aEntryAddress, aNow) *
               (aTarget.mCapacity.mCpu / std::max(aTarget.mSlots, 1U));
  return used;
}

/** Returns whether a copy of this placement was decided before. */
bool
IsDecided(const agent_control& aControl, const core::task_start& aStart)
{
  if (FindRefusal(aControl.mRecordStore, KeyOf(aStart))) {
    return true;
  }
  const auto* record = FindTask(aControl.mRecordStore, aStart.mTask);
  return record != nullptr && IsSameStart(*record, aStart);
}

/** Returns the refusal of a start under leases that is too late, if it is. */
std::optional<start_verdict>
CheckLateStart(const agent_control& aControl,
               const core::start_batch& aBatch,
               const core::task_start& aStart,
               core::instant aNow)
{
  const auto& settings = aControl.mSettings;
  if (!settings.mLeasedRuns || IsDecided(aControl, aStart)) {
    return std::nullopt;
  }
  if (IsCancelled(aControl, aBatch, aStart)) {
    return start_verdict::Cancelled;
  }
  const auto oldest =
    std::min(settings.mFreshnessBound, settings.mEntryContactTimeout);
  return IsTimestampFresh(aBatch.mAgentTimestamp, aNow, oldest)
           ? std::nullopt
           : std::optional(start_verdict::Stale);
}

admission
Decide(const agent_control& aControl,
       const core::start_batch& aBatch,
       const core::task_start& aStart,
       core::instant aNow)
{
  const auto& settings = aControl.mSettings;
  if (aBatch.mAgentIncarnation != settings.mAgent.mIncarnation) {
    return Refused(start_verdict::WrongIncarnation);
  }
  // Checked before the history: a late start must not take over a job.
  if (const auto late = CheckLateStart(aControl, aBatch, aStart, aNow)) {
    return Refused(*late);
  }
  if (const auto byHistory = DecideByHistory(aControl, aStart); byHistory) {
    return *byHistory;
  }
  if (aControl.mJoin.mPhase != join_phase::Open) {
    return Refused(start_verdict::NotOpen);
  }
  if (!IsTimestampFresh(
        aBatch.mAgentTimestamp, aNow, settings.mFreshnessBound)) {
    return Refused(start_verdict::Stale);
  }
  if (const auto verdict = CheckStart(aControl, aStart, aNow);
      verdict != start_verdict::Accepted) {
    return Refused(verdict);
  }
  const auto& target = aControl.mTargets.at(aStart.mTarget);
  if (target.mLeased &&
      !lease::MayStart(*target.mLeased, aBatch.mAgentTimestamp, aNow)) {
    return Refused(start_verdict::Stale);
  }
  if (HasCapacity(target, aStart, aBatch.mEntryAddress, aNow)) {
    return { admission_action::Start, start_verdict::Accepted };
  }
  if (aStart.mMayQueue &&
      target.mQueue.mTasks.size() < settings.mQueuePerTarget) {
    return { admission_action::Queue, start_verdict::Accepted };
  }
  return Refused(start_verdict::Busy);
}

} // namespace gooseberry::agent
