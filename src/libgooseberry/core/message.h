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
 * Messages between entries and agents, as plain structs. Adapters convert them
 * to and from Thrift; a test harness passes them on directly. Every call has a
 * reply, is idempotent, and may be lost, delayed or repeated.
 */
namespace gooseberry::core {

/** State of one target as its agent reports it. */
struct target_load
{
  std::string mName;
  std::vector<std::string> mServices;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  /** Failures reported by the target since its last success. */
  std::uint32_t mConsecutiveFailures = 0;
  bool mLeaving = false;
  /** All zero: only the number of slots limits what may run. */
  resources mCapacity{};
  /** Part of the capacity used by tasks that run or are being stopped. */
  resources mUsed{};

  bool operator==(const target_load&) const = default;
};

/** State that an agent sends with each of its messages. */
struct agent_state
{
  peer_ref mAgent;
  std::string mAddress;
  std::string mFailureDomain;
  std::string mRack;
  generation mGeneration = 0;
  /** Clock of the agent at sending. A start must echo a recent timestamp. */
  instant mTimestamp{};
  bool mOpen = false;    ///< Has joined and accepts starts.
  bool mLeaving = false; ///< Accepts no new starts.
  std::vector<target_load> mTargets;
  /** The agent reads newer configurations itself: replies include only short
   * ones. */
  bool mReadsConfiguration = false;
  std::uint64_t mDigest = 0; ///< Of its configuration; 0: unknown.
  /** Jobs with a start that its target has not answered: it may yet be carried
   * out, also by the target's next process and without this agent. */
  std::vector<std::string> mJobsInDoubt;
};

/** Text of an accepted configuration, with its generation. */
struct versioned_configuration
{
  generation mGeneration = 0;
  std::string mText;
};

/** Request to start one task. */
struct task_start
{
  task_ref mTask;
  /** 1 for the first try; incremented after each definite failure. */
  std::uint32_t mTry = 1;
  ballot mBallot;
  /** Incremented each time the home entry sends the task to an agent. */
  std::uint32_t mPlacement = 0;
  std::string mService;
  std::string mKind;
  std::string mTarget;
  std::string mPayload;
  /** In the queue of a target, smaller values start first. */
  std::int64_t mPriority = 0;
  /**
   * Whether the task may wait at the target; otherwise it is refused where no
   * slot is free.
   */
  bool mMayQueue = true;
  resources mNeeds{};
};

/** Entry to agent: starts these tasks. */
struct start_batch
{
  peer_ref mEntry;
  std::string mEntryAddress;
  std::uint64_t mAgentIncarnation = 0;
  instant mAgentTimestamp{}; ///< Last timestamp received from the agent.
  generation mGeneration = 0;
  bool mBacklog = false; ///< The entry has tasks that found no free slot.
  /**
   * Priority of the first of those tasks; comparable with
   * `task_start::mPriority`.
   */
  std::int64_t mBacklogPriority = 0;
  std::vector<task_start> mStarts;
};

/**
 * Answer of an agent to one start. Only with the first two does the task run.
 */
enum class start_verdict : std::uint8_t
{
  Accepted,         ///< Started or queued, by this or an earlier copy.
  AlreadyStarted,   ///< Started under another ballot; its result will follow.
  Busy,             ///< No free slot and no space in the queue.
  Fenced,           ///< A higher ballot holds the job.
  DomainOut,        ///< The agent's failure domain is out of service.
  Stale,            ///< Echoed timestamp too old, or the agent is disconnected.
  NoTarget,         ///< The target is unknown or does not provide the service.
  Leaving,          ///< The target or the agent accepts no new starts.
  WrongIncarnation, ///< Addressed to another run of the agent.
  NotOpen,          ///< The agent has not joined yet.
  Cancelled,        ///< The job was cancelled while the start waited or was in
                    ///< transit.
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
  std::vector<start_verdict> mVerdicts; ///< One per start, in the same order.
};

/** How a task ended. */
enum class task_end : std::uint8_t
{
  Succeeded,
  Failed,   ///< The target reported a definite failure.
  Returned, ///< Not started under this placement, and never will be.
  Unknown,  ///< Started; it is not known whether it completed.
  Lost,     ///< Ended because its target or lease was lost.
};
inline constexpr enum_names<task_end, 5> kTaskEndNames{
  { "succeeded", "failed", "returned", "unknown", "lost" }
};

struct task_result
{
  task_ref mTask;
  std::uint32_t mTry = 1;
  /** Of the start that the result answers; from agents that do not name it yet,
   * all zero. Under leases, an entry takes only results of its own starts. */
  ballot mBallot;
  std::uint32_t mPlacement = 0; ///< Of the same start.
  task_end mEnd = task_end::Succeeded;
  start_verdict mReturnReason =
    start_verdict::Accepted; ///< Why it was returned.
  std::string mTarget;
  std::string mKind;
  duration mRunTime{};
  std::string mPayload; ///< Answer of the target, or the error text.
};

/**
 * Agent to entry: these tasks ended. Kept and sent again until acknowledged.
 */
struct finish_batch
{
  agent_state mState;
  std::vector<task_result> mResults;
};

/** Entry to agent: reply to a finish or a load report. */
struct entry_reply
{
  peer_ref mEntry;
  generation mGeneration = 0;
  std::uint64_t mDigest = 0; ///< Of its configuration; 0: unknown.
  /**
   * Time since the entry's last contact that confirms its configuration as the
   * newest; none where it is disconnected.
   */
  std::optional<duration> mLastContactAge;
  /** Set where the caller's generation is older, and the text is short or the
   * caller does not read it itself. */
  std::optional<versioned_configuration> mConfiguration;
  /** Names and addresses of the entries known to the sender. */
  std::map<std::string, std::string> mEntries;
  /** Jobs that the entry abandoned and the agent has not confirmed yet. */
  std::vector<std::string> mCancelled;
  /** Version of the table service at which its configuration was last read to
   * be the newest one, by whichever process; 0: unknown. */
  generation mConfirmedGeneration = 0;
};

/**
 * Entry to agent: drops the queued tasks of these jobs. Running tasks under a
 * lease are stopped; other running tasks finish.
 */
struct cancel_batch
{
  peer_ref mEntry;
  std::vector<std::string> mJobs;
  std::string mEntryAddress{};
};

/** Entry to agent: accepts starts of this job only from `mBallot` upwards. */
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
  ResultDropped, ///< Finished; its result was dropped to free space.
};
inline constexpr enum_names<record_state, 3> kRecordStateNames{
  { "running", "finished", "result_dropped" }
};

