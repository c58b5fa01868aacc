#include "platform/service.h"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

struct settings
{
  std::string mListen;
  std::uint64_t mSeed = 1;
};

settings
ParseCommandLine(int aCount, char** aWords)
{
  TCLAP::CmdLine line("Stand-in for the platform's table service and object "
                      "store, in memory, with faults by PUT /v1/faults.",
                      ' ',
                      "0.1.0");
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "Address.", false, "127.0.0.1:9500", "IP:PORT", line);
  TCLAP::ValueArg<std::uint64_t> seed(
    "", "seed", "Seed of the faults.", false, 1, "NUMBER", line);
  line.parse(aCount, aWords);
  return { .mListen = listen.getValue(), .mSeed = seed.getValue() };
}

/** Waits for SIGTERM or SIGINT, which all threads must have blocked. */
void
WaitForSignal(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

} // namespace

/** Runs the stand-in until SIGTERM or SIGINT. */
int
main(int aCount, char** aWords)
{
  const auto settings = ParseCommandLine(aCount, aWords);

  // Threads inherit the mask: the signals are taken by `sigwait` alone.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  gooseberry::platform::service service(settings.mListen, settings.mSeed);
  if (const auto failure = service.Start()) {
    std::cerr << gooseberry::core::ToString(*failure) << '\n';
    return 1;
  }
  std::cout << "listening on port " << service.Port() << std::endl;
  WaitForSignal(signals);
  service.Stop();
  return 0;
}
