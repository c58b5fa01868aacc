#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>

namespace gooseberry::quota {

struct retry_budget_settings
{
  /** Retries for each start. */
  double mShare = 0.1;
  /** Retries that are earned each second without any start. */
  double mFloorPerSecond = 1.0;
  /** Retries that can be saved up; also what there is at first. */
  double mBurst = 32.0;
};

/**
 * Token bucket of the retries of one entry. It bounds the load that failures
 * add: in any time, at most the share of the starts, the floor and the burst.
 */
struct retry_budget
{
  retry_budget_settings mSettings;
  double mSpent = 0; ///< Of the burst; never below 0.
  core::instant mEarnedAt{};
};

/** Counts first starts; retries earn none. */
void
EarnRetries(retry_budget& aBudget, std::uint32_t aStarts);

/** Takes one retry; false, and nothing is taken, where there is none. */
bool
SpendRetry(retry_budget& aBudget, core::instant aNow);

} // namespace gooseberry::quota
