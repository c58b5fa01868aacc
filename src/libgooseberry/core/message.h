#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/resources.h"
#include "libgooseberry/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * The messages between entries and agents, as plain structs. The adapters
 * translate them to and from Thrift; a harness passes them on directly.
 * Every call has a reply, may be lost, late or repeated, and is idempotent.
 */
namespace gooseberry::core {

/** One target as its agent sees it. */
struct target_load
{
  std::string mName;
  std::vector<std::string> mServices;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  /** Failures that the target reported since its last success. */
  std::uint32_t mConsecutiveFailures = 0;
  bool mLeaving = false;
  /** All zero: only the slots bound what may run. */
  resources mCapacity{};
  /** Of the capacity, taken by what runs or is being stopped. */
  resources mUsed{};

  bool operator==(const target_load&) const = default;
};

/** What an agent says of itself in each of its messages. */
struct agent_state
{
  peer_ref mAgent;
  std::string mAddress;
  std::string mFailureDomain;
  std::string mRack;
  generation mGeneration = 0;
  /** The agent's own clock; a start must echo a recent one. */
  instant mTimestamp{};
  bool mOpen = false;    ///< Joined: accepts starts.
  bool mLeaving = false; ///< Takes nothing new.
  std::vector<target_load> mTargets;
};

/** Configuration text as accepted, with its generation. */
struct versioned_configuration
{
  generation mGeneration = 0;
  std::string mText;
};

/** One task to be started. */
struct task_start
{
  task_ref mTask;
  /** 1 for the first; one more after each definite failure. */
  std::uint32_t mTry = 1;
  ballot mBallot;
  /** Grows with each time the home entry sends the task somewhere. */
  std::uint32_t mPlacement = 0;
  std::string mService;
  std::string mKind;
  std::string mTarget;
  std::string mPayload;
  /** Smaller starts first where a target has a queue. */
  std::int64_t mPriority = 0;
  /** May wait at the target; else it is refused where no slot is free. */
  bool mMayQueue = true;
  resources mNeeds{};
};

/** Entry to agent: start these. */
struct start_batch
{
  peer_ref mEntry;
  std::string mEntryAddress;
  std::uint64_t mAgentIncarnation = 0;
  instant mAgentTimestamp{}; ///< The agent's own, last heard by the entry.
  generation mGeneration = 0;
  bool mBacklog = false; ///< The entry has tasks that found no free slot.
  /** Of the first of these; comparable with `task_start::mPriority`. */
  std::int64_t mBacklogPriority = 0;
  std::vector<task_start> mStarts;
};

/** What the agent did with one start. Only the first two mean that it runs. */
enum class start_verdict : std::uint8_t
{
  Accepted,         ///< Started or queued, now or by an earlier copy.
  AlreadyStarted,   ///< Started under another ballot; its result will come.
  Busy,             ///< No slot and no room in the queue.
  Fenced,           ///< A higher ballot holds the job.
  DomainOut,        ///< The agent's failure domain is out.
  Stale,            ///< Echoed stamp too old, or the agent is out of touch.
  NoTarget,         ///< No such target, or it does not serve this.
  Leaving,          ///< The target or the agent takes nothing new.
  WrongIncarnation, ///< Meant for another run of the agent.
  NotOpen,          ///< The agent has not joined yet.
  Cancelled,        ///< Its job was cancelled while it waited or was sent.
};
inline constexpr enum_names<start_verdict, 11> kStartVerdictNames{
  { "accepted",
    "already_started",
    "busy",
    "fenced",
    "domain_out",
    "stale",
    "no_target",
    "leaving",
    "wrong_incarnation",
    "not_open",
    "cancelled" }
};

struct start_reply
{
  agent_state mState;
  std::vector<start_verdict> mVerdicts; ///< One for each start, in order.
};

/** How a task ended. */
enum class task_end : std::uint8_t
{
  Succeeded,
  Failed,   ///< The target reported failure: a definite end.
  Returned, ///< Never started under this placement, and never will be.
  Unknown,  ///< Started; whether it ran to its end cannot be known.
  Lost, ///< Ended with its target or its lease, through no fault of its own.
};
inline constexpr enum_names<task_end, 5> kTaskEndNames{
  { "succeeded", "failed", "returned", "unknown", "lost" }
};

struct task_result
{
  task_ref mTask;
  std::uint32_t mTry = 1;
  std::uint32_t mPlacement = 0;
  task_end mEnd = task_end::Succeeded;
  start_verdict mReturnReason =
    start_verdict::Accepted; ///< Why it was returned.
  std::string mTarget;
  std::string mKind;
  duration mRunTime{};
  std::string mPayload; ///< The target's answer, or its error text.
};

/** Agent to entry: these ended. Held and repeated until acknowledged. */
struct finish_batch
{
  agent_state mState;
  std::vector<task_result> mResults;
};

/** Entry to agent, in answer to a finish or an announce. */
struct entry_reply
{
  peer_ref mEntry;
  generation mGeneration = 0;
  /**
   * Age of the entry's evidence that it knows the newest configuration; none
   * where it has lost touch.
   */
  std::optional<duration> mLastContactAge;
  /** Set where the caller's generation was older. */
  std::optional<versioned_configuration> mConfiguration;
  /** Names and addresses of the entries that this one knows. */
  std::map<std::string, std::string> mEntries;
  /** Jobs that the entry has given up, and the agent has not confirmed. */
  std::vector<std::string> mCancelled;
};

/** Entry to agent: drop these jobs' queued tasks; of the running ones, those
 * under leases are stopped, and others finish. */
struct cancel_batch
{
  peer_ref mEntry;
  std::vector<std::string> mJobs;
  std::string mEntryAddress{};
};

/** Entry to agent: from now on accept these jobs only from `mBallot` up. */
struct fence_request
{
  peer_ref mEntry;
  std::string mEntryAddress;
  std::string mJob;
  ballot mBallot;
};

enum class record_state : std::uint8_t
{
  Running,
  Finished,
  ResultDropped, ///< Finished; its result made room for others.
};
inline constexpr enum_names<record_state, 3> kRecordStateNames{
  { "running", "finished", "result_dropped" }
};

/** A task that this agent has started. */
struct started_task
{
  record_state mState = record_state::Running;
  task_result mResult; ///< Task, try and target; the rest once finished.
};

struct fence_reply
{
  peer_ref mAgent;
  std::string mJob;
  ballot mBallot;      ///< The ballot in force; above the asked one: refused.
  std::string mHolder; ///< Address of the entry that holds that ballot.
  std::vector<started_task> mStarted;
};

/** Everything a joining agent copies from one that is open. */
struct ballot_promise
{
  std::string mJob;
  ballot mBallot;
  std::string mHolder;
};

struct copy_fences_reply
{
  peer_ref mAgent;
  bool mOpen = false;
  std::vector<ballot_promise> mPromises;
};

/** Entry to entry: who has this job? The asked one notes the ballot. */
struct locate_request
{
  peer_ref mEntry;
  std::string mEntryAddress;
  std::string mJob;
  std::uint64_t mContentHash = 0;
  ballot mBallot;
};

enum class locate_verdict : std::uint8_t
{
  Unknown,         ///< Never seen here; the ballot is noted.
  Home,            ///< Has it; will deliver the outcome.
  HigherBallot,    ///< Knows of a higher ballot; see `mHolder`.
  ContentMismatch, ///< Has it with other content.
  Started,         ///< Has lost it, and may have started tasks of it.
};
inline constexpr enum_names<locate_verdict, 5> kLocateVerdictNames{
  { "unknown", "home", "noted", "different", "started" }
};

struct locate_reply
{
  peer_ref mEntry;
  std::string mJob;
  locate_verdict mVerdict = locate_verdict::Unknown;
  /** The asked one with `Unknown` and `Started`; else the highest known. */
  ballot mBallot;
  std::string mHolder; ///< Name of the entry behind the highest.
};

struct copy_promises_reply
{
  peer_ref mEntry;
  bool mOpen = false;
  std::vector<ballot_promise> mPromises; ///< `mHolder` is an entry's name here.
};

/** Use of one team's quota at one entry. */
struct team_use
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
};

