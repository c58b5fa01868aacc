#pragma once

#include "leased_world_target.h"
#include "simulation.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/**
 * Simulates entries, agents and targets that run tasks under leases, in virtual
 * time and from one seed. It calls the same functions as the programs. Messages
 * are lost or delayed; processes are frozen, killed and restarted. Each start
 * at a target and each answer to a caller is checked at once.
 */
namespace gooseberry::leased_world {

using simulation::agent_process;
using simulation::channel;
using simulation::entry_process;
using simulation::process;

/** A start call of an agent that has no answer yet. */
struct open_start
{
  lease::start_call mCall;
  bool mIsSent = false;
};

/** Calls of an agent to its target. */
struct target_calls
{
  /** Starts and stops that wait for a free thread. */
  std::deque<std::function<void()>> mQueuedCalls;
  std::size_t mRunningCalls = 0;
  std::map<std::uint64_t, open_start> mOpenStarts; ///< By id.
};

/** A time in which a target leaves calls unanswered. */
struct target_fault
{
  instant mUntil{};
  double mUnansweredShare = 0;          ///< From 0 to 1.
  std::optional<std::size_t> mOnlyKind; ///< Index in `lease::call`; else all.
  bool mIsDropped = false; ///< Unanswered calls are not carried out.
};

/** A time in which a target, running or not, cannot be reached. */
struct target_cut
{
  instant mUntil{};
  /** Connections are refused; else calls wait and are carried out after it. */
  bool mRefuses = false;
};

/** A network cut: messages of some directions do not arrive for a time. */
struct cut
{
  std::set<std::pair<std::string, std::string>> mFromTo;
  std::optional<channel> mChannel; ///< Calls of this kind, both ways; else all.
  bool mIsHeld = false; ///< Messages arrive after the cut; else they are lost.
  instant mFrom{};
  instant mUntil{};
};

/** A job of a caller, who may send it several times. */
struct job_record
{
  job::submission mSubmission;
  std::vector<duration> mRunTimes; ///< By task.
  std::uint32_t mSendCount = 0;
  std::uint32_t mRefusalCount = 0; ///< Answers that say "not run".
  std::uint32_t mRunCount = 0;
  std::set<std::uint32_t> mSucceededTasks; ///< By index.
  bool mIsComplete = false;
  std::vector<std::string> mHistory;
};

/** A request that waits for its answer. */
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
  /** The agents are of the version before: their results name no start. */
  bool mOldAgents = false;
};

/** Counts of events, which show that a case had an effect. */
struct counters
{
  std::uint64_t mRuns = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mResent = 0;
  std::uint64_t mStopped = 0;
  std::uint64_t mExpired = 0;
};

/** A simulated world; it ends at the first failed check. */
class world final : public simulation::environment
{
public:
  explicit world(const options& aOptions);

  std::uint64_t Draw(std::uint64_t aFirst, std::uint64_t aLast);
  duration Milliseconds(std::uint64_t aFirst, std::uint64_t aLast);
  bool Chance(double aProbability);

  // Callers.
  /** Sends a new job to an entry and returns its key. */
  std::string Submit(std::size_t aEntry,
                     std::vector<duration> aRunTimes,
                     duration aDeadline,
                     std::optional<duration> aDisconnectAfter = std::nullopt);
  /** Sends random jobs from now until `aEnd`. */
  void SubmitUntil(instant aEnd, duration aMeanGap);
  const job_record& Job(const std::string& aKey) const;

  // Faults.
  void Cut(cut aCut);
  /** Returns a cut of the directions between these entries and agents. */
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
  /** Cuts a target off; what runs there runs on. */
  void CutTarget(std::size_t aIndex, duration aTime, bool aRefuses);
  /** Restarts a target, silent meanwhile, and cuts it off soon after. */
  void RestartAndCutTarget(std::size_t aIndex, bool aRefuses);
  /** Schedules overlapping series of random faults until `aEnd`. */
  void DrawFaults(instant aEnd);

  /** Returns the targets that run a task of the job now. */
  std::vector<std::size_t> TargetsRunning(const std::string& aKey) const;

  /** Returns the first failed check with the history of its job, or "". */
  const std::string& Violation() const { return mViolation; }
  const counters& Counters() const { return mCounters; }

private:
  /** When a message arrives; none if it is lost. */
  using arrival_time = std::optional<instant>;

