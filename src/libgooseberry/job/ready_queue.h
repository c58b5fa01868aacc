#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/job/job.h"
#include "libgooseberry/job/ledger.h"

#include <map>
#include <set>
#include <string>

namespace gooseberry::job {

/** Order in which jobs get free slots. */
enum class order_policy : std::uint8_t
{
  LeastRemaining, ///< Least remaining work first, with ageing.
  Fifo,           ///< By arrival; the baseline for comparisons.
  /**
   * By priority, then by the least time left until the latest start that meets
   * the objective. Jobs that become late before any of their tasks has run go
   * after all others. A late job that has begun is finished first, so that the
   * work done on it is not wasted.
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
   * Reduction of the remaining work for each unit of waiting time. It prevents
   * starvation of large jobs.
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
 * Returns the key of a job; smaller keys go first. The key is constant while
 * the remaining work stays the same.
 *
 * @param aRemaining Expected run time of all tasks that have not ended.
 */
std::int64_t
Priority(const order_settings& aSettings,
         core::duration aRemaining,
         core::instant aArrived);

/**
 * Returns the key of a job under `Objective`; smaller keys go first. Jobs are
 * ordered by the operators' priority, then by the latest start. Jobs of the
 * most urgent priority are in time as long as the targets have the capacity for
 * them, whatever else arrives.
 */
std::int64_t
ObjectiveKey(const submission& aSubmission, core::instant aLatestStart);

/**
 * Puts the job where its priority says, or removes the job if it needs no slot.
 */
void
Requeue(ready_queue& aQueue, const order_settings& aSettings, job& aJob);

/**
 * Moves jobs whose latest start has passed behind those that can be in time,
 * and returns their keys. Applies to `Objective` only. Under overload, this
 * makes some jobs late instead of all: otherwise each job would wait until it
 * is the most urgent one, and would be late by then.
 */
std::vector<std::string>
DemoteLate(ready_queue& aQueue,
           const order_settings& aSettings,
           ledger& aLedger,
           core::instant aNow);

/** Removes the job from the queue. */
void
Unqueue(ready_queue& aQueue, job& aJob);

} // namespace gooseberry::job
