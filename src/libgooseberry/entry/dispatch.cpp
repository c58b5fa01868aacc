#include "libgooseberry/core/decimal.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>
#include <utility>

namespace gooseberry::entry {

namespace {

/** Waiting tasks above which a job takes whatever slot comes first. */
constexpr std::size_t kWideJob = 32;

/** Tasks of a job that go to one target in a row where much is free: an agent
 * hands them to its target one after the other. */
constexpr std::uint32_t kMaxBeside = 3;

/** The starts of one pass, by name of the agent. */
using batches = std::map<std::string, core::start_batch>;

core::start_batch
MakeBatch(const entry_control& aControl, const membership::agent_view& aAgent)
{
  core::start_batch batch;
  batch.mEntry = aControl.mSelf;
  batch.mEntryAddress = aControl.mOptions.mAddress;
  batch.mAgentIncarnation = aAgent.mState.mAgent.mIncarnation;
  batch.mAgentStamp = aAgent.mState.mStamp;
  batch.mGeneration = aControl.mRow.mConfiguration.mGeneration;
  return batch;
}

/** The job's priority as seen by agents: free of this host's clock. */
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
  start.mPayload = described.mPayload;
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

/** Puts one task of the job on the chosen target. */
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
  // Where another entry has taken the slot meanwhile, a job that has more
  // tasks than slots are free loses nothing by waiting there.
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

/** Places what it can of one job; false once nothing more is free. */
bool
PlaceJob(entry_control& aControl,
         job::job& aJob,
         batches& aBatches,
         core::instant aNow,
         effects& aEffects)
{
  std::optional<target::target_index> last;
  std::uint32_t inRow = 0;
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
    request.mAvoid = task.mAvoid.empty() ? nullptr : &task.mAvoid;
    request.mPreferredTarget = inRow < kMaxBeside ? last : std::nullopt;
    const target::placement placement =
      target::Place(aControl.mTargets, request, aControl.mRandom, aNow);
    const auto* choice = std::get_if<target::placement_choice>(&placement);
    if (choice == nullptr) {
      return false;
    }
    inRow = last == choice->mTarget ? inRow + 1 : 1;
    last = choice->mTarget;
    aJob.mWaiting.pop_back();
    --aControl.mTeams[aJob.mSubmission.mTeam].mWaiting;
    PlaceTask(aControl, aJob, index, *choice, aBatches, aNow, aEffects);
  }
  return true;
}

/**
 * Gives one service's free slots to its jobs in order. Returns the priority
 * of the first job that found none.
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

/** Whether an agent need not hear of the backlog now. */
bool
IsTold(const entry_control& aControl,
       const std::string& aAgent,
       std::int64_t aPriority,
       core::instant aNow)
{
  constexpr core::duration kTellAgainAfter = std::chrono::milliseconds(500);
  constexpr core::duration kTellBetterAfter = std::chrono::milliseconds(50);
  const auto told = aControl.mTold.find(aAgent);
  if (told == aControl.mTold.end()) {
    return false;
  }
  const core::duration age = aNow - told->second.mAt;
  return age < kTellBetterAfter ||
         (told->second.mPriority <= aPriority && age < kTellAgainAfter);
}

/** Adds empty batches for a few agents that are to hear of the backlog. */
void
AddDemand(entry_control& aControl,
          std::int64_t aPriority,
          batches& aBatches,
          core::instant aNow)
{
  constexpr std::size_t kMaxDemands = 4;
  if (aControl.mMembers.mEntries.empty()) {
    return; // Its own results tell it of every slot that gets free.
  }
  std::size_t told = 0;
  std::vector<const membership::agent_view*> untold;
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    const bool usable = view.mState.mOpen && !view.mState.mLeaving &&
                        aNow - view.mHeardAt <= aControl.mOptions.mPeerSuspect;
    if (IsTold(aControl, name, aPriority, aNow) || aBatches.contains(name)) {
      ++told;
    } else if (usable) {
      untold.push_back(&view);
    }
  }
  std::shuffle(untold.begin(), untold.end(), aControl.mRandom);
  for (const membership::agent_view* view : untold) {
    if (told++ >= kMaxDemands) {
      return;
    }
    aBatches.emplace(view->mState.mAgent.mName, MakeBatch(aControl, *view));
    ++aControl.mCounters.mDemands;
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
      aControl.mTold[name] = { *aBacklog, aNow };
    } else {
      aControl.mTold.erase(name);
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

/** The job can only be late: it waits for as long as that is of use. */
void
NoteLate(entry_control& aControl,
         const job::job& aJob,
         core::instant aNow,
         effects& aEffects)
{
  const core::duration longest = LongestWaiting(aJob);
  aControl.mGiveUps.emplace(aJob.mArrived +
                              job::LongestUsefulWait(aJob.mSubmission, longest),
                            aJob.mSubmission.mKey);
  Log(aEffects,
      "job_late",
      { { "job", aJob.mSubmission.mKey },
        { "waiting", std::to_string(aJob.mWaiting.size()) },
        { "objective_ms", core::FormatMilliseconds(aJob.mObjective) },
        { "waited_ms", core::FormatMilliseconds(aNow - aJob.mArrived) } });
}

/**
 * Whether tasks may be placed. After a standstill of the process they wait for
 * a moment: its connections tell which callers have left, and may have handed
 * their jobs in elsewhere.
 */
bool
MayDispatch(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  constexpr core::duration kStandstill = std::chrono::milliseconds(300);
  constexpr core::duration kLookAround = std::chrono::milliseconds(60);
  const core::instant last = std::exchange(aControl.mLastDispatch, aNow);
  if (last != core::instant{} && aNow - last > kStandstill) {
    aControl.mDispatchFrom = aNow + kLookAround;
    Log(aEffects,
        "stood_still",
        { { "ms", core::FormatMilliseconds(aNow - last) } });
  }
  return aNow >= aControl.mDispatchFrom && IsFresh(aControl, aNow);
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
    NoteLate(aControl, *job::Find(aControl.mLedger, late), aNow, aEffects);
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
    AddDemand(aControl, *backlog, batches, aNow);
  }
  SendBatches(aControl, batches, backlog, aNow, aEffects);
}

} // namespace gooseberry::entry
