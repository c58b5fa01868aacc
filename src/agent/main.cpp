#include "agent/agent_daemon.h"
#include "libgooseberryio/agent_settings.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/program.h"
#include "libgooseberryio/stop_signals.h"

#include <cstdint>
#include <random>
#include <variant>

namespace {

using namespace gooseberry;

constexpr core::duration kSignalPoll = std::chrono::milliseconds(20);

std::uint64_t
RandomIncarnation()
{
  constexpr unsigned kWordBits = 31; // Leaves the sign bit of the wire clear.
  std::random_device device;
  return (std::uint64_t{ device() } << kWordBits) ^ device();
}

agentd::daemon_settings
DaemonSettings(const io::agent_settings& aSettings)
{
  agentd::daemon_settings daemon;
  daemon.mListen = aSettings.mPeerAddress;
  daemon.mHttp = aSettings.mHttpAddress;
  daemon.mPlatform = aSettings.mPlatform;
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
  control.mAnnounceInterval = aSettings.mProtocol.mAnnounce;
  control.mQueuePerTarget = aSettings.mLimits.mQueuePerTarget;
  control.mMaxTargets = aSettings.mLimits.mMaxTargets;
  control.mMaxResultBytes = aSettings.mLimits.mResultBytes;
  return daemon;
}

/** Serves until the process has left; a second signal ends it at once. */
io::exit_code
Serve(const io::program& aProgram,
      const io::agent_settings& aSettings,
      io::stop_signals& aSignals)
{
  agentd::agent_daemon daemon(DaemonSettings(aSettings));
  if (const auto error = daemon.Start(); error) {
    io::PrintError(aProgram, *error);
    return io::exit_code::CannotStart;
  }
  while (!aSignals.WaitFor(kSignalPoll)) {
  }
  daemon.Leave();
  while (!daemon.HasLeft()) {
    std::this_thread::sleep_for(kSignalPoll);
  }
  daemon.Stop();
  return io::exit_code::Ok;
}

io::exit_code
Run(int aCount, const char* const* aWords)
{
  const io::program program{ "gooseberry-agent",
                             "Runs tasks on the targets of one worker.",
                             io::AgentSettingsReference() };
  const auto read =
    io::ReadProgramSettings(program, io::ParseAgentSettings, aCount, aWords);
  if (const auto* code = std::get_if<io::exit_code>(&read)) {
    return *code;
  }
  const auto& settings = std::get<io::agent_settings>(read);
  io::stop_signals signals;
  if (const auto error = io::SetUpLog(settings.mLog); error) {
    io::PrintError(program, *error);
    return io::exit_code::CannotStart;
  }
  return Serve(program, settings, signals);
}

} // namespace

int
main(int aCount, char** aWords)
{
  return static_cast<int>(Run(aCount, aWords));
}
