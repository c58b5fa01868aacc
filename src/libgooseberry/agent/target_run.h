#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <string>

/** Moves tasks between queues, targets and results. */
namespace gooseberry::agent {

/** Records the start and calls the target; the caller has checked it. */
void
RunTask(agent_control& aControl,
        const core::task_start& aStart,
        core::instant aNow,
        effects& aOut);

void
Enqueue(agent_control& aControl,
        const core::task_start& aStart,
        const std::string& aEntryAddress);

/** Gives back, for `aReason`, all queued tasks for which `aPredicate` holds;
 * none of them starts any more. */
void
ReturnQueued(agent_control& aControl,
             core::start_verdict aReason,
             core::instant aNow,
             effects& aOut,
             const queued_predicate& aPredicate);

/** Gives back all queued tasks that may not start now; freshness is looked at
 * only when a task leaves its queue. */
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

/** Raises the ballot of a job and gives back its queued tasks of lower ones.
 */
job_record&
RaiseBallot(agent_control& aControl,
            const std::string& aJob,
            const core::ballot& aBallot,
            const job_holder& aHolder,
            core::instant aNow,
            effects& aOut);

/** How long a refused placement is remembered: the stamps of its copies are
 * too old by then. */
core::duration
RefusalRetention(const control_settings& aSettings);

/**
 * Holds the free slots of a target for the entries whose waiting tasks go
 * first, and tells them; all that have a backlog hear of what is left.
 */
void
OfferFreeSlots(agent_control& aControl,
               agent_target& aTarget,
               core::instant aNow);

/** Frees the slots that were held for entries that did not use them. */
void
ExpireGrants(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
