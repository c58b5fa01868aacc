#pragma once

#include "libgooseberry/entry/entry_control.h"

#include <cstdint>

namespace gooseberry::entry_program {

/** What the entry has done since the last line. */
struct load_meter
{
  core::instant mSince{};
  core::duration mBusy{};      ///< Sum, in inputs.
  core::duration mTickDelay{}; ///< Sum, of the ticks.
  std::uint64_t mInputs = 0;
  std::uint64_t mTicks = 0;
  entry::entry_counters mCounters{}; ///< At the last line.
};

/** Records one input, which took `aBusy`. */
void
RecordInput(load_meter& aMeter, core::duration aBusy);

/** Records one tick, which began `aDelay` after it was due. */
void
RecordTick(load_meter& aMeter, core::duration aDelay);

/** Logs `entry_load` once a second: inputs by kind, and the mean delay of
 * ticks, which is the time that threads wait for the processor. */
void
WriteLoadLine(load_meter& aMeter,
              const entry::entry_control& aControl,
              core::instant aNow);

} // namespace gooseberry::entry_program
