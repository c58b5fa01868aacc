#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/internal.h"

#include <algorithm>

namespace gooseberry::entry {

namespace {

constexpr core::duration kFirstRepeatAfter = std::chrono::milliseconds(20);
constexpr core::duration kMaxRepeatAfter = std::chrono::seconds(1);
constexpr std::uint32_t kMaxRepeatDoublings = 6;

/** Returns the job of a start that still waits for an answer, or null. */
job::job*
FindOpen(entry_control& aControl, const core::task_start& aStart)
{
  job::job* found = job::Find(aControl.mLedger, aStart.mTask.mJob);
  if (found == nullptr || found->mPhase != job::phase::Running ||
      aStart.mTask.mIndex >= found->mTasks.size()) {
    return nullptr;
  }
  const job::task& task = found->mTasks[aStart.mTask.mIndex];
  const bool same = task.mState == job::task_state::Sent &&
                    task.mPlacement == aStart.mPlacement;
  return same ? found : nullptr;
}

void
LogRefusal(const core::task_start& aStart,
           const core::peer_ref& aAgent,
           core::start_verdict aVerdict,
           effects& aEffects)
{
  Log(aEffects,
      "start_refused",
      { { "job", aStart.mTask.mJob },
        { "task", std::to_string(aStart.mTask.mIndex) },
        { "target", aStart.mTarget },
        { "agent", ToString(aAgent) },
        { "reason", std::string(core::kStartVerdictNames.NameOf(aVerdict)) } });
}

/** Removes the capacity held for starts that have ended or that the agent's
 * load reports now include. */
void
RemoveUnansweredStarts(entry_control& aControl,
                       const std::vector<core::task_start>& aStarts)
{
  for (const core::task_start& start : aStarts) {
    if (const auto index = target::Find(aControl.mTargets, start.mTarget)) {
      target::RemoveUnanswered(aControl.mTargets, *index, start.mNeeds);
    }
  }
}

/** Removes and returns a call that has ended. */
start_call
RemoveCall(entry_control& aControl, std::uint64_t aCall)
{
  const auto found = aControl.mCalls.find(aCall);
  start_call call = std::move(found->second);
  aControl.mCalls.erase(found);
  RemoveUnansweredStarts(aControl, call.mBatch.mStarts);
  return call;
}

/** Applies the agent's verdict on one start. */
void
ApplyVerdict(entry_control& aControl,
             const start_call& aCall,
             const core::task_start& aStart,
             core::start_verdict aVerdict,
             core::instant aNow,
             effects& aEffects)
{
  job::job* found = FindOpen(aControl, aStart);
  if (found == nullptr) {
    return;
  }
  job::task& task = found->mTasks[aStart.mTask.mIndex];
  if (aVerdict == core::start_verdict::Accepted ||
      aVerdict == core::start_verdict::AlreadyStarted) {
    task.mState = job::task_state::Running;
    task.mEverStarted = true;
    return;
  }
  ++aControl.mCounters.mRefusals[static_cast<std::size_t>(aVerdict)];
  LogRefusal(aStart, aCall.mAgent, aVerdict, aEffects);
  if (aVerdict == core::start_verdict::Fenced) {
    const core::ballot lost = found->mBallot;
    static_cast<void>(ReleaseJob(aControl, *found));
    StartLocating(aControl, *found, lost, aNow, aEffects);
    return;
  }
  if (aVerdict == core::start_verdict::WrongIncarnation &&
      aCall.mMaybeDelivered) {
    if (aControl.mOptions.mLeasedRuns) {
      return; // `EndEarlierRuns` starts it again once it cannot run any more.
    }
    AskForOutcome(aControl, *found, aCall.mAgent, aNow, aEffects);
    return;
  }
  if (aVerdict == core::start_verdict::Busy && task.mTarget) {
    target::MarkFull(aControl.mTargets, *task.mTarget);
  }
  if (aVerdict == core::start_verdict::DomainOut) {
    // The agent has read a configuration that this entry does not have yet.
    target::MarkAgentUnavailable(aControl.mTargets, aCall.mAgent.mName, aNow);
  }
  ReturnTask(aControl, *found, aStart.mTask.mIndex);
}

/** Removes the starts that no longer wait for an answer. */
void
DropSettled(entry_control& aControl, start_call& aCall)
{
  std::vector<core::task_start> settled;
  std::erase_if(aCall.mBatch.mStarts, [&](const core::task_start& aStart) {
    const bool isSettled = FindOpen(aControl, aStart) == nullptr;
    if (isSettled) {
      settled.push_back(aStart);
    }
    return isSettled;
  });
  RemoveUnansweredStarts(aControl, settled);
}

core::duration
RepeatAfter(std::uint32_t aSends)
{
  const std::uint32_t doublings = std::min(aSends, kMaxRepeatDoublings);
  return std::min(kFirstRepeatAfter * (1U << doublings), kMaxRepeatAfter);
}

/** Ends a call to an agent incarnation that has ended. */
void
FailCall(entry_control& aControl,
         const start_call& aCall,
         core::instant aNow,
         effects& aEffects)
{
  if (aControl.mOptions.mLeasedRuns) {
    return; // `EndEarlierRuns` starts them again once they cannot run.
  }
  for (const core::task_start& start : aCall.mBatch.mStarts) {
    if (job::job* found = FindOpen(aControl, start)) {
      AskForOutcome(aControl, *found, aCall.mAgent, aNow, aEffects);
    }
  }
}

} // namespace

void
OnStartReply(entry_control& aControl,
             std::uint64_t aCall,
             const core::start_reply& aReply,
             core::instant aNow,
             effects& aEffects)
{
  if (!aControl.mCalls.contains(aCall)) {
    return;
  }
  ++aControl.mCounters.mStartReplies;
  const start_call call = RemoveCall(aControl, aCall);
  RecordAgentState(aControl, aReply.mState, aNow, aEffects);
  const std::size_t count =
    std::min(call.mBatch.mStarts.size(), aReply.mVerdicts.size());
  for (std::size_t i = 0; i < count; ++i) {
    ApplyVerdict(aControl,
                 call,
                 call.mBatch.mStarts[i],
                 aReply.mVerdicts[i],
                 aNow,
                 aEffects);
  }
  Dispatch(aControl, aNow, aEffects);
}

void
OnStartFailed(entry_control& aControl,
              std::uint64_t aCall,
              bool aDelivered,
              core::instant aNow,
              effects& aEffects)
{
  const auto found = aControl.mCalls.find(aCall);
  if (found == aControl.mCalls.end()) {
    return;
  }
  start_call& call = found->second;
  target::MarkAgentUnavailable(aControl.mTargets, call.mAgent.mName, aNow);
  Log(aEffects,
      "start_unanswered",
      { { "agent", ToString(call.mAgent) },
        { "tasks", std::to_string(call.mBatch.mStarts.size()) },
        { "delivered", aDelivered ? "maybe" : "no" },
        { "sends", std::to_string(call.mSends) } });
  if (!aDelivered && !call.mMaybeDelivered) {
    const start_call undelivered = RemoveCall(aControl, aCall);
    for (const core::task_start& start : undelivered.mBatch.mStarts) {
      if (job::job* open = FindOpen(aControl, start)) {
        ReturnTask(aControl, *open, start.mTask.mIndex);
      }
    }
    Dispatch(aControl, aNow, aEffects);
    return;
  }
  call.mMaybeDelivered = true;
  call.mRepeatAt = aNow + RepeatAfter(call.mSends);
}

void
TickCalls(entry_control& aControl, core::instant aNow, effects& aEffects)
{
  std::vector<std::uint64_t> due;
  for (const auto& [id, call] : aControl.mCalls) {
    if (call.mRepeatAt && *call.mRepeatAt <= aNow) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    start_call& call = aControl.mCalls.at(id);
    DropSettled(aControl, call);
    if (call.mBatch.mStarts.empty()) {
      aControl.mCalls.erase(id);
      continue;
    }
    if (aControl.mEndedRuns.contains(call.mAgent)) {
      const start_call ended = RemoveCall(aControl, id);
      FailCall(aControl, ended, aNow, aEffects);
      continue;
    }
    call.mRepeatAt.reset();
    ++call.mSends;
    aControl.mCounters.mRepeatedStarts += call.mBatch.mStarts.size();
    if (const auto view = aControl.mMembers.mAgents.find(call.mAgent.mName);
        view != aControl.mMembers.mAgents.end() &&
        view->second.mState.mAgent == call.mAgent) {
      call.mBatch.mAgentTimestamp = view->second.mState.mTimestamp;
    }
    aEffects.emplace_back(
      send_start{ id, call.mAgent, call.mAddress, call.mBatch });
  }
}

} // namespace gooseberry::entry
