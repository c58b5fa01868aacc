#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <optional>
#include <string>
#include <vector>

/** Targets that run tasks under leases. Separate calls start, renew and stop
 * their runs, and the runs end by themselves when no agent renews them. */
namespace gooseberry::agent {

/** Handles the registration of a target, which may be draining. Returns false
 * if there are too many targets. */
bool
OnLeasedTargetRegistered(agent_control& aControl,
                         const target_registration& aTargetRegistration,
                         const lease::registration& aRegistration,
                         bool aIsDraining,
                         core::instant aNow,
                         effects& aOut);

/**
 * Handles an unregistration, sent by the target or on its behalf; it names no
 * incarnation. Runs there count as over only when their calls or their lease
 * show it.
 */
void
OnTargetUnregistered(agent_control& aControl,
                     const std::string& aName,
                     core::instant aNow,
                     effects& aOut);

void
OnStartAnswered(agent_control& aControl,
                const lease::start_call& aCall,
                lease::start_answer aAnswer,
                std::optional<lease::target_time> aClock,
                core::instant aNow,
                effects& aOut);

/** Handles that the start call with this id had been sent to the target when it
 * was to be withdrawn. */
void
OnStartSent(agent_control& aControl,
            const std::string& aTarget,
            std::uint64_t aStartId,
            core::instant aNow);

void
OnStopAnswered(agent_control& aControl,
               const lease::stop_call& aCall,
               core::instant aNow,
               effects& aOut);

void
OnTargetReport(agent_control& aControl,
               const std::string& aTarget,
               const lease::target_report& aReport,
               core::instant aAskedAt,
               core::instant aNow,
               effects& aOut);

void
OnRenewalFailed(agent_control& aControl,
                const std::string& aTarget,
                lease::renewal_failure aFailure,
                std::optional<lease::target_time> aClock,
                core::instant aAskedAt,
                core::instant aNow,
                effects& aOut);

/** Returns the jobs with a run that is not known to be at its target, each
 * once. */
std::vector<std::string>
JobsInDoubt(const agent_control& aControl);

/** Starts the run of an admitted and recorded task. */
void
StartLeased(agent_control& aControl,
            const core::task_start& aStart,
            core::instant aNow,
            effects& aOut);

/** Stops the runs of jobs that this entry process cancels, and refuses starts
 * that it sent for them before. */
void
CancelJobs(agent_control& aControl,
           const std::vector<std::string>& aJobs,
           const job_holder& aEntry,
           core::instant aNow,
           effects& aOut);

/** Records that an entry process answered a message sent at `mConfirmedAt`. The
 * answer confirms all its runs except those that it has cancelled. */
void
RecordEntryContact(agent_control& aControl, const job_holder& aEntry);

/** Passes the time at which a job was last confirmed on to its runs. */
void
ConfirmRunsOfJob(agent_control& aControl, const std::string& aJob);

/**
 * Renews leases that are due, and stops the runs of entries without contact: a
 * caller of such an entry asks another one, which starts the same tasks
 * elsewhere.
 */
void
TickLeases(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
