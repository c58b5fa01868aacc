#pragma once

#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/entry/entry_control.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/**
 * What the simulated worlds share: virtual time, scheduled actions, and
 * processes that run the control functions of the programs.
 */
namespace gooseberry::simulation {

using core::duration;
using core::instant;

/** Start of the virtual time. */
inline constexpr instant kStartTime{ std::chrono::seconds(1000) };

/** State that entry and agent processes share. */
struct process
{
  std::size_t mIndex = 0; ///< Among the processes of its kind.
  std::string mName;
  std::uint64_t mIncarnation = 0;
  bool mAlive = false;
  instant mStartedAt{};
  instant mFrozenUntil{};
  instant mSlowUntil{};
  duration mMaxInputDelay{}; ///< While the process is slow.
};

struct entry_process : process
{
  std::unique_ptr<entry::entry_control> mControl;
};

struct agent_process : process
{
  std::unique_ptr<agent::agent_control> mControl;
};

/** Kinds of calls between processes, each with own connections. */
enum class channel : std::uint8_t
{
  Start,
  Cancel,
  Announce,
  Finish,
  Other,
};

/** Runs scheduled actions in virtual time; a world derives from it. */
class environment
{
public:
  using action = std::function<void()>;

  environment(const environment&) = delete;
  environment& operator=(const environment&) = delete;
  virtual ~environment() = default;

  instant Now() const { return mNow; }
  /** Runs all actions of this time; ends early when the world has ended. */
  void RunFor(duration aTime);
  /** Schedules an action; actions of one time run in the order scheduled. */
  void At(instant aWhen, action aAction);

  entry_process& Entry(std::size_t aIndex) { return mEntries[aIndex]; }
  agent_process& Agent(std::size_t aIndex) { return mAgents[aIndex]; }

protected:
  using entry_step = std::function<void(entry::effects&)>;
  using agent_step = std::function<void(agent::effects&)>;

  environment(std::uint64_t aSeed, std::size_t aEntries, std::size_t aAgents);

  /** Returns whether no more actions are to run. */
  virtual bool HasEnded() const { return false; }
  /** Returns when a frozen process handles a message that waits for it. */
  virtual instant DrawWakeTime(const process& aFrozen);
  /** Draws the time that a message takes. */
  virtual duration Latency() = 0;
  /** Returns whether calls of a process reach the store now. */
  virtual bool ReachesStore(const process&) const { return true; }
  /** Takes a step of a process and carries out its effects. */
  virtual void WithEntry(entry_process& aEntry, const entry_step& aStep) = 0;
  virtual void WithAgent(agent_process& aAgent, const agent_step& aStep) = 0;

  /** Marks a process as started now, with a new incarnation. */
  void Activate(process& aProcess);
  /** Runs an action at a process, after its freeze, unless it was killed. */
  void Deliver(process& aTo, std::uint64_t aIncarnation, const action& aAction);
  /** Delivers an action with the delays of its receiver. */
  virtual void Arrive(process& aTo,
                      std::uint64_t aIncarnation,
                      const action& aAction);
  struct outgoing_call
  {
    process* mFrom = nullptr;
    process* mTo = nullptr; ///< Null if no process has the address.
    channel mChannel = channel::Other;
    /** Runs at the receiver; returns the action that handles the reply. */
    std::function<action()> mServe;
    std::function<void(bool aDelivered)> mFailed;
  };
  /** A call under way. Its first outcome reaches the caller, no later one. */
  struct open_call
  {
    outgoing_call mCall;
    std::uint64_t mCaller = 0; ///< Incarnation.
    bool mIsSettled = false;
  };
  using open_call_ptr = std::shared_ptr<open_call>;
  /** Makes a call; request and reply are subject to faults. */
  virtual void Call(outgoing_call aCall) = 0;
  static open_call_ptr Open(outgoing_call aCall);
  void ReplyAt(instant aWhen, const open_call_ptr& aCall, const action& aReply);
  void FailAfter(duration aTime, const open_call_ptr& aCall, bool aDelivered);
  /** Calls the store; `aServe` returns the action that handles the reply. */
  void CallStore(process& aFrom,
                 const std::function<action()>& aServe,
                 const action& aFailed);
  /** Ticks a process every `aPeriod` until it is killed. */
  void TickEntry(entry_process& aEntry,
                 std::uint64_t aIncarnation,
                 duration aPeriod);
  void TickAgent(agent_process& aAgent,
                 std::uint64_t aIncarnation,
                 duration aPeriod);
  /** Returns the process with this address, or null. */
  entry_process* EntryAt(const std::string& aAddress);
  agent_process* AgentAt(const std::string& aAddress);

  std::vector<membership::member_row> StoredRows() const;
  // Effects that the worlds carry out alike.
  void Do(entry_process& aFrom, const entry::send_start& aEffect);
  void Do(entry_process& aFrom, const entry::send_heartbeat& aEffect);
  void Do(entry_process& aFrom, const entry::read_members& aEffect);
  void Do(entry_process& aFrom, const entry::write_member& aEffect);
  void Do(entry_process& aFrom, const entry::delete_member& aEffect);
  void Do(entry_process& aFrom, const entry::read_configuration& aEffect);
  void Do(agent_process& aFrom, const agent::send_finish& aEffect);
  void Do(agent_process& aFrom, const agent::send_load_report& aEffect);
  void Do(agent_process& aFrom, const agent::read_rows& aEffect);
  void Do(agent_process& aFrom, const agent::read_configuration& aEffect);

  std::mt19937_64 mRandom;
  instant mNow = kStartTime;
  std::vector<entry_process> mEntries;
  std::vector<agent_process> mAgents;
  // The store.
  std::map<std::string, membership::member_row> mRows;
  entry::configuration_row mStored;

private:
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

  std::uint64_t mOrder = 0;
  std::priority_queue<scheduled_action,
                      std::vector<scheduled_action>,
                      std::greater<>>
    mEvents;
};

} // namespace gooseberry::simulation
