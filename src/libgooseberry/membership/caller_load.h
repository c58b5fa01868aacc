#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberry/membership/standby.h"

#include <optional>
#include <vector>

/**
 * Load pattern: a balancer spreads callers evenly over entries with unequal
 * processors. In calm, the smallest ones can serve their share; at a peak, they
 * cannot.
 */
namespace gooseberry::membership {

/** The share of an entry's processor that its callers use, or would use. */
struct caller_use
{
  /** With an even share of the callers; none: the load of all is unknown. */
  std::optional<double> mExpected;
  double mCurrent = 0;
  /** Its threads wait for the processor, though nothing is refused yet. */
  bool mIsDelayed = false;
};

/** Whether the load calls for an entry to leave its callers to larger ones. */
struct caller_load
{
  /** Stays true while the load of all is unknown: an entry then goes by the
   * sizes of processors alone, as earlier versions do. */
  bool mIsHigh = true;
  /** Time of the last change of `mIsHigh` since the load of all is known. */
  std::optional<core::instant> mChangedAt;
};

/**
 * Returns the jobs per second that an entry gets with an even share of the
 * callers of its failure domain. These are taken to be as many as those of the
 * mean domain, or more where the domain's entries serve more. Returns nothing
 * where an available entry does not tell its rate.
 */
std::optional<double>
ExpectedRate(const entry_capacity& aSelf,
             const std::vector<entry_capacity>& aOthers);

/** Updates the state. The load becomes high above high marks and low below a
 * low mark, and it stays so for a minimum time. */
void
Update(caller_load& aLoad, const caller_use& aUse, core::instant aNow);

} // namespace gooseberry::membership
