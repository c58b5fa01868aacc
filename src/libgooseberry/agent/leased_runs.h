#pragma once

#include "libgooseberry/agent/agent_control.h"

#include <optional>
#include <string>

/**
 * Targets that run tasks under leases: their runs are started, renewed and
 * stopped by calls of their own, and end on their own when nobody renews.
 */
namespace gooseberry::agent {

/** A target registers, or says that it drains; false where there are too many
 * targets. */
bool
OnLeasedTargetRegistered(agent_control& aControl,
                         const target_registration& aAnnouncement,
                         const lease::registration& aRegistration,
                         bool aIsDraining,
                         core::instant aNow,
                         effects& aOut);

/**
 * A target says that it leaves for good, or another hand does: no life is
 * named. What runs there is over when its calls or its lease show so.
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

/** Starts the run of a task that was admitted and recorded. */
void
StartLeased(agent_control& aControl,
            const core::task_start& aStart,
            core::instant aNow,
            effects& aOut);

/** Stops what runs for jobs that this entry process cancels, and refuses what
 * it has sent for them before. */
void
CancelJobs(agent_control& aControl,
           const std::vector<std::string>& aJobs,
           const job_holder& aEntry,
           core::instant aNow,
           effects& aOut);

/**
 * An entry process has answered a message that was sent at `mConfirmedAt`: it
 * wants all that runs for it, but for what it has cancelled.
 */
void
RecordEntryContact(agent_control& aControl, const job_holder& aEntry);

/** Passes on to the runs of a job since when it is known to be wanted. */
void
ConfirmRunsOfJob(agent_control& aControl, const std::string& aJob);

/**
 * Renewals that are due, and stops for entries that have gone silent: a caller
 * of such an entry asks another one, which starts the same tasks elsewhere.
 */
void
TickLeases(agent_control& aControl, core::instant aNow, effects& aOut);

} // namespace gooseberry::agent
