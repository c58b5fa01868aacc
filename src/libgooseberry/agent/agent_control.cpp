#include "libgooseberry/agent/agent_control.h"

#include "libgooseberry/agent/admission.h"
#include "libgooseberry/agent/leased_runs.h"
#include "libgooseberry/agent/target_run.h"
#include "libgooseberry/agent/upkeep.h"

#include <algorithm>
#include <utility>

namespace gooseberry::agent {

namespace {

void
LogAdmission(const core::start_batch& aBatch,
             const core::task_start& aStart,
             const admission& aAdmission,
             effects& aOut)
{
  log_event event;
  event.mEvent = agent_event::Admission;
  event.mTask = aStart.mTask;
  event.mTry = aStart.mTry;
  event.mPlacement = aStart.mPlacement;
  event.mVerdict = aAdmission.mVerdict;
  event.mRepeat = aAdmission.mAction == admission_action::Repeat ||
                  aAdmission.mAction == admission_action::Report;
  event.mQueued = aAdmission.mAction == admission_action::Queue;
  event.mTarget = aStart.mTarget;
  event.mPeer = aBatch.mEntry.mName;
  event.mGeneration = aBatch.mGeneration;
  aOut.emplace_back(std::move(event));
}

/** Returns a queued placement that a later placement of its task replaces. */
void
ReturnSuperseded(agent_control& aControl,
                 const core::task_start& aStart,
                 core::instant aNow,
                 effects& aOut)
{
  if (!aControl.mQueuedAt.contains(aStart.mTask)) {
    return;
  }
  const auto key = KeyOf(aStart);
  ReturnQueued(aControl,
               core::start_verdict::Fenced,
               aNow,
               aOut,
               [&](const queued_task& aTask) {
                 return aTask.mStart.mTask == aStart.mTask &&
                        KeyOf(aTask.mStart) < key;
               });
}

void
Refuse(agent_control& aControl,
       const core::task_start& aStart,
       core::start_verdict aVerdict,
       core::instant aNow)
{
  const auto key = KeyOf(aStart);
  // The refusal of an unacknowledged return has no expiry: it is kept longer.
  if (const auto known = aControl.mRecordStore.mRefusals.find(key);
      known != aControl.mRecordStore.mRefusals.end() &&
      !known->second.mExpiry) {
    return;
  }
  const auto retention = RefusalRetention(aControl.mSettings);
  RecordRefusal(aControl.mRecordStore, key, aVerdict, aNow + retention);
}

void
ApplyAdmission(agent_control& aControl,
               const core::start_batch& aBatch,
               const core::task_start& aStart,
               const admission& aAdmission,
               core::instant aNow,
               effects& aOut)
{
  if (aAdmission.mAction == admission_action::Refuse) {
    if (aAdmission.mVerdict != core::start_verdict::WrongIncarnation) {
      ReturnSuperseded(aControl, aStart, aNow, aOut);
      Refuse(aControl, aStart, aAdmission.mVerdict, aNow);
    }
    return;
  }
  const bool isCopy = aAdmission.mAction == admission_action::Repeat &&
                      aAdmission.mVerdict == core::start_verdict::Accepted;
  if (isCopy && aControl.mSettings.mLeasedRuns) {
    return; // Another entry may hold the job by now.
  }
  RaiseBallot(aControl,
              aStart.mTask.mJob,
              aStart.mBallot,
              { aBatch.mEntryAddress,
                aBatch.mEntry.mIncarnation,
                aBatch.mAgentTimestamp },
              aNow,
              aOut);
  ConfirmRunsOfJob(aControl, aStart.mTask.mJob);
  if (aControl.mSettings.mLeasedRuns &&
      aAdmission.mVerdict == core::start_verdict::AlreadyStarted) {
    RebindStart(aControl.mRecordStore, aStart);
  }
  ReturnSuperseded(aControl, aStart, aNow, aOut);
  switch (aAdmission.mAction) {
    case admission_action::Start:
      UseGrant(aControl.mTargets.at(aStart.mTarget).mGrants,
               aBatch.mEntryAddress);
      RunTask(aControl, aStart, aNow, aOut);
      break;
    case admission_action::Queue:
      Enqueue(aControl, aStart, aBatch.mEntryAddress);
      break;
    case admission_action::Report:
      QueueResult(aControl.mDelivery, aControl.mRecordStore, aStart.mTask);
      break;
    default:
      break;
  }
}

void
LogJob(agent_event aEvent,
       const std::string& aJob,
       const std::string& aPeer,
       effects& aOut)
{
  log_event event;
  event.mEvent = aEvent;
  event.mTask.mJob = aJob;
  event.mPeer = aPeer;
  aOut.emplace_back(std::move(event));
}

} // namespace

agent_control
MakeControl(control_settings aSettings)
{
  agent_control control;
  control.mSettings = std::move(aSettings);
  if (control.mSettings.mLeasedRuns) {
    control.mJoin.mPhase = join_phase::Open;
  }
  return control;
}

bool
IsLeaseReady(const agent_control& aControl,
             const agent_target& aTarget,
             core::instant aNow)
{
  return aTarget.mLeased ? lease::IsReady(*aTarget.mLeased, aNow)
                         : !aControl.mSettings.mLeasedRuns;
}

core::agent_state
StateOf(const agent_control& aControl,
        std::string_view aReceiver,
        core::instant aNow)
{
  const auto& settings = aControl.mSettings;
  core::agent_state state;
  state.mAgent = settings.mAgent;
  state.mAddress = settings.mAddress;
  state.mFailureDomain = settings.mFailureDomain;
  state.mRack = settings.mRack;
  state.mGeneration = aControl.mConfiguration.mGeneration;
  state.mDigest = aControl.mDigest;
  const std::string& asked = aControl.mSource.mAskedEntry;
  state.mReadsConfiguration =
    settings.mLeasedRuns && (asked.empty() || aReceiver != asked);
  state.mTimestamp = aNow;
  state.mJobsInDoubt = JobsInDoubt(aControl);
  state.mOpen = aControl.mJoin.mPhase == join_phase::Open;
  state.mLeaving = aControl.mLeaving;
  state.mTargets.reserve(aControl.mTargets.size());
  for (const auto& [name, target] : aControl.mTargets) {
    const bool isUnavailable = target.mLeaving || target.mSuspect ||
                               target.mLeaseEnd <= aNow ||
                               !IsLeaseReady(aControl, target, aNow);
    state.mTargets.push_back(
      { name,
        target.mServices,
        target.mSlots,
        target.mRunning + CountHeldForOthers(target.mGrants, aReceiver, aNow),
        static_cast<std::uint32_t>(target.mQueue.mTasks.size()),
        target.mConsecutiveFailures,
        isUnavailable,
        target.mCapacity,
        UnavailableFor(target, aReceiver, aNow) });
  }
  return state;
}

core::start_reply
OnStart(agent_control& aControl,
        const core::start_batch& aBatch,
        core::instant aNow,
        effects& aOut)
{
  core::start_reply reply;
  reply.mVerdicts.reserve(aBatch.mStarts.size());
  auto& entry = FindOrAddEntry(
    aControl.mEntries, aBatch.mEntry.mName, aBatch.mEntryAddress, aNow);
  entry.mLastSeen = aNow;
  entry.mBacklog = aBatch.mBacklog;
  entry.mBacklogPriority = aBatch.mBacklogPriority;
  entry.mBacklogAt = aNow;
  for (const auto& start : aBatch.mStarts) {
    const auto decided = Decide(aControl, aBatch, start, aNow);
    LogAdmission(aBatch, start, decided, aOut);
    ApplyAdmission(aControl, aBatch, start, decided, aNow, aOut);
    reply.mVerdicts.push_back(decided.mVerdict);
  }
  SendPending(aControl, aNow, aOut);
  reply.mState = StateOf(aControl, aBatch.mEntryAddress, aNow);
  return reply;
}

void
OnCancel(agent_control& aControl,
         const core::cancel_batch& aBatch,
         core::instant aNow,
         effects& aOut)
{
  for (const auto& job : aBatch.mJobs) {
    LogJob(agent_event::Cancel, job, aBatch.mEntry.mName, aOut);
  }
  ReturnQueued(
    aControl,
    core::start_verdict::Cancelled,
    aNow,
    aOut,
    [&](const queued_task& aTask) {
      return aTask.mStart.mBallot.mEntry == aBatch.mEntry.mIncarnation &&
             std::find(aBatch.mJobs.begin(),
                       aBatch.mJobs.end(),
                       aTask.mStart.mTask.mJob) != aBatch.mJobs.end();
    });
  CancelJobs(aControl,
             aBatch.mJobs,
             { aBatch.mEntryAddress, aBatch.mEntry.mIncarnation, {} },
             aNow,
             aOut);
  SendPending(aControl, aNow, aOut);
}

core::fence_reply
OnFence(agent_control& aControl,
        const core::fence_request& aRequest,
        core::instant aNow,
        effects& aOut)
{
  const auto* known = FindJob(aControl.mRecordStore, aRequest.mJob);
  const bool isRefused = known != nullptr && aRequest.mBallot < known->mBallot;
  if (!isRefused) {
    auto& job =
      RaiseBallot(aControl,
                  aRequest.mJob,
                  aRequest.mBallot,
                  { aRequest.mEntryAddress, aRequest.mEntry.mIncarnation, {} },
                  aNow,
                  aOut);
    job.mFenced = true;
  }
  LogJob(agent_event::Fence, aRequest.mJob, aRequest.mEntry.mName, aOut);
  const auto& job = aControl.mRecordStore.mJobs.at(aRequest.mJob);
  core::fence_reply reply;
  reply.mAgent = aControl.mSettings.mAgent;
  reply.mJob = aRequest.mJob;
  reply.mBallot = job.mBallot;
  reply.mHolder = job.mHolder.mAddress;
  for (const auto& [index, task] : job.mTasks) {
    reply.mStarted.push_back(task.mStarted);
  }
  SendPending(aControl, aNow, aOut);
  return reply;
}

core::copy_fences_reply
OnCopyFences(const agent_control& aControl)
{
  return { aControl.mSettings.mAgent,
           aControl.mJoin.mPhase == join_phase::Open,
           BallotPromises(aControl.mRecordStore) };
}

} // namespace gooseberry::agent
