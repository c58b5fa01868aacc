#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <string_view>

/** Outlier ejection: stops the use of targets that fail while their peers
 * succeed, and reinstates them. */
namespace gooseberry::target {

/** Records a successful task, which reinstates the target. */
void
RecordSuccess(target_table& aTable, target_index aTarget);

/**
 * Records a failed task. `aOutcomes` holds the kind's latest outcomes on all
 * targets, including this one; `aKind` is a hash that identifies the kind.
 */
void
RecordFailure(target_table& aTable,
              target_index aTarget,
              const kind_outcomes& aOutcomes,
              std::uint64_t aKind);

/**
 * Applies the consecutive failures of a new load report; `aBefore` is the
 * number in the previous report.
 */
void
ApplyReportedFailures(target_table& aTable,
                      target_index aTarget,
                      std::uint32_t aBefore);

/** Reinstates targets where more than the allowed share is ejected. */
void
EnforceEjectedShare(target_table& aTable);

/** Returns whether an ejected target is due for a probe. */
bool
IsProbeDue(const target_table& aTable,
           const target_view& aTarget,
           core::instant aNow);

} // namespace gooseberry::target
