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
inline constexpr instant kStart{ std::chrono::seconds(1000) };

/** Kinds of calls between entries and agents; each has connections of its own.
 */
enum class lane : std::uint8_t
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
  duration mSlowBy{}; ///< Longest delay of an input while it is slow.
};

struct entry_process : process
{
  std::unique_ptr<entry::entry_control> mControl;
};

struct agent_process : process
{
  std::unique_ptr<agent::agent_control> mControl;
  /** Starts and stops that wait for one of few threads. */
  std::deque<std::function<void()>> mWaitingCalls;
  std::size_t mCallsUnderWay = 0;
};

/** What becomes of calls to a target that hangs. */
struct target_fault
{
  instant mUntil{};
  double mUnanswered = 0;           ///< Share of the calls.
  std::optional<std::size_t> mOnly; ///< One alternative of `lease::call`.
  bool mIsDropped = false;          ///< None of these is ever carried out.
};

/** Messages of some directions do not arrive for a time. */
struct cut
{
  std::set<std::pair<std::string, std::string>> mFromTo;
  std::optional<lane> mLane; ///< One kind of calls, both ways; else all.
  bool mIsHeld = false; ///< Messages arrive when it ends; else they are lost.
  instant mFrom{};
  instant mUntil{};
};

/** One job of a caller, who may send it several times. */
struct job_story
{
  job::submission mSubmission;
  std::vector<duration> mRunTimes; ///< By task.
  std::uint32_t mTimesSent = 0;
  std::uint32_t mTimesRefused = 0; ///< Answers that say "not run".
  std::uint32_t mRuns = 0;
  std::set<std::uint32_t> mDone; ///< Tasks with an end done.
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
  bool mIsTaken = false;          ///< The entry has read it.
};

struct options
{
  std::uint64_t mSeed = 1;
  std::size_t mEntries = 3;
  std::size_t mAgents = 5;
};

/** Counters that show that a series was not empty. */
struct tally
{
  std::uint64_t mRuns = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mSentAgain = 0;
  std::uint64_t mStopped = 0;
  std::uint64_t mLapsed = 0;
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
                     std::optional<duration> aLeavesAfter = std::nullopt);
  /** Sends a job of random size now, and others until then. */
  void SubmitUntil(instant aEnd, duration aMeanGap);
  const job_story& Job(const std::string& aKey) const;

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
  std::vector<std::size_t> Running(const std::string& aKey) const;

  /** The first check that failed with the story of its task, or nothing. */
  const std::string& Broken() const { return mBroken; }
  const tally& Tally() const { return mTally; }

private:
  using action = std::function<void()>;
  struct timed
  {
    instant mAt;
    std::uint64_t mOrder;
    std::shared_ptr<action> mAction;
    bool operator>(const timed& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };
  /** A way that a message may go: when it arrives, or that it does not. */
  using arrival = std::optional<instant>;

  duration Latency() { return duration(Draw(200, 2'000)); }
  void Arrive(process& aTo, std::uint64_t aIncarnation, const action& aAction);
  void Deliver(process& aTo, std::uint64_t aIncarnation, const action& aAction);
  const cut* FindCut(const process& aFrom, const process& aTo, lane aLane);
  /** Whether a call can be sent at all: a connection must be open for it. */
  bool MayConnect(const process& aFrom, const process& aTo, lane aLane);
  arrival Travel(const process& aFrom, const process& aTo, lane aLane);
  struct outgoing
  {
    process* mFrom = nullptr;
    process* mTo = nullptr;
    lane mLane = lane::Other;
    std::function<action()> mServe;
    std::function<void(bool aDelivered)> mFailed;
  };
  /** One call with its reply; it may arrive after its deadline. */
  void Call(outgoing aCall);
  void Transmit(const outgoing& aCall);
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
  void Register(std::size_t aIndex, std::uint64_t aLife);
  void SendToTarget(agent_process& aAgent, const lease::call& aCall);
  /** Takes what is the first to settle a call. */
  using settler = std::function<void(const action& aReply)>;
  settler SettleOnce(agent_process& aAgent, bool aHoldsThread);
  /** When a target carries a call out, if ever, and whether it answers. */
  struct fate
  {
    arrival mArrivesAt;
    bool mIsAnswered = true;
  };
  fate DrawFate(std::size_t aTarget, std::size_t aKind);
  template<typename Wire>
  void CallTarget(agent_process& aAgent, const Wire& aCall);
  void NextCall(agent_process& aAgent, std::uint64_t aIncarnation);
  /** A call that has reached a target, and its way back. */
  struct served
  {
    std::size_t mTarget = 0;
    instant mAskedAt{};
    std::uint64_t mLife = 0;
    std::function<void(const action& aReply)> mReply;
  };
  /** Whether the target still is the process that has the call. */
  bool IsThere(const served& aCall) const;
  void Serve(const served& aServed, const lease::start_call& aCall);
  void Serve(const served& aServed, const lease::stop_call& aCall);
  void Serve(const served& aServed, const lease::renew_call& aCall);
  void AnswerRenewal(const served& aServed,
                     const lease::renew_call& aCall,
                     instant aUntil);
  void Fail(agent_process& aAgent, const lease::start_call&, bool, instant);
  void Fail(agent_process&, const lease::stop_call&, bool, instant) {}
  void Fail(agent_process& aAgent, const lease::renew_call&, bool, instant);
  void TakeChanges(std::size_t aIndex, const std::vector<run_change>& aChanges);
  void WatchTarget(std::size_t aIndex);

  // Callers and checks; see leased_world_callers.cpp.
  void Send(const std::string& aKey,
            std::size_t aEntry,
            std::optional<duration> aLeavesAfter);
  void TakeRequest(entry_process& aEntry, std::uint64_t aToken);
  void Leave(std::uint64_t aToken);
  void SendAgain(const std::string& aKey);
  void TakeAnswer(const request& aRequest, const core::job_answer& aAnswer);
  void BreakConnections(std::size_t aEntry);
  void CheckStart(std::size_t aTarget, const run_change& aChange);
  void CheckRefused(const std::string& aKey);
  /** Milliseconds since the start, for histories. */
  std::string Stamp() const;
  void Note(const std::string& aKey, const std::string& aText);
  void NoteFault(const std::string& aText);
  void Break(const std::string& aWhat, const std::string& aKey);

  void DrawSeries(instant aFrom, instant aEnd);
  action DrawFault();
  action DrawCut();
  action DrawProcessFault(std::uint64_t aKind);
  action DrawTargetFault();
  std::set<std::size_t> DrawSome(std::size_t aCount);

  options mOptions;
  std::mt19937_64 mRandom;
  instant mNow = kStart;
  std::uint64_t mOrder = 0;
  std::priority_queue<timed, std::vector<timed>, std::greater<>> mEvents;
  std::vector<entry_process> mEntries;
  std::vector<agent_process> mAgents;
  std::vector<fake_target> mTargets;
  std::vector<target_fault> mTargetFaults;
  std::vector<instant> mWatchedAt; ///< By target: its next change, as planned.
  std::vector<cut> mCuts;
  std::map<std::string, membership::member_row> mRows;
  std::map<std::string, job_story> mJobs;
  std::map<std::uint64_t, request> mRequests; ///< By token.
  std::uint64_t mNextToken = 1;
  /** Targets that run each task now. */
  std::map<core::task_ref, std::multiset<std::size_t>> mActive;
  std::vector<std::string> mFaultNotes;
  tally mTally;
  std::string mBroken;
};

} // namespace gooseberry::leased_world
