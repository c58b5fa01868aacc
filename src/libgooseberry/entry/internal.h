#pragma once

#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/status.h"

#include <optional>
#include <string>

/** Steps that several files of the entry's decisions share. */
namespace gooseberry::entry {

/** An answer that is not `complete`; `aStatus` is of HTTP. */
core::job_answer
ErrorAnswer(const std::string& aJob,
            core::job_outcome aOutcome,
            const core::error& aError,
            std::uint32_t aStatus);

/** Ends a job with this answer, tells all who wait, and starts its window. */
void
EndJob(entry_control& aControl,
       job::job& aJob,
       core::job_answer aAnswer,
       core::instant aNow,
       effects& aEffects);

/** Ends a job all of whose tasks have succeeded. */
void
CompleteJob(entry_control& aControl,
            job::job& aJob,
            core::instant aNow,
            effects& aEffects);

/** Ends a job as failed; `aStatus` is of HTTP. */
void
FailJob(entry_control& aControl,
        job::job& aJob,
        const core::error& aError,
        std::uint32_t aStatus,
        core::instant aNow,
        effects& aEffects);

/** Answers `not_run` to all who wait and forgets the job, but for the fact
 * that this attempt was refused. */
void
RefuseJob(entry_control& aControl,
          job::job& aJob,
          const core::error& aError,
          std::uint32_t aStatus,
          core::instant aNow,
          effects& aEffects);

/** Answers that the outcome could not be found out, and forgets the job but for
 * a note, so that a later attempt can ask again. */
void
AbandonJob(entry_control& aControl,
           job::job& aJob,
           const core::error& aError,
           std::uint32_t aStatus,
           core::instant aNow,
           effects& aEffects);

/** Sends an answer to an entry that waits for it. */
void
Deliver(entry_control& aControl,
        const std::string& aEntryName,
        const core::job_answer& aAnswer);

/** Sends a heartbeat to every other entry. */
void
SendHeartbeats(entry_control& aControl, core::instant aNow, effects& aEffects);

/** The refusal that a submission nobody has started deserves, if any. */
std::optional<core::job_answer>
Reject(entry_control& aControl,
       const job::submission& aSubmission,
       core::instant aNow,
       effects& aEffects);

/** As BecomeHome, for a job of which nothing was started, unless the present
 * load or the configuration forbids it. */
void
BecomeHomeIfAdmitted(entry_control& aControl,
                     job::job& aJob,
                     core::instant aNow,
                     effects& aEffects);

/** Starts allowed for each task of an idempotent job, by its service. */
std::uint32_t
MaxTries(const entry_control& aControl, const job::job& aJob);

/** Longest expected run time of the job's waiting tasks. */
core::duration
LongestWaiting(const job::job& aJob);

/** Makes this entry the home of the job: what is waiting is to be placed. */
void
BecomeHome(entry_control& aControl,
           job::job& aJob,
           core::instant aNow,
           effects& aEffects);

/** Starts asking the other entries who has the job (R2). */
void
StartLocating(entry_control& aControl,
              job::job& aJob,
              core::ballot aAbove,
              core::instant aNow,
              effects& aEffects);

/** The run of an agent that has a task of the job is over: another entry may
 * know how the job ends, else its outcome is unknown (R7). */
void
AskForOutcome(entry_control& aControl,
              job::job& aJob,
              const core::peer_ref& aAgent,
              core::instant aNow,
              effects& aEffects);

/** Starts asking the agents what of the job was started (R3). */
void
StartRecovering(entry_control& aControl,
                job::job& aJob,
                core::instant aNow,
                effects& aEffects);

/** Whether the entry of that name was heard lately. */
bool
IsEntryInContact(const entry_control& aControl,
                 const std::string& aName,
                 core::instant aNow);

/** Waits for the outcome from another entry. */
void
AttachTo(entry_control& aControl,
         job::job& aJob,
         const std::string& aEntryName,
         core::instant aNow,
         effects& aEffects);

/** Stops dispatching the job here; its open tasks are no longer this entry's.
 * Returns the names of the agents that have some. */
std::set<std::string>
ReleaseJob(entry_control& aControl, job::job& aJob);

/** Settles jobs whose answers are all in, once rows read later are here. */
void
SettleInquiries(entry_control& aControl,
                core::instant aReadAt,
                core::instant aNow,
                effects& aEffects);

/** Asks again, times out, and re-locates jobs whose home went silent. */
void
TickInquiries(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Fences again, or takes silent agents for missing. */
void
TickRecovering(entry_control& aControl,
               job::job& aJob,
               core::instant aNow,
               effects& aEffects);

/** The rows were read after all fences were answered. */
void
SettleRecovering(entry_control& aControl,
                 job::job& aJob,
                 core::instant aNow,
                 effects& aEffects);

/** Goes on with a job from what the agents have of it (R3, R8). */
void
DecideRecovered(entry_control& aControl,
                job::job& aJob,
                core::instant aNow,
                effects& aEffects);

/** Places waiting tasks while anything is free. */
void
Dispatch(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Takes a task back from its target: it waits again, or has ended. */
void
ReleaseTask(entry_control& aControl, job::job& aJob, std::uint32_t aIndex);

/** Marks a task as waiting again after a definite "not started". */
void
ReturnTask(entry_control& aControl, job::job& aJob, std::uint32_t aIndex);

/** Moves a job to where its remaining work says. */
void
UpdateOrder(entry_control& aControl, job::job& aJob);

/** Takes in what an agent says of itself, in whatever message. */
void
RecordAgentState(entry_control& aControl,
                 const core::agent_state& aState,
                 core::instant aNow,
                 effects& aEffects);

/** Ends what ran on a run of an agent that is over (R7). */
void
OnAgentEnded(entry_control& aControl,
             const std::string& aAgent,
             const core::peer_ref& aRun,
             core::instant aNow,
             effects& aEffects);

/** An agent takes starts: what earlier runs of it had started is over. For
 * targets that run tasks under leases. */
void
EndEarlierRuns(entry_control& aControl,
               const core::peer_ref& aAgent,
               core::instant aNow,
               effects& aEffects);

/** Adopts a configuration if it is newer; true if it was. */
bool
AdoptConfiguration(entry_control& aControl,
                   const core::versioned_configuration& aNewer,
                   core::instant aNow,
                   effects& aEffects);

/** Answers operators whose change is in force everywhere, or is late. */
void
TickApplies(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Resends starts that were not answered. */
void
TickCalls(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Moves joining on. */
void
TickJoining(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Asks for the member rows unless a read is under way. */
void
ReadMembers(entry_control& aControl, effects& aEffects);

/** Heartbeat with this entry's present state. */
core::heartbeat
MakeHeartbeat(const entry_control& aControl, core::instant aNow);

/** Reply to an agent that has said this of itself. */
core::entry_reply
MakeReply(entry_control& aControl,
          const core::agent_state& aState,
          core::instant aNow);

/** Turns what was gathered since the last tick into calls. */
void
FlushOutboxes(entry_control& aControl, effects& aEffects);

/** Adds a line to the log. */
void
Log(effects& aEffects, std::string aEvent, std::vector<log_field> aFields);

} // namespace gooseberry::entry
