#pragma once

#include "common/run_record.h"
#include "target/faults.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberry::tools::target {

/** Name, addresses and size of one stand-in target. */
struct target_settings
{
  std::string mName;
  std::string mAddress;      ///< `ip:port` on which it serves.
  std::string mAgentAddress; ///< `ip:port` of the agent's HTTP side.
  std::uint32_t mSlots = 0;
  std::string mFailureDomain;
  std::vector<std::string> mServices;
};

/** What a target answers to one task. */
struct task_answer
{
  long mStatus = 200;
  std::string mBody;
};

/** One stand-in target. Shared by connection threads and the announcer. */
struct target_state
{
  target_settings mSettings;
  std::mutex mMutex;
  std::condition_variable mWake; ///< Signalled when `mStopping` turns true.
  faults mFaults;
  std::mt19937_64 mRandom;
  std::vector<common::run_record> mRecords;
  /** By task and try; without a value while it runs. */
  std::map<std::string, std::optional<task_answer>> mRuns;
  std::uint32_t mRunning = 0;
  bool mLeaving = false;
  bool mStopping = false;
  std::set<std::uint16_t> mConnections; ///< Ports of callers seen so far.
  std::set<std::uint16_t> mSilenced;    ///< Those whose connection is dead.
};

/** One task as an agent sent it. */
struct task_request
{
  std::string mTask;
  std::uint32_t mTry = 1;
  std::string mKind;
  std::string mPayload;
  std::uint16_t mConnection = 0; ///< The caller's port.
  bool mIsCopy = false;          ///< Of a call that was not answered.
};

/**
 * Runs a task: records its start, waits for its run time, records its end. A
 * request over a silenced connection never arrives: nothing is recorded. Blocks
 * for as long as the target stays silent.
 */
task_answer
Run(target_state& aTarget, const task_request& aRequest);

/** From now on nothing passes over the connections seen so far. */
void
SilenceConnections(target_state& aTarget);

/** All records as JSON lines. */
std::string
FormatRecords(target_state& aTarget);

/** Ends the waits of all threads, so that the process can stop. */
void
Stop(target_state& aTarget);

} // namespace gooseberry::tools::target
