#include "libgooseberry/quota/retry_budget.h"

#include <algorithm>

namespace gooseberry::quota {

namespace {

void
Earn(retry_budget& aBudget, double aRetries)
{
  aBudget.mSpent = std::max(0.0, aBudget.mSpent - aRetries);
}

} // namespace

void
EarnRetries(retry_budget& aBudget, std::uint32_t aStarts)
{
  Earn(aBudget, aBudget.mSettings.mShare * aStarts);
}

bool
SpendRetry(retry_budget& aBudget, core::instant aNow)
{
  if (aNow > aBudget.mEarnedAt) {
    const std::chrono::duration<double> passed = aNow - aBudget.mEarnedAt;
    Earn(aBudget, aBudget.mSettings.mFloorPerSecond * passed.count());
    aBudget.mEarnedAt = aNow;
  }
  // Adding 0.1 ten times gives less than 1 because of rounding.
  constexpr double kRounding = 1e-6;
  if (aBudget.mSpent + 1.0 > aBudget.mSettings.mBurst + kRounding) {
    return false;
  }
  aBudget.mSpent += 1.0;
  return true;
}

} // namespace gooseberry::quota
