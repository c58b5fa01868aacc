#include "agent/agent_daemon.h"

#include "libgooseberryio/log.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

using namespace gooseberry;

constexpr auto kSignalPoll = std::chrono::milliseconds(20);
constexpr int kExitStart = 1;
constexpr int kExitStopped = 3;

volatile std::sig_atomic_t sSignals = 0;

void
OnSignal(int)
{
  sSignals = sSignals + 1;
}

std::uint64_t
RandomIncarnation()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 31U) ^ device();
}

agentd::daemon_settings
ReadSettings(int aCount, char** aWords)
{
  TCLAP::CmdLine line("gooseberry-agent", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> name("", "name", "", true, "", "NAME", line);
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> http("", "http", "", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> platform(
    "", "platform", "", true, "", "URL", line);
  TCLAP::ValueArg<std::string> domain(
    "", "failure-domain", "", true, "", "NAME", line);
  TCLAP::ValueArg<std::string> rack("", "rack", "", false, "", "NAME", line);
  line.parse(aCount, aWords);
  agentd::daemon_settings settings;
  settings.mControl.mAgent = { name.getValue(), RandomIncarnation() };
  settings.mControl.mAddress = listen.getValue();
  settings.mControl.mFailureDomain = domain.getValue();
  settings.mControl.mRack = rack.getValue();
  settings.mListen = listen.getValue();
  settings.mHttp = http.getValue();
  settings.mPlatform.mUrl = platform.getValue();
  return settings;
}

/** Serves until the process has left, or a second signal stops it. */
int
Serve(agentd::agent_daemon& aDaemon)
{
  bool isLeaving = false;
  while (!aDaemon.HasLeft()) {
    std::this_thread::sleep_for(kSignalPoll);
    if (sSignals > 0 && !isLeaving) {
      isLeaving = true;
      aDaemon.Leave();
    }
    if (sSignals > 1) {
      std::_Exit(kExitStopped);
    }
  }
  aDaemon.Stop();
  return EXIT_SUCCESS;
}

} // namespace

int
main(int aCount, char** aWords)
{
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  const auto settings = ReadSettings(aCount, aWords);
  if (const auto error = io::SetUpLog({}); error) {
    std::cerr << "gooseberry-agent: " << core::ToString(*error) << '\n';
    return kExitStart;
  }
  agentd::agent_daemon daemon(settings);
  if (const auto error = daemon.Start(); error) {
    std::cerr << "gooseberry-agent: " << core::ToString(*error) << '\n';
    return kExitStart;
  }
  return Serve(daemon);
}
