#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>
#include <utility>

namespace gooseberry::entry {

namespace {

/** A job with more waiting tasks than this may queue them at any target. */
constexpr std::size_t kWideJob = 32;

/** Longest sequence of a job's tasks for one target with many free slots. The
 * limit is needed as an agent passes tasks to its target one by one. */
constexpr std::uint32_t kMaxConsecutive = 3;

/** The starts of one dispatch, by agent name. */
using batches = std::map<std::string, core::start_batch>;

core::start_batch
MakeBatch(const entry_control& aControl, const membership::agent_view& aAgent)
{
  core::start_batch batch;
  batch.mEntry = aControl.mSelf;
  batch.mEntryAddress = aControl.mOptions.mAddress;
  batch.mAgentIncarnation = aAgent.mState.mAgent.mIncarnation;
  batch.mAgentTimestamp = aAgent.mState.mTimestamp;
  batch.mGeneration = aControl.mRow.mConfiguration.mGeneration;
  return batch;
}

/** Returns the job's priority for agents, independent of this host's clock. */
std::int64_t
RelativePriority(const entry_control& aControl,
                 const job::job& aJob,
                 core::instant aNow)
{
  return aJob.mPriority -
         job::Priority(aControl.mOptions.mOrder, core::duration::zero(), aNow);
}

core::task_start
MakeStart(const job::job& aJob,
          std::uint32_t aIndex,
          const std::string& aTargetName)
{
  const job::task& task = aJob.mTasks[aIndex];
  const job::task_description& described = aJob.mSubmission.mTasks[aIndex];
  core::task_start start;
  start.mTask = { aJob.mSubmission.mKey, aIndex };
  start.mTry = task.mTry;
  start.mBallot = aJob.mBallot;
  start.mPlacement = task.mPlacement;
  start.mService = aJob.mSubmission.mService;
  start.mKind = described.mKind;
  start.mTarget = aTargetName;
  start.mPayload = described.mPayload.Get();
  start.mNeeds = described.mNeeds;
  return start;
}

void
LogPlacement(const entry_control& aControl,
             const job::job& aJob,
             std::uint32_t aIndex,
             const target::placement_choice& aChoice,
             effects& aEffects)
{
  if (!aControl.mOptions.mLogDecisions) {
    return;
  }
  const target::target_view& view = aControl.mTargets.mTargets[aChoice.mTarget];
  Log(aEffects,
      "placement",
      { { "job", aJob.mSubmission.mKey },
        { "task", std::to_string(aIndex) },
        { "try", std::to_string(aJob.mTasks[aIndex].mTry) },
        { "target", view.mName },
        { "domain", view.mFailureDomain },
        { "reason",
          std::string(target::kPlacementReasonNames.NameOf(aChoice.mReason)) },
        { "considered", std::to_string(aChoice.mConsidered) },
        { "expected_ms", core::FormatMilliseconds(aChoice.mExpectedFinish) } });
}

/** Assigns one task of the job to the chosen target. */
void
PlaceTask(entry_control& aControl,
          job::job& aJob,
          std::uint32_t aIndex,
          const target::placement_choice& aChoice,
          batches& aBatches,
          core::instant aNow,
          effects& aEffects)
{
  const target::target_view& view = aControl.mTargets.mTargets[aChoice.mTarget];
  const membership::agent_view& agent =
    aControl.mMembers.mAgents.at(view.mAgent);
  job::task& task = aJob.mTasks[aIndex];
  task.mState = job::task_state::Sent;
  task.mTarget = aChoice.mTarget;
  task.mAgent = agent.mState.mAgent;
  task.mPlacement = aControl.mNextPlacement++;
  task.mMaybeDelivered = false;
  aJob.mWaitingWork -= task.mExpected;
  target::Reserve(aControl.mTargets, aChoice.mTarget);
  target::AddUnanswered(
    aControl.mTargets, aChoice.mTarget, aJob.mSubmission.mTasks[aIndex].mNeeds);
  aControl.mAgentTasks[view.mAgent].insert({ aJob.mSubmission.mKey, aIndex });
  ++aControl.mTeams[aJob.mSubmission.mTeam].mRunning;
  ++aControl.mCounters.mStarts;
  const auto [batch, added] = aBatches.try_emplace(view.mAgent);
  if (added) {
    batch->second = MakeBatch(aControl, agent);
  }
  batch->second.mStarts.push_back(MakeStart(aJob, aIndex, view.mName));
  core::task_start& start = batch->second.mStarts.back();
  start.mPriority = RelativePriority(aControl, aJob, aNow);
  // If another entry has taken the slot meanwhile, a job with more tasks than
  // free slots loses nothing by waiting at the target.
  const bool isFree = aChoice.mReason == target::placement_reason::FreeSlot ||
                      aChoice.mReason == target::placement_reason::Preferred;
  start.mMayQueue = !isFree || aJob.mWaiting.size() > kWideJob;
  LogPlacement(aControl, aJob, aIndex, aChoice, aEffects);
}

bool
IsTeamFull(const entry_control& aControl, const std::string& aTeam)
{
  const auto share = aControl.mTeamShares.find(aTeam);
  if (share == aControl.mTeamShares.end()) {
    return false;
  }
  const auto use = aControl.mTeams.find(aTeam);
  return use != aControl.mTeams.end() && use->second.mRunning >= share->second;
}

/** Places as many tasks of one job as possible; returns false once no target
 * has free capacity. */
bool
PlaceJob(entry_control& aControl,
         job::job& aJob,
         batches& aBatches,
         core::instant aNow,
         effects& aEffects)
{
  std::optional<target::target_index> last;
  std::uint32_t consecutive = 0;
  const std::uint32_t headroom = HeadroomFor(aControl, aJob, aNow);
  while (!aJob.mWaiting.empty() &&
         !IsTeamFull(aControl, aJob.mSubmission.mTeam)) {
    const std::uint32_t index = aJob.mWaiting.back();
    const job::task& task = aJob.mTasks[index];
    target::placement_request request;
    request.mService = aJob.mSubmission.mService;
    request.mKind = aJob.mSubmission.mTasks[index].mKind;
    request.mDeclared = aJob.mSubmission.mTasks[index].mDeclared;
    request.mIdempotent = aJob.mSubmission.mIdempotent;
    request.mNeeds = aJob.mSubmission.mTasks[index].mNeeds;
    request.mHeadroom = headroom;
    request.mAvoid = task.mAvoid.empty() ? nullptr : &task.mAvoid;
    request.mPreferredTarget =
      consecutive < kMaxConsecutive ? last : std::nullopt;
    const target::placement placement =
      target::Place(aControl.mTargets, request, aControl.mRandom, aNow);
    const auto* choice = std::get_if<target::placement_choice>(&placement);
    if (choice == nullptr) {
      return false;
    }
    consecutive = last == choice->mTarget ? consecutive + 1 : 1;
    last = choice->mTarget;
    aJob.mWaiting.pop_back();
    --aControl.mTeams[aJob.mSubmission.mTeam].mWaiting;
    PlaceTask(aControl, aJob, index, *choice, aBatches, aNow, aEffects);
  }
  return true;
}

/**
 * Assigns one service's free slots to its jobs in order. Returns the priority
 * of the first job without a slot, if any.
 */
std::optional<std::int64_t>
DispatchService(entry_control& aControl,
                const std::set<job::ready_key>& aJobs,
                std::vector<std::string>& aPlaced,
                batches& aBatches,
                core::instant aNow,
                effects& aEffects)
{
  for (const job::ready_key& key : aJobs) {
    job::job& ready = *job::Find(aControl.mLedger, key.mJob);
    const std::size_t waiting = ready.mWaiting.size();
    const bool more = PlaceJob(aControl, ready, aBatches, aNow, aEffects);
    if (ready.mWaiting.size() < waiting) {
      aPlaced.push_back(key.mJob);
    }
    if (!more) {
      return ready.mPriority;
    }
  }
  return std::nullopt;
}

/** Returns whether the backlog need not be sent to an agent now. */
bool
IsBacklogKnown(const entry_control& aControl,
               const std::string& aAgent,
               std::int64_t aPriority,
               core::instant aNow)
{
  constexpr core::duration kResendAfter = std::chrono::milliseconds(500);
  constexpr core::duration kResendImprovedAfter = std::chrono::milliseconds(50);
  const auto sent = aControl.mSentBacklogs.find(aAgent);
  if (sent == aControl.mSentBacklogs.end()) {
    return false;
  }
  const core::duration age = aNow - sent->second.mSentAt;
  return age < kResendImprovedAfter ||
         (sent->second.mPriority <= aPriority && age < kResendAfter);
}

/** Adds empty batches for a few agents, to send them the backlog. */
void
AddBacklogCalls(entry_control& aControl,
                std::int64_t aPriority,
                batches& aBatches,
                core::instant aNow)
{
  constexpr std::size_t kMaxBacklogCalls = 4;
  if (aControl.mMembers.mEntries.empty()) {
    return; // Without other entries, results show each slot that gets free.
  }
  std::size_t informed = 0;
  std::vector<const membership::agent_view*> candidates;
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    const bool usable = view.mState.mOpen && !view.mState.mLeaving &&
                        aNow - view.mLastSeen <= aControl.mOptions.mPeerSuspect;
    if (IsBacklogKnown(aControl, name, aPriority, aNow) ||
        aBatches.contains(name)) {
      ++informed;
    } else if (usable) {
      candidates.push_back(&view);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), aControl.mRandom);
  for (const membership::agent_view* view : candidates) {
    if (informed++ >= kMaxBacklogCalls) {
      return;
    }
    aBatches.emplace(view->mState.mAgent.mName, MakeBatch(aControl, *view));
    ++aControl.mCounters.mBacklogCalls;
  }
}

void
SendBatches(entry_control& aControl,
            batches& aBatches,
            std::optional<std::int64_t> aBacklog,
            core::instant aNow,
            effects& aEffects)
{
  for (auto& [name, batch] : aBatches) {
    batch.mBacklog = aBacklog.has_value();
    if (aBacklog) {
      batch.mBacklogPriority =
        *aBacklog - job::Priority(aControl.mOptions.mOrder, {}, aNow);
      aControl.mSentBacklogs[name] = { *aBacklog, aNow };
    } else {
      aControl.mSentBacklogs.erase(name);
    }
    const membership::agent_view& agent = aControl.mMembers.mAgents.at(name);
    start_call call;
    call.mAgent = agent.mState.mAgent;
    call.mAddress = agent.mState.mAddress;
    call.mBatch = std::move(batch);
    const auto firstTries = std::count_if(
      call.mBatch.mStarts.begin(),
      call.mBatch.mStarts.end(),
      [](const core::task_start& aStart) { return aStart.mTry == 1; });
    quota::EarnRetries(aControl.mRetryBudget,
                       static_cast<std::uint32_t>(firstTries));
    const std::uint64_t id = aControl.mNextCall++;
    aEffects.emplace_back(
      send_start{ id, call.mAgent, call.mAddress, call.mBatch });
    aControl.mCalls.emplace(id, std::move(call));
  }
}

/** Records a job that can only be late; it waits only while a late result is
 * still useful. */
void
RecordLateJob(entry_control& aControl,
              const job::job& aJob,
              core::instant aNow,
              effects& aEffects)
{
  const core::duration longest = LongestWaiting(aJob);
  aControl.mLateRefusals.emplace(
    aJob.mArrived + job::LongestUsefulWait(aJob.mSubmission, longest),
    aJob.mSubmission.mKey);
  Log(aEffects,
      "job_late",
      { { "job", aJob.mSubmission.mKey },
        { "waiting", std::to_string(aJob.mWaiting.size()) },
        { "objective_ms", core::FormatMilliseconds(aJob.mObjective) },
        { "waited_ms", core::FormatMilliseconds(aNow - aJob.mArrived) } });
}

/**
 * Returns whether tasks may be placed. After a stall of the process, they wait
 * until closed connections are handled: those callers may have submitted their
 * jobs to other entries meanwhile.
 */
bool
MayDispatch(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  constexpr core::duration kStallThreshold = std::chrono::milliseconds(300);
  constexpr core::duration kStallRecovery = std::chrono::milliseconds(60);
  const core::instant last = std::exchange(aControl.mLastDispatch, aNow);
  if (last != core::instant{} && aNow - last > kStallThreshold) {
    aControl.mDispatchResumesAt = aNow + kStallRecovery;
    Log(aEffects,
        "stood_still",
        { { "ms", core::FormatMilliseconds(aNow - last) } });
  }
  return aNow >= aControl.mDispatchResumesAt && IsFresh(aControl, aNow);
}

} // namespace

void
Dispatch(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  if (!MayDispatch(aControl, aNow, aEffects) ||
      aControl.mReady.mServices.empty()) {
    return;
  }
  for (const std::string& late : job::DemoteLate(
         aControl.mReady, aControl.mOptions.mOrder, aControl.mLedger, aNow)) {
    RecordLateJob(aControl, *job::Find(aControl.mLedger, late), aNow, aEffects);
  }
  batches batches;
  std::vector<std::string> placed;
  std::optional<std::int64_t> backlog;
  for (const auto& [service, jobs] : aControl.mReady.mServices) {
    const auto blocked =
      DispatchService(aControl, jobs, placed, batches, aNow, aEffects);
    if (blocked && (!backlog || *blocked < *backlog)) {
      backlog = blocked;
    }
  }
  for (const std::string& key : placed) {
    UpdateOrder(aControl, *job::Find(aControl.mLedger, key));
  }
  if (backlog) {
    AddBacklogCalls(aControl, *backlog, batches, aNow);
  }
  SendBatches(aControl, batches, backlog, aNow, aEffects);
}

} // namespace gooseberry::entry