/** Entry to entry, periodic; the reply has the same shape. */
struct heartbeat
{
  peer_ref mEntry;
  std::string mAddress;
  generation mGeneration = 0;
  std::map<std::string, team_use> mTeams;
  /** Set in a reply where the caller's generation was older. */
  std::optional<versioned_configuration> mConfiguration;
  bool mLeaving = false;
  bool mBusy = false; ///< Its own processor is used up, or was lately.
  std::string mFailureDomain;
  /** Processor time that it may use, in thousandths of a core; 0: unknown. */
  std::uint32_t mMillicores = 0;
  /**
   * Agents that the sender has heard within the freshness bound, with the
   * generation each of them said it has.
   */
  std::map<std::string, generation> mAgents;
};

/** How a job ended. */
enum class job_outcome : std::uint8_t
{
  Complete,
  Failed,
  NotRun, ///< No task was started and none will be under this submission.
};
inline constexpr enum_names<job_outcome, 3> kJobOutcomeNames{
  { "complete", "failed", "not_run" }
};

/** The answer to a submission. */
struct job_answer
{
  std::string mJob;
  job_outcome mOutcome = job_outcome::Failed;
  std::vector<std::string> mResults; ///< In task order; only when complete.
  std::string mReason;
  std::string mStep;
  std::string mPeer;
  std::optional<duration> mRetryAfter;
  std::uint32_t mStatus = 200; ///< Of HTTP.
};

/** Home entry to an attached entry: the job has ended. */
struct deliver_request
{
  peer_ref mEntry;
  std::vector<job_answer> mAnswers;
};

} // namespace gooseberry::core