  bool HasEnded() const override { return !mViolation.empty(); }
  instant DrawWakeTime(const process& aFrozen) override;
  duration Latency() override { return duration(Draw(200, 2'000)); }
  /** Delivers an action with the delay of a slow process. */
  void Arrive(process& aTo,
              std::uint64_t aIncarnation,
              const action& aAction) override;
  const cut* FindCut(const process& aFrom,
                     const process& aTo,
                     channel aChannel);
  /** Returns whether a connection for a call is open or can be opened. */
  bool CanConnect(const process& aFrom, const process& aTo, channel aChannel);
  arrival_time DrawArrival(const process& aFrom,
                           const process& aTo,
                           channel aChannel);
  /** Makes a call. Request and reply may arrive after the call's deadline. */
  void Call(outgoing_call aCall) override;
  void Transmit(const outgoing_call& aCall);

  void WithEntry(entry_process& aEntry, const entry_step& aStep) override;
  void WithAgent(agent_process& aAgent, const agent_step& aStep) override;
  void StartEntry(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);

  using environment::Do;
  void Do(entry_process& aFrom, const entry::send_cancel& aEffect);
  void Do(entry_process& aFrom, const entry::answer_caller& aEffect);
  void Do(entry_process& aFrom, const entry::log_line& aEffect);
  template<typename Effect>
  void Do(entry_process&, const Effect&)
  {
  }
  void Do(agent_process& aFrom, const agent::call_target& aEffect);
  void Do(agent_process& aFrom, const agent::send_finish& aEffect);
  void Do(agent_process& aFrom, const agent::log_event& aEffect);
  template<typename Effect>
  void Do(agent_process&, const Effect&)
  {
  }

  // Targets; see leased_world_runs.cpp.
  void StartTarget(std::size_t aIndex);
  void Register(std::size_t aIndex, std::uint64_t aTargetIncarnation);
  void SendToTarget(agent_process& aAgent, const lease::call& aCall);
  /** Answers at the agent, which takes in events with its usual delay. */
  void Withdraw(agent_process& aAgent, const lease::withdraw_call& aCall);
  /** Returns whether the call is sent now; a withdrawn start is not. */
  bool BeginSending(const agent_process& aAgent, const lease::call& aCall);
  /** Runs the first action that it gets and ignores the later ones. */
  using settler = std::function<void(const action& aReply)>;
  settler SettleOnce(agent_process& aAgent, bool aHoldsThread);
  /** When a target carries out a call, if ever, and whether it answers. */
  struct call_outcome
  {
    arrival_time mArrivesAt;
    bool mIsAnswered = true;
  };
  call_outcome DrawCallOutcome(std::size_t aTarget, std::size_t aKind);
  bool IsCutOff(std::size_t aTarget) const;
  /** Returns whether a connection to the target is refused. */
  bool IsRefused(std::size_t aTarget) const;
  template<typename Wire>
  void CallTarget(agent_process& aAgent, const Wire& aCall);
  void StartNextCall(agent_process& aAgent, std::uint64_t aIncarnation);
  /** A call that has reached a target, and how to reply to it. */
  struct received_call
  {
    std::size_t mTarget = 0;
    instant mSentAt{};
    std::uint64_t mTargetIncarnation = 0;
    std::function<void(const action& aReply)> mReply;
  };
  /** Carries out a call that has arrived; without an answer, it waits for the
   * target's next process while there is none. */
  template<typename Wire>
  void CarryOut(const received_call& aCall,
                const Wire& aWire,
                bool aIsAnswered);
  /** Returns whether the target has not restarted since the call was sent. */
  bool IsSameProcess(const received_call& aCall) const;
  void Serve(const received_call& aReceived, const lease::start_call& aCall);
  void Serve(const received_call& aReceived, const lease::stop_call& aCall);
  void Serve(const received_call& aReceived, const lease::renew_call& aCall);
  void AnswerRenewal(const received_call& aReceived,
                     const lease::renew_call& aCall,
                     instant aUntil);
  /** Returns whether a start has waited too long to be sent. */
  bool IsTooLateToSend(const lease::call& aCall) const;
  /** Answers a start that is too late to be sent. */
  void Expire(agent_process& aAgent, const lease::call& aCall);
  /** Gives the agent an answer that is not the target's. */
  void AnswerStart(agent_process& aAgent,
                   const lease::start_call& aCall,
                   lease::start_answer aAnswer);
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
  /** Returns the milliseconds since the start, for histories. */
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
  std::vector<target_calls> mCalls; ///< By agent.
  std::vector<fake_target> mTargets;
  std::vector<target_fault> mTargetFaults;
  std::vector<target_cut> mTargetCuts;
  /** By target: the time of its next scheduled change. */
  std::vector<instant> mScheduledChange;
  std::vector<cut> mCuts;
  std::map<std::string, job_record> mJobs;
  std::map<std::uint64_t, request> mRequests; ///< By token.
  std::uint64_t mNextToken = 1;
  /** By task: the targets that run it now. */
  std::map<core::task_ref, std::multiset<std::size_t>> mActive;
  std::vector<std::string> mFaultHistory;
  counters mCounters;
  std::string mViolation;
};

} // namespace gooseberry::leased_world
