#pragma once

#include "leased_world_target.h"
#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/entry/entry_control.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/**
 * Entries, agents and targets that run tasks under leases, in virtual time and
 * from one seed: the functions that the programs call, with messages that are
 * lost or held up, and processes that are frozen, killed and started anew.
 * What targets and callers see is checked at each step.
 */
namespace gooseberry::leased_world {

/** Histories count from here. */
inline constexpr instant kStartTime{ std::chrono::seconds(1000) };

/** Kinds of calls between entries and agents; each has connections of its own.
 */
enum class channel : std::uint8_t
{
  Start,
  Cancel,
  Announce,
  Finish,
  Other,
};

enum class role : std::uint8_t
{
  Entry,
  Agent,
};

/** What can be frozen, killed or slow. */
struct process
{
  role mRole = role::Entry;
  std::size_t mIndex = 0;
  std::string mName;
  std::uint64_t mIncarnation = 0;
  bool mAlive = false;
  instant mStartedAt{};
  instant mFrozenUntil{};
  instant mSlowUntil{};
  duration mMaxInputDelay{}; ///< Longest delay of an input while it is slow.
};

struct entry_process : process
{
  std::unique_ptr<entry::entry_control> mControl;
};

struct agent_process : process
{
  std::unique_ptr<agent::agent_control> mControl;
  /** Starts and stops that wait for one of few threads. */
  std::deque<std::function<void()>> mQueuedCalls;
  std::size_t mRunningCalls = 0;
};

/** What becomes of calls to a target that hangs. */
struct target_fault
{
  instant mUntil{};
  double mUnansweredShare = 0;          ///< Share of the calls.
  std::optional<std::size_t> mOnlyKind; ///< One alternative of `lease::call`.
  bool mIsDropped = false;              ///< None of these is ever carried out.
};

/** Messages of some directions do not arrive for a time. */
struct cut
{
  std::set<std::pair<std::string, std::string>> mFromTo;
  std::optional<channel> mChannel; ///< One kind of calls, both ways; else all.
  bool mIsHeld = false; ///< Messages arrive when it ends; else they are lost.
  instant mFrom{};
  instant mUntil{};
};

/** One job of a caller, who may send it several times. */
struct job_record
{
  job::submission mSubmission;
  std::vector<duration> mRunTimes; ///< By task.
  std::uint32_t mSendCount = 0;
  std::uint32_t mRefusalCount = 0; ///< Answers that say "not run".
  std::uint32_t mRunCount = 0;
  std::set<std::uint32_t> mSucceededTasks; ///< Tasks with an end done.
  bool mIsComplete = false;
  std::vector<std::string> mHistory;
};

/** A request that a caller waits for. */
struct request
{
  std::uint64_t mToken = 0;
  std::string mKey;
  std::size_t mEntry = 0;
  std::uint64_t mIncarnation = 0; ///< Of the entry.
  bool mIsRead = false;           ///< The entry has read it.
};

struct options
{
  std::uint64_t mSeed = 1;
  std::size_t mEntries = 3;
  std::size_t mAgents = 5;
};

/** Counters that show that a series was not empty. */
struct counters
{
  std::uint64_t mRuns = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mResent = 0;
  std::uint64_t mStopped = 0;
  std::uint64_t mExpired = 0;
};

class world
{
public:
  explicit world(const options& aOptions);

  instant Now() const { return mNow; }
  /** Returns at once when a check has failed. */
  void RunFor(duration aTime);
  void At(instant aWhen, std::function<void()> aAction);
  std::uint64_t Draw(std::uint64_t aFirst, std::uint64_t aLast);
  duration Milliseconds(std::uint64_t aFirst, std::uint64_t aLast);
  bool Chance(double aProbability);

  // Callers.
  /** Sends a new job to an entry; gives its key. */
  std::string Submit(std::size_t aEntry,
                     std::vector<duration> aRunTimes,
                     duration aDeadline,
                     std::optional<duration> aDisconnectAfter = std::nullopt);
  /** Sends a job of random size now, and others until then. */
  void SubmitUntil(instant aEnd, duration aMeanGap);
  const job_record& Job(const std::string& aKey) const;

