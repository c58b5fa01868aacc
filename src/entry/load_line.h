#pragma once

#include "libgooseberry/entry/entry_control.h"

#include <cstdint>

namespace gooseberry::entry_program {

/** What the control thread has done since the last line. */
struct load_meter
{
  core::instant mSince{};
  core::duration mBusy{};   ///< Of the control thread, in inputs.
  core::duration mWaited{}; ///< Sum, of the inputs, for the control thread.
  std::uint64_t mInputs = 0;
  entry::entry_counters mCounters{}; ///< At the last line.
};

/** Takes note of one input. */
void
RecordInput(load_meter& aMeter, core::duration aWaited, core::duration aBusy);

/** Logs `entry_load` once a second: inputs by kind, and how long they waited
 * for the control thread. */
void
WriteLoadLine(load_meter& aMeter,
              const entry::entry_control& aControl,
              core::instant aNow);

} // namespace gooseberry::entry_program
