#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <string_view>

/** Takes targets that fail while their peers succeed out of use, and back. */
namespace gooseberry::target {

/** A task of the kind has succeeded there: the target is well. */
void
RecordSuccess(target_table& aTable, target_index aTarget);

/**
 * A task of the kind has failed there. `aOutcomes` are the kind's last ends on
 * all targets, this one included; `aKind` tells kinds apart.
 */
void
RecordFailure(target_table& aTable,
              target_index aTarget,
              const kind_outcomes& aOutcomes,
              std::uint64_t aKind);

/**
 * The target's agent has reported its load anew; `aBefore` is the number of
 * failures in a row that it had reported last.
 */
void
ApplyReportedFailures(target_table& aTable,
                      target_index aTarget,
                      std::uint32_t aBefore);

/** Puts targets back where more than the allowed share is ejected. */
void
EnforceEjectedShare(target_table& aTable);

/** Whether an ejected target is due to be tried with a task. */
bool
IsProbeDue(const target_table& aTable,
           const target_view& aTarget,
           core::instant aNow);

} // namespace gooseberry::target