  // Faults.
  void Cut(cut aCut);
  /** Directions between these entries and agents. */
  cut MakeCut(const std::set<std::size_t>& aEntries,
              const std::set<std::size_t>& aAgents,
              bool aToEntries,
              bool aToAgents,
              duration aTime) const;
  void Freeze(process& aProcess, duration aTime);
  void Slow(process& aProcess, duration aBy, duration aTime);
  void KillEntry(std::size_t aIndex, duration aDownFor);
  void KillAgent(std::size_t aIndex, duration aDownFor);
  void CrashTarget(std::size_t aIndex, duration aDownFor);
  void HangTarget(std::size_t aIndex, const target_fault& aFault);
  /** Overlapping series of faults until then, drawn from the seed. */
  void DrawFaults(instant aEnd);

  entry_process& Entry(std::size_t aIndex) { return mEntries[aIndex]; }
  agent_process& Agent(std::size_t aIndex) { return mAgents[aIndex]; }
  /** Targets that run a task of the job now. */
  std::vector<std::size_t> TargetsRunning(const std::string& aKey) const;

  /** The first check that failed with the record of its task, or nothing. */
  const std::string& Violation() const { return mViolation; }
  const counters& Counters() const { return mCounters; }

private:
  using action = std::function<void()>;
  struct scheduled_action
  {
    instant mDueAt;
    std::uint64_t mOrder;
    std::shared_ptr<action> mAction;
    bool operator>(const scheduled_action& aOther) const
    {
      return mDueAt != aOther.mDueAt ? mDueAt > aOther.mDueAt
                                     : mOrder > aOther.mOrder;
    }
  };
  /** A way that a message may go: when it arrives, or that it does not.
   */
  using arrival_time = std::optional<instant>;

