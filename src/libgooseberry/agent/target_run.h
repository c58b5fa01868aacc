#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <string>

/** Moves tasks between queues, targets and results. */
namespace gooseberry::agent {

/** Records the start and calls the target. The caller has checked the start. */
void
RunTask(agent_control& aControl,
        const core::task_start& aStart,
        core::instant aNow,
        effects& aOut);

void
Enqueue(agent_control& aControl,
        const core::task_start& aStart,
        const std::string& aEntryAddress);

/** Returns all queued tasks for which `aPredicate` holds to their entries, for
 * `aReason`; none of them starts any more. */
void
ReturnQueued(agent_control& aControl,
             core::start_verdict aReason,
             core::instant aNow,
             effects& aOut,
             const queued_predicate& aPredicate);

/** Returns all queued tasks that may not start now to their entries. Freshness
 * is checked only when a task leaves its queue. */
void
ReturnIneligibleTasks(agent_control& aControl,
                      core::instant aNow,
                      effects& aOut);

/** Starts queued tasks of a target while it has free slots. */
void
FillSlots(agent_control& aControl,
          const std::string& aTarget,
          core::instant aNow,
          effects& aOut);

/** Makes `aHolder` the holder of a job. Raises the job's ballot to `aBallot` if
 * that is higher, and returns queued tasks with lower ballots. */
job_record&
RaiseBallot(agent_control& aControl,
            const std::string& aJob,
            const core::ballot& aBallot,
            const job_holder& aHolder,
            core::instant aNow,
            effects& aOut);

/** Returns how long a refused placement is remembered. After that time, the
 * timestamps of its copies are stale. */
core::duration
RefusalRetention(const control_settings& aSettings);

/**
 * Holds the free slots of a target for the entries whose waiting tasks go
 * first, and makes reports to them due. If slots remain, reports to all entries
 * with a backlog become due.
 */
void
OfferFreeSlots(agent_control& aControl,
               agent_target& aTarget,
               core::instant aNow);

/** Releases slots held for entries that did not use them in time. */
void
ExpireGrants(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
