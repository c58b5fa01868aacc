#include "entry_process.h"

#include "libgooseberryio/entry_settings.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/program.h"
#include "libgooseberryio/stop_signals.h"

namespace {

using namespace gooseberry;

entry::entry_options
ToEntryOptions(const io::entry_settings& aSettings)
{
  entry::entry_options options;
  options.mName = aSettings.mName;
  options.mAddress = aSettings.mPeerAddress;
  options.mFailureDomain = aSettings.mFailureDomain;
  options.mTrustFirstAttempt = aSettings.mProtocol.mTrustFirstAttempt;
  options.mWindow = aSettings.mProtocol.mDeduplicationWindow;
  options.mFreshnessBound = aSettings.mProtocol.mFreshnessBound;
  options.mHeartbeat = aSettings.mProtocol.mHeartbeat;
  options.mOrder.mPolicy = aSettings.mOrder;
  options.mPlacement = aSettings.mPlacement;
  options.mPlacement.mAffinitySeed = std::hash<std::string>{}(aSettings.mName);
  options.mAdmission.mMaxWait = aSettings.mLimits.mMaxQueueWait;
  options.mRetry.mShare = aSettings.mRetryShare;
  options.mLogDecisions = aSettings.mLogDecisions;
  return options;
}

entry_program::process_options
ToProcessOptions(const io::entry_settings& aSettings)
{
  entry_program::process_options options;
  options.mEntry = ToEntryOptions(aSettings);
  options.mCallers.mMaxTasks = aSettings.mLimits.mMaxTasks;
  options.mCallers.mMaxPayloadBytes = aSettings.mLimits.mMaxPayloadBytes;
  options.mCallers.mDefaultDeadline = aSettings.mLimits.mDefaultDeadline;
  options.mCallers.mMaxDeadline = aSettings.mLimits.mMaxDeadline;
  options.mHttp.mAddress = aSettings.mHttpAddress;
  options.mHttp.mMaxBody = aSettings.mLimits.mMaxBodyBytes;
  options.mHttp.mMaxConnections = aSettings.mLimits.mMaxCallers;
  options.mHttp.mMaxRequests = aSettings.mLimits.mMaxCallers;
  options.mPlatform = aSettings.mPlatform;
  options.mPeerDeadline = aSettings.mProtocol.mPeerDeadline;
  return options;
}

/** Serves until a signal, then until all that was taken is answered. */
void
Serve(entry_program::entry_process& aProcess, io::stop_signals& aSignals)
{
  constexpr core::duration kPoll = std::chrono::milliseconds(50);
  // The balancer is to see /readyz turn before callers are refused.
  constexpr core::duration kBalancerNotice = std::chrono::seconds(1);
  while (!aSignals.WaitFor(kPoll)) {
  }
  aProcess.AnnounceLeaving();
  std::this_thread::sleep_for(kBalancerNotice);
  aProcess.Leave();
  while (!aProcess.IsDrained()) {
    std::this_thread::sleep_for(kPoll);
  }
  aProcess.Stop();
}

} // namespace

int
main(int aCount, char** aWords)
{
  const io::program program{ "gooseberry-entry",
                             "Takes jobs from callers and dispatches their "
                             "tasks",
                             io::EntrySettingsReference() };
  const auto read =
    io::ReadProgramSettings(program, &io::ParseEntrySettings, aCount, aWords);
  if (const auto* code = std::get_if<io::exit_code>(&read)) {
    return static_cast<int>(*code);
  }
  const auto& settings = std::get<io::entry_settings>(read);
  if (const auto error = io::SetUpLog(settings.mLog)) {
    io::PrintError(program, *error);
    return static_cast<int>(io::exit_code::CannotStart);
  }
  io::stop_signals signals;
  entry_program::entry_process process(ToProcessOptions(settings));
  if (const auto error = process.Start()) {
    io::PrintError(program, *error);
    return static_cast<int>(io::exit_code::CannotStart);
  }
  Serve(process, signals);
  const io::log_event stopped("entry_stopped");
  return static_cast<int>(io::exit_code::Ok);
}
