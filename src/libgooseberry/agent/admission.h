#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <cstdint>

/** May this start here, and now? (R4, R5) */
namespace gooseberry::agent {

enum class admission_action : std::uint8_t
{
  Refuse,
  Repeat, ///< Nothing to do: a copy of what was decided before.
  Report, ///< Nothing to do but report the earlier start's result again.
  Start,
  Queue,
};

struct admission
{
  admission_action mAction = admission_action::Refuse;
  core::start_verdict mVerdict = core::start_verdict::Busy;
};

/** What of the target's capacity this entry cannot have: what is taken, and
 * slots of the usual size that are held for other entries. */
core::resources
UnavailableFor(const agent_target& aTarget,
               std::string_view aEntryAddress,
               core::instant aNow);

/** Decides on one start; the state stays as it is. */
admission
Decide(const agent_control& aControl,
       const core::start_batch& aBatch,
       const core::task_start& aStart,
       core::instant aNow);

/**
 * Whether the task may be at its target by the configuration and the target's
 * own state, slots and freshness aside: `Accepted`, or why not.
 */
core::start_verdict
CheckEligibility(const agent_control& aControl,
                 const core::task_start& aStart,
                 core::instant aNow);

/** `CheckEligibility`, and whether the agent is in touch. */
core::start_verdict
CheckStart(const agent_control& aControl,
           const core::task_start& aStart,
           core::instant aNow);

/** Whether starts are allowed in the agent's failure domain. */
bool
IsOwnDomainIn(const agent_control& aControl);

} // namespace gooseberry::agent
