#include "libgooseberry/target/health.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::target {

namespace {

/** Numbers of recent outcomes of a kind on different targets. */
struct outcome_count
{
  std::size_t mFailed = 0;
  std::size_t mSucceeded = 0;
};

outcome_count
CountRecent(const kind_outcomes& aOutcomes,
            std::optional<target_index> aExcept,
            core::instant aNow)
{
  outcome_count count;
  for (std::size_t i = 0; i < aOutcomes.mCount; ++i) {
    const kind_outcome& outcome = aOutcomes.mOutcomes[i];
    if (outcome.mTarget == aExcept ||
        aNow - outcome.mEndedAt > kMaxOutcomeAge) {
      continue;
    }
    ++(outcome.mFailed ? count.mFailed : count.mSucceeded);
  }
  return count;
}

kind_outcome&
FindOrEvict(kind_outcomes& aOutcomes, target_index aTarget)
{
  auto* const begin = aOutcomes.mOutcomes.data();
  auto* const end = begin + aOutcomes.mCount;
  auto* const same = std::find_if(begin, end, [&](const kind_outcome& aOther) {
    return aOther.mTarget == aTarget;
  });
  if (same != end) {
    return *same;
  }
  if (aOutcomes.mCount < kind_outcomes::kTargets) {
    return aOutcomes.mOutcomes[aOutcomes.mCount++];
  }
  return *std::min_element(
    begin, end, [](const kind_outcome& aLeft, const kind_outcome& aRight) {
      return aLeft.mEndedAt < aRight.mEndedAt;
    });
}

} // namespace

void
RecordOutcome(kind_outcomes& aOutcomes,
              target_index aTarget,
              bool aFailed,
              core::instant aNow)
{
  FindOrEvict(aOutcomes, aTarget) = { aTarget, aFailed, aNow };
}

bool
FailsElsewhere(const kind_outcomes& aOutcomes,
               target_index aTarget,
               core::instant aNow)
{
  const auto [failed, succeeded] = CountRecent(aOutcomes, aTarget, aNow);
  return failed > 0 && failed >= succeeded;
}

bool
FailsEverywhere(const kind_outcomes& aOutcomes, core::instant aNow)
{
  const auto [failed, succeeded] = CountRecent(aOutcomes, std::nullopt, aNow);
  return failed >= 2 && failed > succeeded;
}

void
Eject(target_health& aHealth,
      const placement_settings& aSettings,
      core::instant aNow)
{
  const bool again = aHealth.mEjected;
  aHealth.mEjected = true;
  aHealth.mProbeAfter =
    again ? std::min(aHealth.mProbeAfter * 2, aSettings.mMaxProbeAfter)
          : aSettings.mFirstProbeAfter;
  aHealth.mProbeAt = aNow + aHealth.mProbeAfter;
}

void
Reinstate(target_health& aHealth, std::uint32_t aReported)
{
  aHealth = target_health{};
  aHealth.mIgnoredFailures = aReported;
}

void
CountFailure(target_health& aHealth, std::uint64_t aKind)
{
  const bool same = aHealth.mOwnFailures == 0 || aHealth.mKind == aKind;
  aHealth.mKind = same ? aKind : 0;
  ++aHealth.mOwnFailures;
}

bool
UpdateSuspicion(target_health& aHealth,
                std::uint32_t aReported,
                const placement_settings& aSettings,
                core::instant aNow)
{
  if (aReported < aHealth.mIgnoredFailures) {
    aHealth.mIgnoredFailures = 0;
  }
  if (aReported - aHealth.mIgnoredFailures < aSettings.mEjectAfterFailures) {
    aHealth.mSuspectSince.reset();
    return false;
  }
  if (!aHealth.mSuspectSince) {
    aHealth.mSuspectSince = aNow;
  }
  return aNow - *aHealth.mSuspectSince >= kSuspectTime;
}

std::size_t
MaxEjected(const placement_settings& aSettings, std::size_t aTargets)
{
  const double share = std::clamp(aSettings.mMaxEjectedShare, 0.0, 1.0);
  return static_cast<std::size_t>(
    std::floor(share * static_cast<double>(aTargets)));
}

} // namespace gooseberry::target
