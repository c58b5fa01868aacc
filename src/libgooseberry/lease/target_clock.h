#pragma once

#include "libgooseberry/lease/leased_target.h"

/** The clock of a target, on which its leases are measured. */
namespace gooseberry::lease {

/** The target's clock at `aNow`, or a little earlier. */
target_time
ClockAt(const leased_target& aTarget, core::instant aNow);

/** The lapse margin on the target's clock. */
target_time
Margin(const leased_target& aTarget);

/** Takes in a reading, unless a later one was asked for. */
void
ReadClock(leased_target& aTarget,
          target_time aClock,
          core::instant aAskedAt,
          core::instant aNow);

/** How much longer what runs there may go on: until the first run of which it
 * is not known for long that its entry wants it. */
core::duration
LongestLease(const leased_target& aTarget, core::instant aNow);

/** The time up to which a call may extend the lease. */
target_time
ExtendLease(leased_target& aTarget, core::duration aBy, core::instant aNow);

/** Whether every lease that was asked for has lapsed for certain. */
bool
HasLapsed(const leased_target& aTarget, core::instant aNow);

} // namespace gooseberry::lease
