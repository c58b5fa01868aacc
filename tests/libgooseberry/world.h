#pragma once

#include "simulation.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * Simulates entries, agents, targets and the platform's table in one thread,
 * on a fake clock and from one seed. It calls the same functions as the
 * daemons. Messages are lost, delayed, duplicated and reordered; processes are
 * paused, killed and restarted.
 */
namespace gooseberry::world {

using core::duration;
using core::instant;
using simulation::agent_process;
using simulation::channel;
using simulation::entry_process;
using simulation::process;

inline constexpr const char* kDomains[] = { "cluj", "brasov", "iasi" };

/** Returns the failure domain of a process. */
std::string
DomainOf(const process& aProcess);

/** Returns a configuration in which the failure domains `aOut` are out. */
std::string
ConfigurationText(const std::set<std::string>& aOut);

/** Fault probabilities, from 0 to 1, for each message or task. */
struct faults
{
  double mLossRate = 0;
  double mDuplicationRate = 0;
  double mDelayRate = 0;
  duration mMaxDelay = std::chrono::seconds(3);
  double mTaskFailureRate = 0; ///< Failures that the target reports.
};

struct options
{
  std::uint64_t mSeed = 1;
  std::size_t mEntries = 3;
  std::size_t mAgents = 3;
  std::uint32_t mSlots = 2;
  faults mFaults;
  bool mTrustFirstAttempt = true;
  /** Bounds of the uniformly drawn run times of tasks. */
  duration mMinRunTime = std::chrono::milliseconds(20);
  duration mMaxRunTime = std::chrono::milliseconds(200);
};

/** A task start at a target. */
struct start_record
{
  core::task_ref mTask;
  std::uint32_t mTry = 0;
  std::string mDomain;
  instant mStartedAt{};
  bool mFailed = false; ///< The target reported a failure.
  instant mEndedAt{};
};

/** A submission and, once it is answered, its answer. */
struct answer_record
{
  std::string mJob;
  std::uint32_t mAttempt = 0;
  instant mRecordedAt{}; ///< Of the submission, later of the answer.
  core::job_answer mAnswer;
};

/** A period in which a domain is out. It begins with the operator's answer. */
struct domain_out_period
{
  std::string mDomain;
  instant mFrom{};
  instant mUntil = instant::max();
};

class cluster final : public simulation::environment
{
public:
  explicit cluster(const options& aOptions);

  // Actions of callers and operators.
  void Submit(std::size_t aEntry,
              const std::string& aJob,
              std::uint32_t aAttempt,
              std::size_t aTasks,
              bool aIdempotent,
              duration aDeadline = std::chrono::seconds(20));
  void SetDomain(std::size_t aEntry, const std::string& aDomain, bool aIn);

  // Faults.
  void KillEntry(std::size_t aIndex);
  void StartEntry(std::size_t aIndex);
  void KillAgent(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);
  void PauseEntry(std::size_t aIndex, duration aTime);
  void PauseAgent(std::size_t aIndex, duration aTime);
  void CutEntries(std::size_t aLeft, std::size_t aRight, bool aCut);
  void CutFromStore(std::size_t aEntry, bool aCut);
  void SetStore(bool aUp) { mStoreUp = aUp; }
  void SetFaults(const faults& aFaults) { mOptions.mFaults = aFaults; }

  /** Returns the first violated guarantee, or an empty text. */
  std::string Check() const;

  const std::vector<start_record>& Starts() const { return mStarts; }
  const std::vector<answer_record>& Answers() const { return mAnswers; }
  std::size_t CountAnswers(core::job_outcome aOutcome) const;
  /** Returns the number of changes that were reported as applied. */
  std::size_t AcceptedChanges() const { return mAccepted; }

private:
  bool Chance(double aProbability);
  duration Latency() override;
  bool ReachesStore(const process& aFrom) const override;
  void Call(outgoing_call aCall) override;

  void WithEntry(entry_process& aEntry, const entry_step& aStep) override;
  void WithAgent(agent_process& aAgent, const agent_step& aStep) override;
  /** Checks that the generation that a process knows never decreases. */
  void CheckGeneration(const process& aProcess, core::generation aNow);
  void Run(entry_process& aEntry, const entry::effects& aEffects);
  void Run(agent_process& aAgent, const agent::effects& aEffects);
  void RegisterTarget(std::size_t aIndex, std::uint64_t aIncarnation);
  void StartTask(agent_process& aAgent, const agent::run_task& aEffect);

  using environment::Do;
  void Do(entry_process& aFrom, const entry::send_cancel& aEffect);
  void Do(entry_process& aFrom, const entry::send_fence& aEffect);
  void Do(entry_process& aFrom, const entry::send_locate& aEffect);
  void Do(entry_process& aFrom, const entry::send_deliver& aEffect);
  void Do(entry_process& aFrom, const entry::copy_promises& aEffect);
  void Do(entry_process& aFrom, const entry::push_configuration& aEffect);
  void Do(entry_process& aFrom, const entry::write_configuration& aEffect);
  void Do(entry_process& aFrom, const entry::answer_caller& aEffect);
  void Do(entry_process& aFrom, const entry::answer_operator& aEffect);
  void Do(entry_process& aFrom, const entry::log_line& aEffect);
  void Do(entry_process&, const entry::drained&) {}

  void Do(agent_process& aFrom, const agent::run_task& aEffect);
  void Do(agent_process& aFrom, const agent::copy_fences_from& aEffect);
  void Do(agent_process& aFrom, const agent::write_row& aEffect);
  void Do(agent_process&, const agent::call_target&) {}
  void Do(agent_process&, const agent::left&) {}
  void Do(agent_process&, const agent::log_event&) {}

  bool IsCut(const process& aLeft, const process& aRight) const;

  /** Prints a decision if GOOSEBERRY_TRACE is set in the environment. */
  void Trace(const std::string& aProcess, const entry::log_line& aLine) const;
  std::string CheckStarts() const;
  std::string CheckDomains() const;
  /** Returns whether a start may belong to an attempt after `aAnswer`. */
  bool IsLaterAttempt(const answer_record& aAnswer, instant aStart) const;
  std::string CheckAnswers() const;

  options mOptions;
  std::set<std::string> mCuts; ///< `a|b` with sorted names, or `store|a`.
  bool mStoreUp = true;
  /** By the name of a process: the last generation that it knew. */
  std::map<std::string, core::generation> mGenerationsSeen;
  std::uint64_t mNextToken = 1;
  std::map<std::uint64_t, answer_record> mPendingSubmissions; ///< By token.
  struct domain_change
  {
    std::string mDomain;
    bool mIn = true;
  };
  /** Records the domains that the stored configuration has in. */
  void RecordStoredDomains();
  std::map<std::string, core::generation> mLastInGeneration; ///< By domain.
  std::map<std::uint64_t, domain_change> mChanges;           ///< By token.
  std::size_t mAccepted = 0;
  std::vector<domain_out_period> mOutPeriods;
  std::vector<start_record> mStarts;
  std::vector<answer_record> mAnswers;
  std::vector<answer_record> mSubmissions; ///< In the order sent.
  std::string mViolation;                  ///< Found during the run.
};

} // namespace gooseberry::world
