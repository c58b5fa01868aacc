#include "libgooseberryio/protocol/convert.h"

namespace gooseberry::io {
namespace {

/** A value of the enumeration that `aNames` lists, or an exception. */
template<typename Enum, std::size_t Count>
Enum
EnumFromWire(std::int8_t aValue,
             const core::enum_names<Enum, Count>& /* aNames */,
             const char* aField)
{
  if (aValue < 0 || static_cast<std::size_t>(aValue) >= Count) {
    throw wire_value_error(aField);
  }
  return static_cast<Enum>(aValue);
}

std::uint32_t
Count(std::int32_t aValue, const char* aField)
{
  if (aValue < 0) {
    throw wire_value_error(aField);
  }
  return static_cast<std::uint32_t>(aValue);
}

/** Bound of times in microseconds: sums of a few of them do not overflow. */
constexpr std::int64_t kMaxMicroseconds = std::int64_t{ 1 } << 53;

core::duration
Duration(std::int64_t aValue, const char* aField)
{
  if (aValue < 0 || aValue > kMaxMicroseconds) {
    throw wire_value_error(aField);
  }
  return core::duration(aValue);
}

core::instant
Instant(std::int64_t aValue, const char* aField)
{
  if (aValue < -kMaxMicroseconds || aValue > kMaxMicroseconds) {
    throw wire_value_error(aField);
  }
  return core::instant(core::duration(aValue));
}

/** An incarnation or hash: any 64 bits. */
std::uint64_t
Bits(std::int64_t aValue)
{
  return static_cast<std::uint64_t>(aValue);
}

} // namespace

core::generation
GenerationFromWire(std::int64_t aGeneration)
{
  if (aGeneration < 0) {
    throw wire_value_error("generation");
  }
  return static_cast<core::generation>(aGeneration);
}

core::peer_ref
FromWire(const wire::PeerRef& aPeer)
{
  return { .mName = aPeer.name, .mIncarnation = Bits(aPeer.incarnation) };
}

core::ballot
FromWire(const wire::Ballot& aBallot)
{
  return { .mRound = Count(aBallot.round, "ballot round"),
           .mEntry = Bits(aBallot.entry) };
}

core::resources
FromWire(const wire::Resources& aResources)
{
  return { .mCpu = Count(aResources.cpu, "cpu"),
           .mMemory = Count(aResources.memory, "memory"),
           .mAccelerators = Count(aResources.accelerators, "accelerators") };
}

core::target_load
FromWire(const wire::TargetLoad& aLoad)
{
  return { .mName = aLoad.name,
           .mServices = aLoad.services,
           .mSlots = Count(aLoad.slots, "slots"),
           .mRunning = Count(aLoad.running, "running"),
           .mQueued = Count(aLoad.queued, "queued"),
           .mConsecutiveFailures =
             Count(aLoad.consecutiveFailures, "consecutive failures"),
           .mLeaving = aLoad.leaving,
           .mCapacity = FromWire(aLoad.capacity),
           .mUsed = FromWire(aLoad.used) };
}

core::agent_state
FromWire(const wire::AgentState& aState)
{
  return { .mAgent = FromWire(aState.agent),
           .mAddress = aState.address,
           .mFailureDomain = aState.failureDomain,
           .mRack = aState.rack,
           .mGeneration = GenerationFromWire(aState.generation),
           .mTimestamp = Instant(aState.stamp, "stamp"),
           .mOpen = aState.open,
           .mLeaving = aState.leaving,
           .mTargets = ListFromWire(aState.targets),
           .mReadsConfiguration = aState.readsConfiguration,
           .mDigest = static_cast<std::uint64_t>(aState.configurationDigest),
           .mJobsInDoubt = aState.jobsInDoubt };
}

core::versioned_configuration
FromWire(const wire::VersionedConfiguration& aConfiguration)
{
  return { .mGeneration = GenerationFromWire(aConfiguration.generation),
           .mText = aConfiguration.text };
}

core::task_start
FromWire(const wire::TaskStart& aStart)
{
  return { .mTask = { .mJob = aStart.job,
                      .mIndex = Count(aStart.index, "index") },
           .mTry = Count(aStart.attempt, "try"),
           .mBallot = FromWire(aStart.ballot),
           .mPlacement = Count(aStart.placement, "placement"),
           .mService = aStart.serviceName,
           .mKind = aStart.kind,
           .mTarget = aStart.target,
           .mPayload = aStart.payload,
           .mPriority = aStart.priority,
           .mMayQueue = aStart.mayQueue,
           .mNeeds = FromWire(aStart.needs) };
}

core::start_batch
FromWire(const wire::StartBatch& aBatch)
{
  return { .mEntry = FromWire(aBatch.entry),
           .mEntryAddress = aBatch.entryAddress,
           .mAgentIncarnation = Bits(aBatch.agentIncarnation),
           .mAgentTimestamp = Instant(aBatch.agentStamp, "agent stamp"),
           .mGeneration = GenerationFromWire(aBatch.generation),
           .mBacklog = aBatch.backlog,
           .mBacklogPriority = aBatch.backlogPriority,
           .mStarts = ListFromWire(aBatch.starts) };
}

core::start_reply
FromWire(const wire::StartReply& aReply)
{
  core::start_reply reply{ .mState = FromWire(aReply.state), .mVerdicts = {} };
  reply.mVerdicts.reserve(aReply.verdicts.size());
  for (const auto verdict : aReply.verdicts) {
    reply.mVerdicts.push_back(
      EnumFromWire(verdict, core::kStartVerdictNames, "verdict"));
  }
  return reply;
}

core::task_result
FromWire(const wire::TaskResult& aResult)
{
  return {
    .mTask = { .mJob = aResult.job, .mIndex = Count(aResult.index, "index") },
    .mTry = Count(aResult.attempt, "try"),
    .mBallot =
      aResult.__isset.ballot ? FromWire(aResult.ballot) : core::ballot{},
    .mPlacement = Count(aResult.placement, "placement"),
    .mEnd = EnumFromWire(aResult.ending, core::kTaskEndNames, "end"),
    .mReturnReason = EnumFromWire(aResult.why, core::kStartVerdictNames, "why"),
    .mTarget = aResult.target,
    .mKind = aResult.kind,
    .mRunTime = Duration(aResult.runTime, "run time"),
    .mPayload = aResult.payload
  };
}

core::finish_batch
FromWire(const wire::FinishBatch& aBatch)
{
  return { .mState = FromWire(aBatch.state),
           .mResults = ListFromWire(aBatch.results) };
}

core::entry_reply
FromWire(const wire::EntryReply& aReply)
{
  core::entry_reply reply;
  reply.mEntry = FromWire(aReply.entry);
  reply.mGeneration = GenerationFromWire(aReply.generation);
  if (aReply.__isset.evidenceAge) {
    reply.mLastContactAge = Duration(aReply.evidenceAge, "evidence age");
  }
  if (aReply.__isset.configuration) {
    reply.mConfiguration = FromWire(aReply.configuration);
  }
  reply.mEntries = aReply.entries;
  reply.mCancelled = aReply.cancelled;
  reply.mDigest = static_cast<std::uint64_t>(aReply.configurationDigest);
  reply.mConfirmedGeneration = GenerationFromWire(aReply.confirmedGeneration);
  return reply;
}

core::cancel_batch
FromWire(const wire::CancelBatch& aBatch)
{
  return { .mEntry = FromWire(aBatch.entry),
           .mJobs = aBatch.jobs,
           .mEntryAddress = aBatch.entryAddress };
}

core::fence_request
FromWire(const wire::FenceRequest& aRequest)
{
  return { .mEntry = FromWire(aRequest.entry),
           .mEntryAddress = aRequest.entryAddress,
           .mJob = aRequest.job,
           .mBallot = FromWire(aRequest.ballot) };
}

core::started_task
FromWire(const wire::StartedTask& aTask)
{
  return { .mState =
             EnumFromWire(aTask.state, core::kRecordStateNames, "record state"),
           .mResult = FromWire(aTask.result) };
}

core::fence_reply
FromWire(const wire::FenceReply& aReply)
{
  return { .mAgent = FromWire(aReply.agent),
           .mJob = aReply.job,
           .mBallot = FromWire(aReply.ballot),
           .mHolder = aReply.holder,
           .mStarted = ListFromWire(aReply.started) };
}

core::ballot_promise
FromWire(const wire::FenceNote& aPromise)
{
  return { .mJob = aPromise.job,
           .mBallot = FromWire(aPromise.ballot),
           .mHolder = aPromise.holder };
}

core::copy_fences_reply
CopyFencesFromWire(const wire::CopyReply& aReply)
{
  return { .mAgent = FromWire(aReply.peer),
           .mOpen = aReply.open,
           .mPromises = ListFromWire(aReply.notes) };
}

core::copy_promises_reply
CopyNotesFromWire(const wire::CopyReply& aReply)
{
  return { .mEntry = FromWire(aReply.peer),
           .mOpen = aReply.open,
           .mPromises = ListFromWire(aReply.notes) };
}

core::locate_request
FromWire(const wire::LocateRequest& aRequest)
{
  return { .mEntry = FromWire(aRequest.entry),
           .mEntryAddress = aRequest.entryAddress,
           .mJob = aRequest.job,
           .mContentHash = Bits(aRequest.contentHash),
           .mBallot = FromWire(aRequest.ballot) };
}

core::locate_reply
FromWire(const wire::LocateReply& aReply)
{
  return { .mEntry = FromWire(aReply.entry),
           .mJob = aReply.job,
           .mVerdict =
             EnumFromWire(aReply.verdict, core::kLocateVerdictNames, "verdict"),
           .mBallot = FromWire(aReply.ballot),
           .mHolder = aReply.holder };
}

core::heartbeat
FromWire(const wire::Heartbeat& aBeat)
{
  core::heartbeat beat;
  beat.mEntry = FromWire(aBeat.entry);
  beat.mAddress = aBeat.address;
  beat.mGeneration = GenerationFromWire(aBeat.generation);
  for (const auto& [name, use] : aBeat.teams) {
    beat.mTeams[name] = { .mRunning = Count(use.running, "team running"),
                          .mWaiting = Count(use.waiting, "team waiting") };
  }
  if (aBeat.__isset.configuration) {
    beat.mConfiguration = FromWire(aBeat.configuration);
  }
  beat.mLeaving = aBeat.leaving;
  beat.mBusy = aBeat.busy;
  beat.mFailureDomain = aBeat.failureDomain;
  beat.mMillicores = Count(aBeat.millicores, "millicores");
  beat.mReadsConfiguration = aBeat.readsConfiguration;
  beat.mDigest = static_cast<std::uint64_t>(aBeat.configurationDigest);
  // Not checked here: an implausible rate must not cost the rest of the
  // heartbeat (see membership::RecordHeartbeat).
  if (aBeat.__isset.jobsPerSecond) {
    beat.mJobsPerSecond = aBeat.jobsPerSecond;
  }
  if (aBeat.__isset.evidenceAge) {
    beat.mEvidenceAge = Duration(aBeat.evidenceAge, "evidence age");
  }
  beat.mConfirmedGeneration = GenerationFromWire(aBeat.confirmedGeneration);
  for (const auto& [name, generation] : aBeat.agents) {
    beat.mAgents[name] = GenerationFromWire(generation);
  }
  return beat;
}

core::job_answer
FromWire(const wire::JobAnswer& aAnswer)
{
  core::job_answer answer;
  answer.mJob = aAnswer.job;
  answer.mOutcome =
    EnumFromWire(aAnswer.outcome, core::kJobOutcomeNames, "outcome");
  answer.mResults = aAnswer.results;
  answer.mReason = aAnswer.reason;
  answer.mStep = aAnswer.step;
  answer.mPeer = aAnswer.peer;
  if (aAnswer.__isset.retryAfter) {
    answer.mRetryAfter = Duration(aAnswer.retryAfter, "retry after");
  }
  answer.mStatus = Count(aAnswer.status, "status");
  return answer;
}

core::deliver_request
FromWire(const wire::DeliverRequest& aRequest)
{
  return { .mEntry = FromWire(aRequest.entry),
           .mAnswers = ListFromWire(aRequest.answers) };
}

} // namespace gooseberry::io
