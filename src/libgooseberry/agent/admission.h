#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <cstdint>

/** Decides whether a task may start here now (R4, R5). */
namespace gooseberry::agent {

enum class admission_action : std::uint8_t
{
  Refuse,
  Repeat, ///< Copy of a start that was decided before; nothing to do.
  Report, ///< Only report the result of the earlier start again.
  Start,
  Queue,
};

struct admission
{
  admission_action mAction = admission_action::Refuse;
  core::start_verdict mVerdict = core::start_verdict::Busy;
};

/** Returns the part of the target's capacity that this entry cannot use: what
 * tasks use, and slots of mean size that are held for other entries. */
core::resources
UnavailableFor(const agent_target& aTarget,
               std::string_view aEntryAddress,
               core::instant aNow);

/** Decides on one start without changing the state. */
admission
Decide(const agent_control& aControl,
       const core::start_batch& aBatch,
       const core::task_start& aStart,
       core::instant aNow);

/** Returns `Accepted` if the configuration and the target's state allow the
 * task at its target, else the reason. Ignores slots and freshness. */
core::start_verdict
CheckEligibility(const agent_control& aControl,
                 const core::task_start& aStart,
                 core::instant aNow);

/** Like `CheckEligibility`; without leased runs, also checks that the agent's
 * last contact is recent enough. */
core::start_verdict
CheckStart(const agent_control& aControl,
           const core::task_start& aStart,
           core::instant aNow);

/** Returns whether starts are allowed in the agent's failure domain. */
bool
IsOwnDomainIn(const agent_control& aControl);

} // namespace gooseberry::agent