/** A task that the agent has started. */
struct started_task
{
  record_state mState = record_state::Running;
  task_result mResult; ///< Until finished, only task, try and target.
};

struct fence_reply
{
  peer_ref mAgent;
  std::string mJob;
  ballot mBallot;      ///< The ballot in force; if above the requested one, the
                       ///< request is refused.
  std::string mHolder; ///< Address of the entry that holds the ballot.
  std::vector<started_task> mStarted;
};

/**
 * Highest ballot promised for a job, and the ballot's holder. A joining peer
 * copies all promises of an open one.
 */
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

/**
 * Entry to entry: asks for the home of a job. The receiver promises the ballot.
 */
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
  Unknown,         ///< Job not known here; the ballot is promised.
  Home,            ///< This entry is the home and will deliver the outcome.
  HigherBallot,    ///< A higher ballot is known; see `mHolder`.
  ContentMismatch, ///< The job is known with different content.
  Started,         ///< No longer the home; may have started tasks of it.
};
inline constexpr enum_names<locate_verdict, 5> kLocateVerdictNames{
  { "unknown", "home", "noted", "different", "started" }
};

struct locate_reply
{
  peer_ref mEntry;
  std::string mJob;
  locate_verdict mVerdict = locate_verdict::Unknown;
  /**
   * The requested ballot with `Unknown` and `Started`; otherwise the highest
   * known.
   */
  ballot mBallot;
  std::string mHolder; ///< Name of the entry that holds the highest ballot.
};

struct copy_promises_reply
{
  peer_ref mEntry;
  bool mOpen = false;
  /** Here `mHolder` is the name of an entry. */
  std::vector<ballot_promise> mPromises;
};

/** Use of the quota of one team at one entry. */
struct team_use
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
};

/** Entry to entry, periodic; the reply is also a heartbeat. */
struct heartbeat
{
  peer_ref mEntry;
  std::string mAddress;
  generation mGeneration = 0;
  std::uint64_t mDigest = 0; ///< Of its configuration; 0: unknown.
  std::map<std::string, team_use> mTeams;
  /** Set in a reply where the caller's generation is older, and the text is
   * short or the caller does not read it itself. */
  std::optional<versioned_configuration> mConfiguration;
  /** The sender reads newer configurations itself. */
  bool mReadsConfiguration = false;
  bool mLeaving = false;
  bool mBusy = false; ///< Its own processor is, or recently was, overloaded.
  std::string mFailureDomain;
  /** Processor time available to it, in thousandths of a core; 0: unknown. */
  std::uint32_t mMillicores = 0;
  /** Submissions to the sender, as a moving average. None: from a version that
   * does not tell it. */
  std::optional<double> mJobsPerSecond;
  /**
   * Time since the call was sent that last confirmed the sender's configuration
   * to be the newest one. None: no call has, or from a version that does not
   * tell it.
   */
  std::optional<duration> mEvidenceAge;
  /** Version of the table service at which the sender's configuration was last
   * read to be the newest one, by whichever process; 0: unknown. */
  generation mConfirmedGeneration = 0;
  /**
   * Agents that the sender was in contact with within the freshness bound, with
   * the generation that each reported. Empty under leases.
   */
  std::map<std::string, generation> mAgents;
};

/** How a job ended. */
enum class job_outcome : std::uint8_t
{
  Complete,
  Failed,
  NotRun, ///< No task was started, and none will be under this submission.
};
inline constexpr enum_names<job_outcome, 3> kJobOutcomeNames{
  { "complete", "failed", "not_run" }
};

/** Answer to a submission. */
struct job_answer
{
  std::string mJob;
  job_outcome mOutcome = job_outcome::Failed;
  std::vector<std::string> mResults; ///< In task order; set only when complete.
  std::string mReason;
  std::string mStep;
  std::string mPeer;
  std::optional<duration> mRetryAfter;
  std::uint32_t mStatus = 200; ///< HTTP status.
};

/** Home entry to an attached entry: delivers the outcome of ended jobs. */
struct deliver_request
{
  peer_ref mEntry;
  std::vector<job_answer> mAnswers;
};

} // namespace gooseberry::core
