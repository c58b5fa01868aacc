#include "libgooseberryio/protocol/convert.h"

namespace gooseberry::io {
namespace {

template<typename Enum>
std::int8_t
EnumToWire(Enum aValue)
{
  return static_cast<std::int8_t>(aValue);
}

// Thrift has signed integers only: the bits are kept, and the reader of a
// field that only counts refuses a negative one.
std::int32_t
Bits(std::uint32_t aValue)
{
  return static_cast<std::int32_t>(aValue);
}

std::int64_t
Bits(std::uint64_t aValue)
{
  return static_cast<std::int64_t>(aValue);
}

wire::CopyReply
CopyReply(const core::peer_ref& aPeer,
          bool aOpen,
          const std::vector<core::ballot_promise>& aNotes)
{
  wire::CopyReply reply;
  reply.peer = ToWire(aPeer);
  reply.open = aOpen;
  reply.notes = ListToWire(aNotes);
  return reply;
}

} // namespace

wire::PeerRef
ToWire(const core::peer_ref& aPeer)
{
  wire::PeerRef peer;
  peer.name = aPeer.mName;
  peer.incarnation = Bits(aPeer.mIncarnation);
  return peer;
}

wire::Ballot
ToWire(const core::ballot& aBallot)
{
  wire::Ballot ballot;
  ballot.round = Bits(aBallot.mRound);
  ballot.entry = Bits(aBallot.mEntry);
  return ballot;
}

wire::Resources
ToWire(const core::resources& aResources)
{
  wire::Resources resources;
  resources.cpu = Bits(aResources.mCpu);
  resources.memory = Bits(aResources.mMemory);
  resources.accelerators = Bits(aResources.mAccelerators);
  return resources;
}

wire::TargetLoad
ToWire(const core::target_load& aLoad)
{
  wire::TargetLoad load;
  load.name = aLoad.mName;
  load.services = aLoad.mServices;
  load.slots = Bits(aLoad.mSlots);
  load.running = Bits(aLoad.mRunning);
  load.queued = Bits(aLoad.mQueued);
  load.consecutiveFailures = Bits(aLoad.mConsecutiveFailures);
  load.leaving = aLoad.mLeaving;
  load.capacity = ToWire(aLoad.mCapacity);
  load.used = ToWire(aLoad.mUsed);
  return load;
}

wire::AgentState
ToWire(const core::agent_state& aState)
{
  wire::AgentState state;
  state.agent = ToWire(aState.mAgent);
  state.address = aState.mAddress;
  state.failureDomain = aState.mFailureDomain;
  state.rack = aState.mRack;
  state.generation = Bits(aState.mGeneration);
  state.stamp = aState.mTimestamp.time_since_epoch().count();
  state.open = aState.mOpen;
  state.leaving = aState.mLeaving;
  state.targets = ListToWire(aState.mTargets);
  state.readsConfiguration = aState.mReadsConfiguration;
  state.configurationDigest = Bits(aState.mDigest);
  state.jobsInDoubt = aState.mJobsInDoubt;
  return state;
}

wire::VersionedConfiguration
ToWire(const core::versioned_configuration& aConfiguration)
{
  wire::VersionedConfiguration configuration;
  configuration.generation = Bits(aConfiguration.mGeneration);
  configuration.text = aConfiguration.mText;
  return configuration;
}

wire::TaskStart
ToWire(const core::task_start& aStart)
{
  wire::TaskStart start;
  start.job = aStart.mTask.mJob;
  start.index = Bits(aStart.mTask.mIndex);
  start.attempt = Bits(aStart.mTry);
  start.ballot = ToWire(aStart.mBallot);
  start.placement = Bits(aStart.mPlacement);
  start.serviceName = aStart.mService;
  start.kind = aStart.mKind;
  start.target = aStart.mTarget;
  start.payload = aStart.mPayload;
  start.priority = aStart.mPriority;
  start.mayQueue = aStart.mMayQueue;
  start.needs = ToWire(aStart.mNeeds);
  return start;
}

wire::StartBatch
ToWire(const core::start_batch& aBatch)
{
  wire::StartBatch batch;
  batch.entry = ToWire(aBatch.mEntry);
  batch.entryAddress = aBatch.mEntryAddress;
  batch.agentIncarnation = Bits(aBatch.mAgentIncarnation);
  batch.agentStamp = aBatch.mAgentTimestamp.time_since_epoch().count();
  batch.generation = Bits(aBatch.mGeneration);
  batch.backlog = aBatch.mBacklog;
  batch.backlogPriority = aBatch.mBacklogPriority;
  batch.starts = ListToWire(aBatch.mStarts);
  return batch;
}

wire::StartReply
ToWire(const core::start_reply& aReply)
{
  wire::StartReply reply;
  reply.state = ToWire(aReply.mState);
  reply.verdicts.reserve(aReply.mVerdicts.size());
  for (const auto verdict : aReply.mVerdicts) {
    reply.verdicts.push_back(EnumToWire(verdict));
  }
  return reply;
}

wire::TaskResult
ToWire(const core::task_result& aResult)
{
  wire::TaskResult result;
  result.job = aResult.mTask.mJob;
  result.index = Bits(aResult.mTask.mIndex);
  result.attempt = Bits(aResult.mTry);
  result.placement = Bits(aResult.mPlacement);
  result.ending = EnumToWire(aResult.mEnd);
  result.why = EnumToWire(aResult.mReturnReason);
  result.target = aResult.mTarget;
  result.kind = aResult.mKind;
  result.runTime = aResult.mRunTime.count();
  result.payload = aResult.mPayload;
  result.__set_ballot(ToWire(aResult.mBallot));
  return result;
}

wire::FinishBatch
ToWire(const core::finish_batch& aBatch)
{
  wire::FinishBatch batch;
  batch.state = ToWire(aBatch.mState);
  batch.results = ListToWire(aBatch.mResults);
  return batch;
}

wire::EntryReply
ToWire(const core::entry_reply& aReply)
{
  wire::EntryReply reply;
  reply.entry = ToWire(aReply.mEntry);
  reply.generation = Bits(aReply.mGeneration);
  if (aReply.mLastContactAge) {
    reply.__set_evidenceAge(aReply.mLastContactAge->count());
  }
  if (aReply.mConfiguration) {
    reply.__set_configuration(ToWire(*aReply.mConfiguration));
  }
  reply.entries = aReply.mEntries;
  reply.cancelled = aReply.mCancelled;
  reply.configurationDigest = Bits(aReply.mDigest);
  reply.confirmedGeneration = Bits(aReply.mConfirmedGeneration);
  return reply;
}

wire::CancelBatch
ToWire(const core::cancel_batch& aBatch)
{
  wire::CancelBatch batch;
  batch.entry = ToWire(aBatch.mEntry);
  batch.jobs = aBatch.mJobs;
  batch.entryAddress = aBatch.mEntryAddress;
  return batch;
}

wire::FenceRequest
ToWire(const core::fence_request& aRequest)
{
  wire::FenceRequest request;
  request.entry = ToWire(aRequest.mEntry);
  request.entryAddress = aRequest.mEntryAddress;
  request.job = aRequest.mJob;
  request.ballot = ToWire(aRequest.mBallot);
  return request;
}

wire::StartedTask
ToWire(const core::started_task& aTask)
{
  wire::StartedTask task;
  task.state = EnumToWire(aTask.mState);
  task.result = ToWire(aTask.mResult);
  return task;
}

wire::FenceReply
ToWire(const core::fence_reply& aReply)
{
  wire::FenceReply reply;
  reply.agent = ToWire(aReply.mAgent);
  reply.job = aReply.mJob;
  reply.ballot = ToWire(aReply.mBallot);
  reply.holder = aReply.mHolder;
  reply.started = ListToWire(aReply.mStarted);
  return reply;
}

wire::FenceNote
ToWire(const core::ballot_promise& aPromise)
{
  wire::FenceNote note;
  note.job = aPromise.mJob;
  note.ballot = ToWire(aPromise.mBallot);
  note.holder = aPromise.mHolder;
  return note;
}

wire::CopyReply
ToWire(const core::copy_fences_reply& aReply)
{
  return CopyReply(aReply.mAgent, aReply.mOpen, aReply.mPromises);
}

wire::CopyReply
ToWire(const core::copy_promises_reply& aReply)
{
  return CopyReply(aReply.mEntry, aReply.mOpen, aReply.mPromises);
}

wire::LocateRequest
ToWire(const core::locate_request& aRequest)
{
  wire::LocateRequest request;
  request.entry = ToWire(aRequest.mEntry);
  request.entryAddress = aRequest.mEntryAddress;
  request.job = aRequest.mJob;
  request.contentHash = Bits(aRequest.mContentHash);
  request.ballot = ToWire(aRequest.mBallot);
  return request;
}

wire::LocateReply
ToWire(const core::locate_reply& aReply)
{
  wire::LocateReply reply;
  reply.entry = ToWire(aReply.mEntry);
  reply.job = aReply.mJob;
  reply.verdict = EnumToWire(aReply.mVerdict);
  reply.ballot = ToWire(aReply.mBallot);
  reply.holder = aReply.mHolder;
  return reply;
}

wire::Heartbeat
ToWire(const core::heartbeat& aBeat)
{
  wire::Heartbeat beat;
  beat.entry = ToWire(aBeat.mEntry);
  beat.address = aBeat.mAddress;
  beat.generation = Bits(aBeat.mGeneration);
  for (const auto& [name, use] : aBeat.mTeams) {
    auto& team = beat.teams[name];
    team.running = Bits(use.mRunning);
    team.waiting = Bits(use.mWaiting);
  }
  if (aBeat.mConfiguration) {
    beat.__set_configuration(ToWire(*aBeat.mConfiguration));
  }
  beat.leaving = aBeat.mLeaving;
  beat.busy = aBeat.mBusy;
  beat.failureDomain = aBeat.mFailureDomain;
  beat.millicores = Bits(aBeat.mMillicores);
  beat.readsConfiguration = aBeat.mReadsConfiguration;
  beat.configurationDigest = Bits(aBeat.mDigest);
  if (aBeat.mJobsPerSecond) {
    beat.__set_jobsPerSecond(*aBeat.mJobsPerSecond);
  }
  if (aBeat.mEvidenceAge) {
    beat.__set_evidenceAge(aBeat.mEvidenceAge->count());
  }
  beat.confirmedGeneration = Bits(aBeat.mConfirmedGeneration);
  for (const auto& [name, generation] : aBeat.mAgents) {
    beat.agents[name] = Bits(generation);
  }
  return beat;
}

wire::JobAnswer
ToWire(const core::job_answer& aAnswer)
{
  wire::JobAnswer answer;
  answer.job = aAnswer.mJob;
  answer.outcome = EnumToWire(aAnswer.mOutcome);
  answer.results = aAnswer.mResults;
  answer.reason = aAnswer.mReason;
  answer.step = aAnswer.mStep;
  answer.peer = aAnswer.mPeer;
  if (aAnswer.mRetryAfter) {
    answer.__set_retryAfter(aAnswer.mRetryAfter->count());
  }
  answer.status = Bits(aAnswer.mStatus);
  return answer;
}

wire::DeliverRequest
ToWire(const core::deliver_request& aRequest)
{
  wire::DeliverRequest request;
  request.entry = ToWire(aRequest.mEntry);
  request.answers = ListToWire(aRequest.mAnswers);
  return request;
}

} // namespace gooseberry::io
