#include "libgooseberry/quota/queue_delay.h"

#include <algorithm>

namespace gooseberry::quota {

namespace {

constexpr core::duration kWindow = std::chrono::milliseconds(100);
/**
 * Limit of the mean delay in a window. A job has several such delays, in
 * threads and sockets.
 */
constexpr core::duration kLongDelay = std::chrono::milliseconds(12);
/** Mean delay of a second that callers should be moved for. It is below
 * `kLongDelay`, as a balancer needs seconds to move them. */
constexpr core::duration kNearLongDelay = std::chrono::milliseconds(8);
/** Windows that the mean delay covers. */
constexpr std::int64_t kMeanWindows = 10;
/** Factor applied to the share after a window with a long delay. */
constexpr double kDecrease = 0.8;
/** Added to the share after any other window. */
constexpr double kIncrease = 0.1;

/** Below this share, callers are better served by another entry. */
constexpr double kBusyShare = 0.75;
/**
 * A balancer needs seconds to move callers; a shorter time would make them
 * oscillate between entries.
 */
constexpr core::duration kBusyTime = std::chrono::seconds(15);

} // namespace

void
RecordDelay(queue_delay& aDelay, core::duration aWaited, core::instant aNow)
{
  aDelay.mSum += aWaited;
  ++aDelay.mSamples;
  if (aNow < aDelay.mWindowEnd) {
    return;
  }
  const core::duration windowMean = aDelay.mSum / aDelay.mSamples;
  aDelay.mMean += (windowMean - aDelay.mMean) / kMeanWindows;
  const bool isLong = windowMean > kLongDelay;
  aDelay.mShare = isLong ? std::max(kMinShare, aDelay.mShare * kDecrease)
                         : std::min(1.0, aDelay.mShare + kIncrease);
  if (aDelay.mShare < kBusyShare) {
    aDelay.mBusyUntil = aNow + kBusyTime;
  }
  aDelay.mSum = {};
  aDelay.mSamples = 0;
  aDelay.mWindowEnd = aNow + kWindow;
}

bool
IsBusy(const queue_delay& aDelay, core::instant aNow)
{
  return aNow < aDelay.mBusyUntil;
}

bool
IsNearLimit(const queue_delay& aDelay)
{
  return aDelay.mMean > kNearLongDelay;
}

int
SharePercent(const queue_delay& aDelay)
{
  constexpr int kPercent = 100;
  return static_cast<int>(aDelay.mShare * kPercent);
}

bool
AdmitsSubmission(const queue_delay& aDelay, double aDraw)
{
  return aDraw < aDelay.mShare;
}

} // namespace gooseberry::quota
