#include "entry/entry_process.h"

#include "libgooseberryio/entry_settings.h"

namespace gooseberry::entry_program {

namespace {

entry::entry_options
ToEntryOptions(const io::entry_settings& aSettings)
{
  entry::entry_options options;
  options.mName = aSettings.mName;
  options.mAddress = aSettings.mPeerAddress;
  options.mFailureDomain = aSettings.mFailureDomain;
  options.mMillicores = aSettings.mMillicores;
  options.mTrustFirstAttempt = aSettings.mProtocol.mTrustFirstAttempt;
  options.mWindow = aSettings.mProtocol.mDeduplicationWindow;
  options.mFreshnessBound = aSettings.mProtocol.mFreshnessBound;
  options.mHeartbeat = aSettings.mProtocol.mHeartbeat;
  options.mLeasedRuns = aSettings.mProtocol.mLeasedRuns;
  options.mAgentLost = aSettings.mProtocol.mAgentLost;
  options.mMembersPeriod = aSettings.mProtocol.mMembersPeriod;
  options.mOrder.mPolicy = aSettings.mOrder;
  options.mPlacement = aSettings.mPlacement;
  options.mPlacement.mAffinitySeed = std::hash<std::string>{}(aSettings.mName);
  options.mAdmission.mMaxWait = aSettings.mLimits.mMaxQueueWait;
  options.mRetry.mShare = aSettings.mRetryShare;
  options.mLogDecisions = aSettings.mLogDecisions;
  return options;
}

} // namespace

process_options
MakeProcessOptions(const io::entry_settings& aSettings)
{
  process_options options;
  options.mEntry = ToEntryOptions(aSettings);
  options.mCallers.mMaxTasks = aSettings.mLimits.mMaxTasks;
  options.mCallers.mMaxPayloadBytes = aSettings.mLimits.mMaxPayloadBytes;
  options.mCallers.mDefaultDeadline = aSettings.mLimits.mDefaultDeadline;
  options.mCallers.mMaxDeadline = aSettings.mLimits.mMaxDeadline;
  options.mHttp.mAddress = aSettings.mHttpAddress;
  options.mHttp.mMaxBody = aSettings.mLimits.mMaxBodyBytes;
  options.mHttp.mBodyTimeout = aSettings.mLimits.mBodyTimeout;
  options.mHttp.mBudget = std::make_shared<io::body_budget>(
    aSettings.mLimits.mMaxBufferedBytes, aSettings.mLimits.mMaxBodyBytes);
  options.mHttp.mMaxConnections = aSettings.mLimits.mMaxCallers;
  options.mHttp.mMaxRequests = aSettings.mLimits.mMaxCallers;
  options.mMakeStore = [platform = aSettings.mPlatform] {
    return std::make_unique<io::platform_client>(platform);
  };
  options.mPeerDeadline = aSettings.mProtocol.mPeerDeadline;
  return options;
}

} // namespace gooseberry::entry_program