  duration Latency() { return duration(Draw(200, 2'000)); }
  void Arrive(process& aTo, std::uint64_t aIncarnation, const action& aAction);
  void Deliver(process& aTo, std::uint64_t aIncarnation, const action& aAction);
  const cut* FindCut(const process& aFrom,
                     const process& aTo,
                     channel aChannel);
  /** Whether a call can be sent at all: a connection must be open for it. */
  bool CanConnect(const process& aFrom, const process& aTo, channel aChannel);
  arrival_time DrawArrival(const process& aFrom,
                           const process& aTo,
                           channel aChannel);
  struct outgoing_call
  {
    process* mFrom = nullptr;
    process* mTo = nullptr;
    channel mChannel = channel::Other;
    std::function<action()> mServe;
    std::function<void(bool aDelivered)> mFailed;
  };
  /** One call with its reply; it may arrive after its deadline. */
  void Call(outgoing_call aCall);
  void Transmit(const outgoing_call& aCall);
  void CallStore(process& aFrom, const std::function<action()>& aServe);

  using entry_step = std::function<void(entry::effects&)>;
  using agent_step = std::function<void(agent::effects&)>;
  void WithEntry(entry_process& aEntry, const entry_step& aStep);
  void WithAgent(agent_process& aAgent, const agent_step& aStep);
  void StartEntry(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);
  void TickEntry(entry_process& aEntry, std::uint64_t aIncarnation);
  void TickAgent(agent_process& aAgent, std::uint64_t aIncarnation);
  entry_process* EntryAt(const std::string& aAddress);
  agent_process* AgentAt(const std::string& aAddress);

  void Do(entry_process& aFrom, const entry::send_start& aEffect);
  void Do(entry_process& aFrom, const entry::send_cancel& aEffect);
  void Do(entry_process& aFrom, const entry::send_heartbeat& aEffect);
  void Do(entry_process& aFrom, const entry::read_members& aEffect);
  void Do(entry_process& aFrom, const entry::write_member& aEffect);
  void Do(entry_process& aFrom, const entry::delete_member& aEffect);
  void Do(entry_process& aFrom, const entry::read_configuration& aEffect);
  void Do(entry_process& aFrom, const entry::answer_caller& aEffect);
  void Do(entry_process& aFrom, const entry::log_line& aEffect);
  template<typename Effect>
  void Do(entry_process&, const Effect&)
  {
  }
  void Do(agent_process& aFrom, const agent::call_target& aEffect);
  void Do(agent_process& aFrom, const agent::send_finish& aEffect);
  void Do(agent_process& aFrom, const agent::send_announce& aEffect);
  void Do(agent_process& aFrom, const agent::read_rows& aEffect);
  void Do(agent_process& aFrom, const agent::log_event& aEffect);
  template<typename Effect>
  void Do(agent_process&, const Effect&)
  {
  }

  // Targets; see leased_world_runs.cpp.
  void StartTarget(std::size_t aIndex);
  void Register(std::size_t aIndex, std::uint64_t aIncarnation);
  void SendToTarget(agent_process& aAgent, const lease::call& aCall);
  /** Takes what is the first to settle a call. */
  using settler = std::function<void(const action& aReply)>;
  settler SettleOnce(agent_process& aAgent, bool aHoldsThread);
  /** When a target carries a call out, if ever, and whether it answers. */
  struct call_outcome
  {
    arrival_time mArrivesAt;
    bool mIsAnswered = true;
  };
  call_outcome DrawCallOutcome(std::size_t aTarget, std::size_t aKind);
  template<typename Wire>
  void CallTarget(agent_process& aAgent, const Wire& aCall);
  void StartNextCall(agent_process& aAgent, std::uint64_t aIncarnation);
  /** A call that has reached a target, and its way back. */
  struct received_call
  {
    std::size_t mTarget = 0;
    instant mSentAt{};
    std::uint64_t mIncarnation = 0;
    std::function<void(const action& aReply)> mReply;
  };
  /** Whether the target still is the process that has the call. */
  bool IsSameProcess(const received_call& aCall) const;
  void Serve(const received_call& aReceived, const lease::start_call& aCall);
  void Serve(const received_call& aReceived, const lease::stop_call& aCall);
  void Serve(const received_call& aReceived, const lease::renew_call& aCall);
  void AnswerRenewal(const received_call& aReceived,
                     const lease::renew_call& aCall,
                     instant aUntil);
  void Fail(agent_process& aAgent, const lease::start_call&, bool, instant);
  void Fail(agent_process&, const lease::stop_call&, bool, instant) {}
  void Fail(agent_process& aAgent, const lease::renew_call&, bool, instant);
  void RecordChanges(std::size_t aIndex,
                     const std::vector<run_change>& aChanges);
  void ScheduleChange(std::size_t aIndex);

  // Callers and checks; see leased_world_callers.cpp.
  void Send(const std::string& aKey,
            std::size_t aEntry,
            std::optional<duration> aDisconnectAfter);
  void ReadRequest(entry_process& aEntry, std::uint64_t aToken);
  void DisconnectCaller(std::uint64_t aToken);
  void Resend(const std::string& aKey);
  void ProcessAnswer(const request& aRequest, const core::job_answer& aAnswer);
  void BreakConnections(std::size_t aEntry);
  void CheckStart(std::size_t aTarget, const run_change& aChange);
  void CheckRefused(const std::string& aKey);
  /** Milliseconds since the start, for histories. */
  std::string Timestamp() const;
  void RecordEvent(const std::string& aKey, const std::string& aText);
  void RecordFault(const std::string& aText);
  void ReportViolation(const std::string& aViolation, const std::string& aKey);

  void DrawSeries(instant aFrom, instant aEnd);
  action DrawFault();
  action DrawCut();
  action DrawProcessFault(std::uint64_t aKind);
  action DrawTargetFault();
  std::set<std::size_t> DrawSubset(std::size_t aCount);

  options mOptions;
  std::mt19937_64 mRandom;
  instant mNow = kStartTime;
  std::uint64_t mOrder = 0;
  std::priority_queue<scheduled_action,
                      std::vector<scheduled_action>,
                      std::greater<>>
    mEvents;
  std::vector<entry_process> mEntries;
  std::vector<agent_process> mAgents;
  std::vector<fake_target> mTargets;
  std::vector<target_fault> mTargetFaults;
  std::vector<instant>
    mScheduledChange; ///< By target: its next change, as planned.
  std::vector<cut> mCuts;
  std::map<std::string, membership::member_row> mRows;
  std::map<std::string, job_record> mJobs;
  std::map<std::uint64_t, request> mRequests; ///< By token.
  std::uint64_t mNextToken = 1;
  /** Targets that run each task now. */
  std::map<core::task_ref, std::multiset<std::size_t>> mActive;
  std::vector<std::string> mFaultHistory;
  counters mCounters;
  std::string mViolation;
};

} // namespace gooseberry::leased_world
