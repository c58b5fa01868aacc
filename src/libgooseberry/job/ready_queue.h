#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/job/job.h"
#include "libgooseberry/job/ledger.h"

#include <map>
#include <set>
#include <string>

namespace gooseberry::job {

/** In which order jobs get free slots. */
enum class order_policy : std::uint8_t
{
  LeastRemaining, ///< Least remaining work first, with ageing.
  Fifo,           ///< Baseline: by arrival.
  /**
   * By priority, then least time left to the latest start that meets the
   * objective. Jobs that
   * are late before any of their tasks has run go after all others; one that
   * had begun is finished first, so that what was spent on it is not lost.
   */
  Objective,
};
inline constexpr core::enum_names<order_policy, 3> kOrderPolicyNames{
  { "least_remaining", "fifo", "objective" }
};

struct order_settings
{
  order_policy mPolicy = order_policy::LeastRemaining;
  /**
   * Remaining work that a job is forgiven for each unit of time it has
   * waited, so that large jobs are not passed over for good.
   */
  std::int64_t mAgeing = 4;
};

struct ready_key
{
  std::int64_t mPriority = 0;
  std::string mJob;

  auto operator<=>(const ready_key&) const = default;
};

/** Jobs that have waiting tasks, by service and then by priority. */
struct ready_queue
{
  std::map<std::string, std::set<ready_key>> mServices;
};

/**
 * Smaller goes first. Constant while the remaining work stays the same.
 *
 * @param aRemaining Expected run time of all tasks that have not ended.
 */
std::int64_t
Priority(const order_settings& aSettings,
         core::duration aRemaining,
         core::instant aArrived);

/**
 * Smaller goes first, for `Objective`: by the operators' priority, then by the
 * latest start. Jobs that matter most are in time as long as the targets can do
 * their work, whatever else arrives.
 */
std::int64_t
ObjectiveKey(const submission& aSubmission, core::instant aLatestStart);

/** Puts the job where its priority says, or takes it out if it waits for
 * nothing. */
void
Requeue(ready_queue& aQueue, const order_settings& aSettings, job& aJob);

/**
 * Moves jobs whose latest start has passed behind those that can be in time,
 * so that under overload some jobs are late instead of all: without it each
 * job waits until it is the most urgent one, and is late by then. Only for
 * `Objective`. Gives the keys of the jobs that were moved.
 */
std::vector<std::string>
DemoteLate(ready_queue& aQueue,
           const order_settings& aSettings,
           ledger& aLedger,
           core::instant aNow);

/** Takes the job out. */
void
Unqueue(ready_queue& aQueue, job& aJob);

} // namespace gooseberry::job
