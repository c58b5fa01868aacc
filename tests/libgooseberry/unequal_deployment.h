#pragma once

#include "libgooseberry/entry/internal.h"

#include "entry_fixture.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

/** Replays load on entries with unequal processors behind a balancer. */
namespace gooseberry::test {

using namespace std::chrono_literals;

/** Processor time of one job on a full core. */
inline constexpr core::duration kJobCost = 1ms;
inline constexpr int kAgents = 66;
/** Millicores that load reports of the agents use. */
inline constexpr std::uint32_t kMillicoresForAgents = 30;
/** Longest part of a job's wait that ticks measure: most of the wait is in
 * other threads. */
inline constexpr core::duration kMaxControlDelay = 15ms;
/** Wait after which a job is too late. */
inline constexpr core::duration kMaxWait = 300ms;
inline constexpr core::duration kStep = 1ms;
inline constexpr core::duration kTickInterval = 50ms;
inline constexpr core::duration kHeartbeatInterval = 500ms;
inline constexpr core::duration kCheckInterval = 1s;
inline constexpr int kFailedChecksToRemove = 2;

/** An entry that serves jobs in order on one processor. */
struct test_entry
{
  entry::entry_control mControl;
  std::string mDomain;
  core::duration mCost{}; ///< Of one job.
  core::instant mFreeAt{};
  int mFailedChecks = 0;
  std::uint64_t mJobsAtTick = 0;
  bool mIsSilent = false; ///< Its heartbeats are lost.
  bool mTellsRate = true; ///< False for an earlier version.

  bool IsSmall() const { return mControl.mOptions.mMillicores < 200; }
  bool InRotation() const { return mFailedChecks < kFailedChecksToRemove; }
};

/** Callers of one failure domain; each keeps a connection to one entry. */
struct test_domain
{
  std::vector<std::size_t> mEntries;
  std::vector<std::size_t> mCallers; ///< Index of each caller's entry.
  int mSubmitted = 0;
  int mServed = 0;

  double Share() const { return double(mServed) / std::max(mSubmitted, 1); }
};

/** Entries of three domains behind a balancer that spreads callers evenly. */
class deployment
{
public:
  explicit deployment(const std::vector<std::vector<std::uint32_t>>& aCores,
                      core::duration aJobCost = kJobCost)
    : mJobCost(aJobCost)
  {
    for (std::size_t domain = 0; domain < aCores.size(); ++domain) {
      mDomains.emplace_back();
      for (const std::uint32_t millicores : aCores[domain]) {
        mDomains.back().mEntries.push_back(mEntries.size());
        AddEntry("d" + std::to_string(domain), millicores);
      }
      mDomains.back().mCallers.assign(kCallers, kNone);
    }
  }

  /** Advances the clock; `aRate`: jobs per second from each domain. */
  void Run(core::duration aTime, int aRate)
  {
    std::bernoulli_distribution arrives(double(aRate) * 0.001);
    for (const core::instant end = mNow + aTime; mNow < end; mNow += kStep) {
      const auto since = mNow.time_since_epoch();
      if (since % kTickInterval == 0ms) {
        TickEntries();
      }
      if (since % kHeartbeatInterval == 0ms) {
        ExchangeHeartbeats();
      }
      if (since % kCheckInterval == 0ms) {
        CheckEntries();
      }
      for (test_domain& domain : mDomains) {
        if (arrives(mRandom)) {
          SendJob(domain);
        }
      }
    }
  }

  void ResetCounts()
  {
    for (test_domain& domain : mDomains) {
      domain.mSubmitted = 0;
      domain.mServed = 0;
    }
  }

  double WorstShare() const { return Bounds().first; }
  double BestShare() const { return Bounds().second; }
  test_entry& Entry(std::size_t aIndex) { return mEntries[aIndex]; }
  /** All callers open new connections with their next job. */
  void Reconnect()
  {
    for (test_domain& domain : mDomains) {
      domain.mCallers.assign(kCallers, kNone);
    }
  }

  core::instant Now() const { return mNow; }
  std::deque<test_entry>& Entries() { return mEntries; }

  /** Returns how many of the small entries are in rotation. */
  std::ptrdiff_t SmallInRotation() const
  {
    return std::count_if(
      mEntries.begin(), mEntries.end(), [](const test_entry& aEntry) {
        return aEntry.IsSmall() && aEntry.InRotation();
      });
  }

  /** Returns how often entries have left the rotation. */
  int Departures() const { return mDepartures; }

private:
  static constexpr std::size_t kCallers = 20;
  static constexpr std::size_t kNone = SIZE_MAX;

