#pragma once

#include "libgooseberry/entry/entry_control.h"
#include "libgooseberry/entry/status.h"

#include <optional>
#include <string>

/** Functions shared by the implementation files of the entry. */
namespace gooseberry::entry {

/** Returns an answer other than `complete`; `aStatus` is an HTTP status. */
core::job_answer
ErrorAnswer(const std::string& aJob,
            core::job_outcome aOutcome,
            const core::error& aError,
            std::uint32_t aStatus);

/** Ends a job, answers all who wait for it, and starts its deduplication
 * window. */
void
EndJob(entry_control& aControl,
       job::job& aJob,
       core::job_answer aAnswer,
       core::instant aNow,
       effects& aEffects);

/** Ends a job after all its tasks have succeeded. */
void
CompleteJob(entry_control& aControl,
            job::job& aJob,
            core::instant aNow,
            effects& aEffects);

/** Ends a job as failed; `aStatus` is an HTTP status. */
void
FailJob(entry_control& aControl,
        job::job& aJob,
        const core::error& aError,
        std::uint32_t aStatus,
        core::instant aNow,
        effects& aEffects);

/** Answers `not_run` to all who wait and removes the job. Only the refusal of
 * this attempt is kept. */
void
RefuseJob(entry_control& aControl,
          job::job& aJob,
          const core::error& aError,
          std::uint32_t aStatus,
          core::instant aNow,
          effects& aEffects,
          std::optional<core::duration> aRetryAfter = std::nullopt);

/** Refuses waiting jobs that cannot end in useful time any more. */
void
ShedWaiting(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Returns this entry's share of the service's slots, by its share of all
 * entries' tasks. */
std::uint32_t
SlotShare(const entry_control& aControl,
          const std::string& aService,
          core::instant aNow);

/** Answers that the outcome is in doubt, and removes the job. Only a ballot
 * promise is kept, so that a later attempt can ask again. */
void
AbandonJob(entry_control& aControl,
           job::job& aJob,
           const core::error& aError,
           std::uint32_t aStatus,
           core::instant aNow,
           effects& aEffects);

/** Queues an answer for an entry that waits for it. */
void
Deliver(entry_control& aControl,
        const std::string& aEntryName,
        const core::job_answer& aAnswer);

/**
 * Returns whether a message to another process may include the configuration
 * in force; `aReadsItself`: that process can read it from the table service.
 */
bool
IsSentTo(const entry_control& aControl, bool aReadsItself);

/** Adopts the stored row if it is not older than the current one. */
void
AdoptRow(entry_control& aControl,
         const configuration_row& aRow,
         core::instant aNow,
         effects& aEffects);

/** Handles what a heartbeat says of its sender's configuration. */
void
LearnOfConfiguration(entry_control& aControl,
                     const core::heartbeat& aBeat,
                     core::instant aNow,
                     effects& aEffects);

/** Numbers the configuration in force anew where an agent reports a generation
 * that was replaced before the last read. */
void
TickGeneration(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Sends a heartbeat to every other entry. */
void
SendHeartbeats(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Decides on the admission of a submission without any start; returns the
 * refusal, if any. */
std::optional<core::job_answer>
Reject(entry_control& aControl,
       const job::submission& aSubmission,
       core::instant aNow,
       effects& aEffects);

/** Returns the slots that a task of the job must leave free at its target. */
std::uint32_t
HeadroomFor(const entry_control& aControl,
            const job::job& aJob,
            core::instant aNow);

/** Calls BecomeHome for a job without any start, or refuses the job if the
 * current load or the configuration requires it. */
void
BecomeHomeIfAdmitted(entry_control& aControl,
                     job::job& aJob,
                     core::instant aNow,
                     effects& aEffects);

/** Returns the number of starts allowed for each task of an idempotent job. */
std::uint32_t
MaxTries(const entry_control& aControl, const job::job& aJob);

/** Returns the longest expected run time of the job's waiting tasks. */
core::duration
LongestWaiting(const job::job& aJob);

/** Makes this entry the home of the job and queues the waiting tasks. */
void
BecomeHome(entry_control& aControl,
           job::job& aJob,
           core::instant aNow,
           effects& aEffects);

/** Starts to ask the other entries which one has the job (R2). */
void
StartLocating(entry_control& aControl,
              job::job& aJob,
              core::ballot aAbove,
              core::instant aNow,
              effects& aEffects);

/** Locates the job after an agent incarnation with a task of it has ended.
 * Another entry may know the outcome; otherwise it is unknown (R7). */
void
AskForOutcome(entry_control& aControl,
              job::job& aJob,
              const core::peer_ref& aAgent,
              core::instant aNow,
              effects& aEffects);

/** Starts to ask the agents which tasks of the job were started (R3). */
void
StartRecovering(entry_control& aControl,
                job::job& aJob,
                core::instant aNow,
                effects& aEffects);

/** Returns whether the entry had contact within the suspicion time. */
bool
IsEntryInContact(const entry_control& aControl,
                 const std::string& aName,
                 core::instant aNow);

/** Makes the job wait for its outcome from another entry. */
void
AttachTo(entry_control& aControl,
         job::job& aJob,
         const std::string& aEntryName,
         core::instant aNow,
         effects& aEffects);

/** Stops dispatching the job and releases its open tasks. Returns the names of
 * the agents that have such tasks. */
std::set<std::string>
ReleaseJob(entry_control& aControl, job::job& aJob);

/** Decides on jobs whose replies had all arrived when the read of the member
 * rows was sent. */
void
SettleInquiries(entry_control& aControl,
                core::instant aReadAt,
                core::instant aNow,
                effects& aEffects);

/** Repeats or times out unanswered requests, and locates jobs again whose home
 * is disconnected. */
void
TickInquiries(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Repeats unanswered fences; counts agents as missing after the timeout. */
void
TickRecovering(entry_control& aControl,
               job::job& aJob,
               core::instant aNow,
               effects& aEffects);

/** Continues a recovery with member rows read after the last fence reply. */
void
SettleRecovering(entry_control& aControl,
                 job::job& aJob,
                 core::instant aNow,
                 effects& aEffects);

/** Continues a job from the records of the agents (R3, R8). */
void
DecideRecovered(entry_control& aControl,
                job::job& aJob,
                core::instant aNow,
                effects& aEffects);

/** Places waiting tasks while there is free capacity. */
void
Dispatch(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Releases the slot of a task that waits again or has ended. */
void
ReleaseTask(entry_control& aControl, job::job& aJob, std::uint32_t aIndex);

/** Releases a task and queues it again. */
void
ReturnTask(entry_control& aControl, job::job& aJob, std::uint32_t aIndex);

/** Updates the job's position in the ready queue. */
void
UpdateOrder(entry_control& aControl, job::job& aJob);

/** Records the state of an agent from any message of it. */
void
RecordAgentState(entry_control& aControl,
                 const core::agent_state& aState,
                 core::instant aNow,
                 effects& aEffects);

/** Ends or restarts the tasks of an agent incarnation that has ended (R7). */
void
OnAgentEnded(entry_control& aControl,
             const std::string& aAgent,
             const core::peer_ref& aRun,
             core::instant aNow,
             effects& aEffects);

/** Ends the tasks of earlier incarnations of an agent that accepts starts. For
 * targets that run tasks under leases. */
void
EndEarlierRuns(entry_control& aControl,
               const core::peer_ref& aAgent,
               core::instant aNow,
               effects& aEffects);

/** The configuration in force was read by a call sent at `aSentAt`. */
void
RecordOwnRead(entry_control& aControl, core::instant aSentAt);

/**
 * Takes over what the reply to a heartbeat sent at `aSentAt` says of the read
 * that last confirmed the other entry's configuration, where it is this one's.
 * The age is that of a read, however many entries pass it on.
 */
void
RecordPassedEvidence(entry_control& aControl,
                     const core::heartbeat& aReply,
                     core::instant aSentAt);

/** Adopts a configuration if it is newer and valid; returns whether it was. */
bool
AdoptConfiguration(entry_control& aControl,
                   const core::versioned_configuration& aNewer,
                   core::instant aNow,
                   effects& aEffects);

/** Answers operators whose change is in force everywhere or has timed out. */
void
TickApplies(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Resends unanswered starts. */
void
TickCalls(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Continues joining: writes the own row, or asks for ballot promises. */
void
TickJoining(entry_control& aControl, core::instant aNow, effects& aEffects);

/** Reads the member rows; if a read is in flight, once more after it. */
void
ReadMembers(entry_control& aControl, effects& aEffects);

/** Returns a heartbeat with this entry's current state. */
core::heartbeat
MakeHeartbeat(const entry_control& aControl, core::instant aNow);

/** Returns the reply to a message of an agent. */
core::entry_reply
MakeReply(entry_control& aControl,
          const core::agent_state& aState,
          core::instant aNow);

/** Sends the requests collected since the last tick. */
void
FlushOutboxes(entry_control& aControl, effects& aEffects);

/** Adds a line to the log. */
void
Log(effects& aEffects, std::string aEvent, std::vector<log_field> aFields);

} // namespace gooseberry::entry
