#pragma once

#include "libgooseberry/lease/leased_target.h"

#include <functional>
#include <string>

/** Functions shared by the source files of leased_target.h. */
namespace gooseberry::lease {

/** Returns the header of a call; `aWait` extends the deadline by the time that
 * the target may hold the call. */
call_header
HeaderFor(const leased_target& aTarget, core::duration aWait = {});

void
SendStop(leased_target& aTarget,
         const core::task_ref& aTask,
         std::uint32_t aRun,
         effects& aOut);

/** Removes a run and reports how it ended. A run without a result of which a
 * start call may yet be carried out ends as unknown. */
void
EndRun(leased_target& aTarget,
       const core::task_ref& aTask,
       core::task_end aEnd,
       core::start_verdict aVerdict,
       std::string aDetail,
       core::instant aNow,
       effects& aOut);

/** Ends a run that will not start; it counts as lost if it has started at an
 * earlier process of the target. */
void
ReturnRun(leased_target& aTarget,
          const core::task_ref& aTask,
          core::start_verdict aVerdict,
          std::string aDetail,
          core::instant aNow,
          effects& aOut);

/** Returns since when no process of the target can carry out the call any more,
 * nor still have what it has carried out. */
core::instant
CallExpiry(const leased_target& aTarget, const open_call& aCall);

/** Returns the pause after a send of the run's start; it doubles with each. */
core::duration
PauseBeforeResend(const leased_target& aTarget,
                  const run& aRun,
                  core::instant aNow);

/** Returns whether the target has left a call unanswered lately. */
bool
LosesCalls(const leased_target& aTarget, core::instant aNow);

/** Keeps a run of which a start call may yet be carried out at its target; its
 * start is sent again after a pause. */
void
KeepForResend(const leased_target& aTarget, run& aRun, core::instant aNow);

/** Returns whether the start of a run without an answer is to be sent again. */
bool
IsResendDue(const leased_target& aTarget, const run& aRun, core::instant aNow);

/** Records that a start call has been answered or was not sent. */
void
RemoveOpenCall(run& aRun, std::uint64_t aCall);

/** Removes the calls that no process of the target can carry out any more, nor
 * still have what it has carried out. */
void
DropExpiredCalls(leased_target& aTarget, core::instant aNow);

using run_predicate = std::function<bool(const run& aRun)>;

/** Ends the runs that the predicate selects, as lost. */
void
EndRuns(leased_target& aTarget,
        const std::string& aReason,
        core::instant aNow,
        effects& aOut,
        const run_predicate& aPredicate);

/** Returns the run of a call; null if it has ended or was restarted since. */
run*
FindRun(leased_target& aTarget,
        const core::task_ref& aTask,
        std::uint32_t aRun);

/** Returns whether a call was made for the current incarnation. */
bool
IsCurrentIncarnation(const leased_target& aTarget, const call_header& aHeader);

/** Applies a confirmed registration of another incarnation. */
void
AdoptRegistration(leased_target& aTarget,
                  const registration& aRegistration,
                  core::instant aNow,
                  effects& aOut);

/** Applies the pending registration, if there is one. */
void
AdoptPendingRegistration(leased_target& aTarget,
                         core::instant aNow,
                         effects& aOut);

/** Begins a new incarnation of the target. It has seen no token, unless a call
 * for the last incarnation reached it; already the first call to it outranks
 * the starts made for earlier ones. */
void
BeginIncarnation(leased_target& aTarget,
                 std::uint64_t aIncarnation,
                 core::instant aNow,
                 effects& aOut);

/**
 * Raises the fencing token, at least to one that the target's start time and
 * its clock, or a lower bound of it, give. It never falls, also if time is set
 * back. It rises throughout an incarnation and from each one to the next, so it
 * outranks those of all earlier agents, also in starts that reach a later
 * incarnation, without stored state. Runs of other agents are known only from a
 * report that was requested with the new token.
 */
void
RaiseToken(leased_target& aTarget, target_time aClock, core::instant aNow);

/** Highest token that this agent raises its own to, unless it is fenced even
 * there; every JSON number holds it. */
inline constexpr std::uint64_t kMaxFencingToken =
  (std::uint64_t{ 1 } << 53U) - (std::uint64_t{ 1 } << 32U);

/**
 * Raises the token after the target has seen a higher one, as when its host's
 * time of day was set back before it started. The lead over the sum of start
 * time and clock is doubled each time.
 */
void
OutrankToken(leased_target& aTarget, target_time aClock, core::instant aNow);

} // namespace gooseberry::lease
