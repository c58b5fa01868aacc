#pragma once

#include "libgooseberry/lease/leased_target.h"

/** Steps that the files of the lease's decisions share. */
namespace gooseberry::lease {

/** `aWait`: how long the target may hold the call beyond its deadline. */
call_header
HeaderFor(const leased_target& aTarget, core::duration aWait = {});

void
SendStop(leased_target& aTarget,
         const core::task_ref& aTask,
         std::uint32_t aRun,
         effects& aOut);

/** Takes a run out and reports how it ended. */
void
EndRun(leased_target& aTarget,
       const core::task_ref& aTask,
       core::task_end aEnd,
       core::start_verdict aVerdict,
       std::string aDetail,
       core::instant aNow,
       effects& aOut);

/** The run never started and never will. */
void
ReturnRun(leased_target& aTarget,
          const core::task_ref& aTask,
          core::start_verdict aVerdict,
          std::string aDetail,
          core::instant aNow,
          effects& aOut);

/** The run of a call, unless it is over or was started anew since. */
run*
FindRun(leased_target& aTarget,
        const core::task_ref& aTask,
        std::uint32_t aRun);

/** Whether a call was made for the life that the target is known to be in. */
bool
IsCurrentIncarnation(const leased_target& aTarget, const call_header& aHeader);

/** Takes a registration of another life for true. */
void
AdoptRegistration(leased_target& aTarget,
                  const registration& aRegistration,
                  core::instant aNow,
                  effects& aOut);

/** The same with one that waits for that, if there is one. */
void
AdoptPendingRegistration(leased_target& aTarget,
                         core::instant aNow,
                         effects& aOut);

/** A new life of the target runs nothing of ours and has seen no token. */
void
BeginIncarnation(leased_target& aTarget,
                 std::uint64_t aIncarnation,
                 core::instant aNow,
                 effects& aOut);

/**
 * The target's clock rises for as long as the target lives, so a token taken
 * from it outranks those of all earlier agents without anything stored. What
 * runs by another's token is known from a report that was asked for with it.
 */
void
RaiseToken(leased_target& aTarget, target_time aClock, core::instant aNow);

} // namespace gooseberry::lease
