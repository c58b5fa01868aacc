#include "agent/daemon_settings.h"

#include <algorithm>
#include <random>

namespace gooseberry::agentd {

namespace {

std::uint64_t
RandomIncarnation()
{
  constexpr unsigned kWordBits = 31; // Leaves the sign bit of the wire clear.
  std::random_device device;
  return (std::uint64_t{ device() } << kWordBits) ^ device();
}

/**
 * Parts of the time after which a job may run elsewhere. Up to the first, a run
 * goes on without word of its entry. By the second its lease has lapsed, if
 * nothing else has ended it; the rest is for the drift of a target's clock. The
 * last is the longest lease: what is left of the hold beside it is how old an
 * entry's word may be at a start.
 */
constexpr int kSilencePercent = 70;
constexpr int kHoldPercent = 92;
constexpr int kLeasePercent = 58;
constexpr int kPercent = 100;
/** Announces that may be lost before an entry counts as silent. */
constexpr int kAnnouncesInSilence = 3;

} // namespace

daemon_settings
MakeDaemonSettings(const io::agent_settings& aSettings)
{
  daemon_settings daemon;
  daemon.mListen = aSettings.mPeerAddress;
  daemon.mHttp.mAddress = aSettings.mHttpAddress;
  daemon.mHttp.mMaxBody = aSettings.mLimits.mMaxBodyBytes;
  daemon.mHttp.mBodyTimeout = aSettings.mLimits.mBodyTimeout;
  daemon.mHttp.mBudget = std::make_shared<io::body_budget>(
    aSettings.mLimits.mMaxBufferedBytes, aSettings.mLimits.mMaxBodyBytes);
  daemon.mMakeStore = [platform = aSettings.mPlatform] {
    return std::make_unique<io::platform_client>(platform);
  };
  daemon.mCallDeadline = aSettings.mProtocol.mPeerDeadline;
  daemon.mMaxResult = aSettings.mLimits.mMaxAnswerBytes;
  daemon.mMaxLease = aSettings.mLimits.mTargetLease;
  daemon.mLogDecisions = aSettings.mLogDecisions;
  auto& control = daemon.mControl;
  control.mAgent = { aSettings.mName, RandomIncarnation() };
  control.mAddress = aSettings.mPeerAddress;
  control.mFailureDomain = aSettings.mFailureDomain;
  control.mRack = aSettings.mRack;
  control.mFreshnessBound = aSettings.mProtocol.mFreshnessBound;
  control.mDeduplicationWindow = aSettings.mProtocol.mDeduplicationWindow;
  control.mLeasedRuns = aSettings.mProtocol.mLeasedRuns;
  control.mEntryContactTimeout =
    aSettings.mProtocol.mResubmit * kSilencePercent / kPercent;
  control.mLease.mRunHold =
    aSettings.mProtocol.mResubmit * kHoldPercent / kPercent;
  control.mLoadReportInterval = aSettings.mProtocol.mAnnounce;
  if (control.mLeasedRuns) {
    control.mLoadReportInterval =
      std::min(control.mLoadReportInterval,
               control.mEntryContactTimeout / kAnnouncesInSilence);
  }
  control.mLease.mLongestLease = aSettings.mProtocol.mLease;
  control.mLease.mLease =
    std::min(aSettings.mProtocol.mLease,
             aSettings.mProtocol.mResubmit * kLeasePercent / kPercent);
  control.mQueuePerTarget = aSettings.mLimits.mQueuePerTarget;
  control.mMaxTargets = aSettings.mLimits.mMaxTargets;
  control.mMaxResultBytes = aSettings.mLimits.mResultBytes;
  return daemon;
}

} // namespace gooseberry::agentd