  void AddEntry(const std::string& aDomain, std::uint32_t aMillicores)
  {
    entry::entry_options options = entry::test::LeasedOptions();
    options.mName = "e" + std::to_string(mEntries.size());
    options.mAddress = options.mName + ":1";
    options.mFailureDomain = aDomain;
    options.mMillicores = aMillicores;
    entry::effects effects;
    test_entry added{ entry::MakeEntry(options, 1, 1, mNow, effects),
                      aDomain,
                      mJobCost * 1000 / (aMillicores - kMillicoresForAgents),
                      mNow };
    entry::OnConfigurationRead(
      added.mControl, entry::test::MakeConfiguration(), mNow, mNow, effects);
    for (int i = 0; i < kAgents; ++i) {
      core::agent_state agent;
      agent.mAgent = { "w" + std::to_string(i), 1 };
      agent.mOpen = true;
      agent.mTargets.resize(1);
      agent.mTargets[0].mName = "t" + std::to_string(i);
      entry::OnAnnounce(added.mControl, agent, mNow, effects);
    }
    mEntries.push_back(std::move(added));
  }

  void TickEntries()
  {
    entry::effects effects;
    for (test_entry& each : mEntries) {
      each.mControl.mJobMeter.mProcessorTime +=
        kTickInterval * kMillicoresForAgents / 1000;
      // As the program does: ticks without submissions count as no delay.
      const std::uint64_t jobs = each.mControl.mCounters.mSubmissions;
      if (std::exchange(each.mJobsAtTick, jobs) == jobs) {
        quota::RecordDelay(each.mControl.mQueueDelay, 0ms, mNow);
      }
      entry::Tick(each.mControl, mNow, effects);
    }
  }

  void ExchangeHeartbeats()
  {
    entry::effects effects;
    for (const test_entry& from : mEntries) {
      if (from.mIsSilent) {
        continue;
      }
      core::heartbeat beat = entry::MakeHeartbeat(from.mControl, mNow);
      if (!from.mTellsRate) {
        beat.mJobsPerSecond.reset();
      }
      for (test_entry& to : mEntries) {
        entry::OnHeartbeat(to.mControl, beat, mNow, effects);
      }
    }
  }

  void CheckEntries()
  {
    for (test_entry& server : mEntries) {
      server.mFailedChecks =
        entry::IsReady(server.mControl, mNow) ? 0 : server.mFailedChecks + 1;
      mDepartures += server.mFailedChecks == kFailedChecksToRemove ? 1 : 0;
    }
  }

  /** Returns the entries available to new connections of a domain's callers. */
  std::vector<std::size_t> Rotation(const test_domain& aDomain) const
  {
    const auto ready = [this](const std::vector<std::size_t>& aEntries) {
      std::vector<std::size_t> found;
      for (const std::size_t index : aEntries) {
        if (mEntries[index].InRotation()) {
          found.push_back(index);
        }
      }
      return found;
    };
    const auto own = ready(aDomain.mEntries);
    if (!own.empty()) {
      return 2 * own.size() < aDomain.mEntries.size() ? aDomain.mEntries : own;
    }
    std::vector<std::size_t> others;
    for (const test_domain& domain : mDomains) {
      const auto found = ready(domain.mEntries);
      others.insert(others.end(), found.begin(), found.end());
    }
    return others.empty() ? aDomain.mEntries : others;
  }

  void SendJob(test_domain& aDomain)
  {
    std::size_t& connected = aDomain.mCallers[mRandom() % kCallers];
    if (connected == kNone || !mEntries[connected].InRotation()) {
      const auto rotation = Rotation(aDomain);
      connected = rotation[mRandom() % rotation.size()];
    }
    test_entry& server = mEntries[connected];
    const core::instant begun = std::max(mNow, server.mFreeAt);
    quota::RecordDelay(server.mControl.mQueueDelay,
                       std::min(begun - mNow, kMaxControlDelay),
                       begun);
    ++aDomain.mSubmitted;
    ++server.mControl.mCounters.mSubmissions;
    std::uniform_real_distribution<double> draw(0, 1);
    if (!quota::AdmitsSubmission(server.mControl.mQueueDelay, draw(mRandom))) {
      return;
    }
    server.mFreeAt = begun + server.mCost;
    server.mControl.mJobMeter.mProcessorTime += mJobCost;
    aDomain.mServed += server.mFreeAt - mNow < kMaxWait ? 1 : 0;
  }

  std::pair<double, double> Bounds() const
  {
    const auto [worst, best] = std::minmax_element(
      mDomains.begin(),
      mDomains.end(),
      [](const test_domain& aLeft, const test_domain& aRight) {
        return aLeft.Share() < aRight.Share();
      });
    return { worst->Share(), best->Share() };
  }

  core::duration mJobCost;
  int mDepartures = 0;
  core::instant mNow{ 1000s };
  std::mt19937 mRandom{ 1 };
  std::deque<test_entry> mEntries;
  std::vector<test_domain> mDomains;
};

} // namespace gooseberry::test
