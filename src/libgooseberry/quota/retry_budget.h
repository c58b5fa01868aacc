#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>

namespace gooseberry::quota {

struct retry_budget_settings
{
  /** Retries earned per start. */
  double mShare = 0.1;
  /** Retries earned per second without any start. */
  double mFloorPerSecond = 1.0;
  /** Largest number of retries saved; also the initial number. */
  double mBurst = 32.0;
};

/**
 * Token bucket for the retries of one entry. It limits the load that failures
 * add: in any period, to the share of the starts, plus the floor, plus the
 * burst.
 */
struct retry_budget
{
  retry_budget_settings mSettings;
  double mSpent = 0; ///< Retries of the burst already spent; never below 0.
  core::instant mEarnedAt{};
};

/** Adds the retries earned by first starts; retries earn none. */
void
EarnRetries(retry_budget& aBudget, std::uint32_t aStarts);

/** Spends one retry. Returns false and spends nothing where none is left. */
bool
SpendRetry(retry_budget& aBudget, core::instant aNow);

} // namespace gooseberry::quota
