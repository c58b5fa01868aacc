#include "target/announcer.h"
#include "target/server.h"
#include "target/settings.h"

#include <curl/curl.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <list>
#include <thread>

using namespace gooseberry;
using namespace gooseberry::tools::target;

namespace {

constexpr std::chrono::seconds kDrainTimeout{ 10 };
constexpr std::chrono::milliseconds kDrainPoll{ 10 };

/** Blocks the signals that end the process, for this and all later threads. */
sigset_t
BlockEndSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void
Drain(std::list<target_state>& aTargets)
{
  for (target_state& target : aTargets) {
    Leave(target);
  }
  const auto until = std::chrono::steady_clock::now() + kDrainTimeout;
  for (target_state& target : aTargets) {
    std::unique_lock guard(target.mMutex);
    while (target.mRunning > 0 && std::chrono::steady_clock::now() < until) {
      target.mWake.wait_for(guard, kDrainPoll);
    }
  }
}

void
WriteRecords(std::list<target_state>& aTargets, const std::string& aFile)
{
  std::ofstream file(aFile);
  for (target_state& target : aTargets) {
    file << FormatRecords(target);
  }
}

} // namespace

int
main(int aCount, char** aWords)
{
  const settings line = ParseCommandLine(aCount, aWords);
  const sigset_t signals = BlockEndSignals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  std::list<target_state> targets;
  std::vector<server_ptr> servers;
  std::vector<std::jthread> announcers;
  for (const target_settings& one : line.mTargets) {
    target_state& target = targets.emplace_back();
    target.mSettings = one;
    target.mFaults = line.mFaults;
    target.mRandom.seed(line.mSeed + targets.size());
    auto served = Serve(target);
    if (const auto* failure = std::get_if<core::error>(&served)) {
      std::cerr << "target-standin: " << core::ToString(*failure) << std::endl;
      return 1;
    }
    servers.push_back(std::move(std::get<server_ptr>(served)));
    announcers.emplace_back([&target] { KeepAnnounced(target); });
  }
  int signal = 0;
  sigwait(&signals, &signal);
  Drain(targets);
  for (target_state& target : targets) {
    Stop(target);
  }
  announcers.clear();
  servers.clear();
  if (!line.mRecordsFile.empty()) {
    WriteRecords(targets, line.mRecordsFile);
  }
  return 0;
}
