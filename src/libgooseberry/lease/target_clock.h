#pragma once

#include "libgooseberry/lease/leased_target.h"

/** The clock of a target, by which its leases are measured. */
namespace gooseberry::lease {

/** Returns the target's clock at `aNow`, or a slightly earlier reading. */
target_time
ClockAt(const leased_target& aTarget, core::instant aNow);

/** Returns the expiry margin in units of the target's clock. */
target_time
Margin(const leased_target& aTarget);

/** Records a clock reading, unless one requested later is known. */
void
ReadClock(leased_target& aTarget,
          target_time aClock,
          core::instant aAskedAt,
          core::instant aNow);

/**
 * Returns whether the process whose clock was read may have shown `aClock`
 * between `aSince` and `aNow`. The clock of each process starts anew, at any
 * value, so that of another one agrees only by chance.
 */
bool
MayHaveShown(const leased_target& aTarget,
             target_time aClock,
             core::instant aSince,
             core::instant aNow);

/** Returns the longest lease that may be requested now. It ends no later than
 * the hold of any run. */
core::duration
LongestLease(const leased_target& aTarget, core::instant aNow);

/** Returns the time to which a call extends the lease, at most by `aBy`, and
 * records it. */
target_time
ExtendLease(leased_target& aTarget, core::duration aBy, core::instant aNow);

/** Returns whether every requested lease has certainly expired. */
bool
HasExpired(const leased_target& aTarget, core::instant aNow);

} // namespace gooseberry::lease
