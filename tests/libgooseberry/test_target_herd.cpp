#include "target_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <variant>
#include <vector>

using namespace gooseberry;
using namespace gooseberry::target;
using namespace gooseberry::target::test;

/**
 * Guards against a thundering herd: entries with stale load reports that choose
 * the same worker. Three entries place tasks on 10 workers of 8 slots. An entry
 * receives a worker's load in the replies to its own messages and every 500 ms.
 * A worker without a free slot rejects the start.
 */
namespace {

constexpr std::uint32_t kEntries = 3;
constexpr std::uint32_t kWorkers = 10;
constexpr std::uint32_t kSlots = 8;
constexpr core::duration kOneWay = 250us;
constexpr core::duration kReportEvery = 500ms;
constexpr core::duration kMeanRunTime = 300ms;
constexpr core::duration kLength = 120s;

struct simulation_event
{
  core::instant mTime;
  std::uint64_t mOrder;
  std::function<void()> mAction;

  bool operator<(const simulation_event& aOther) const
  {
    return mTime != aOther.mTime ? mTime > aOther.mTime
                                 : mOrder > aOther.mOrder;
  }
};

struct simulation_entry
{
  target_table mTable;
  std::deque<core::instant> mWaiting; ///< Arrival times of the tasks.
};

struct simulation
{
  std::mt19937_64 mRandom{ 20261204 };
  core::instant mNow = kStart;
  std::uint64_t mOrder = 0;
  std::priority_queue<simulation_event> mEvents;
  cluster mCluster = MakeCluster(kWorkers, kSlots);
  std::vector<simulation_entry> mEntries;
  std::uint32_t mStarts = 0;
  std::uint32_t mRefusals = 0;
  std::vector<core::duration> mWaits; ///< From arrival to start.

  void After(core::duration aTime, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aTime, mOrder++, std::move(aAction) });
  }

  core::duration Exponential(core::duration aMean)
  {
    std::exponential_distribution<double> draw(1.0 / double(aMean.count()));
    return core::duration(std::int64_t(draw(mRandom)) + 1);
  }

  void Report(std::uint32_t aWorker, std::uint32_t aEntry)
  {
    auto report = mCluster.mAgents[aWorker];
    report.mTimestamp = mNow;
    After(kOneWay, [this, report, aEntry] {
      Observe(mEntries[aEntry].mTable, report, mNow);
      Dispatch(aEntry);
    });
  }

  void Dispatch(std::uint32_t aEntry)
  {
    simulation_entry& entry = mEntries[aEntry];
    while (!entry.mWaiting.empty()) {
      const auto where = Place(entry.mTable, MakeRequest(), mRandom, mNow);
      const auto* const choice = std::get_if<placement_choice>(&where);
      if (choice == nullptr) {
        return;
      }
      Reserve(entry.mTable, choice->mTarget);
      After(kOneWay,
            [this,
             aEntry,
             target = choice->mTarget,
             arrivedAt = entry.mWaiting.front()] {
              Start(aEntry, target, arrivedAt);
            });
      entry.mWaiting.pop_front();
    }
  }

  void Start(std::uint32_t aEntry,
             target_index aTarget,
             core::instant aArrivedAt)
  {
    auto& load = mCluster.mAgents[aTarget].mTargets[0];
    ++mStarts;
    const bool refused = load.mRunning == kSlots;
    if (refused) {
      ++mRefusals;
      After(kOneWay, [this, aEntry, aTarget, aArrivedAt] {
        Release(mEntries[aEntry].mTable, aTarget);
        mEntries[aEntry].mWaiting.push_front(aArrivedAt);
      });
    } else {
      ++load.mRunning;
      mWaits.push_back(mNow - aArrivedAt);
      After(Exponential(kMeanRunTime), [this, aEntry, aTarget] {
        --mCluster.mAgents[aTarget].mTargets[0].mRunning;
        After(kOneWay, [this, aEntry, aTarget] {
          Release(mEntries[aEntry].mTable, aTarget);
        });
        Report(aTarget, aEntry);
      });
    }
    Report(aTarget, aEntry);
  }

  void Arrive(core::duration aBetween)
  {
    const auto entry = static_cast<std::uint32_t>(mRandom() % kEntries);
    mEntries[entry].mWaiting.push_back(mNow);
    Dispatch(entry);
    After(Exponential(aBetween), [this, aBetween] { Arrive(aBetween); });
  }

  void ReportAll(std::uint32_t aWorker)
  {
    for (std::uint32_t entry = 0; entry < kEntries; ++entry) {
      Report(aWorker, entry);
    }
    After(kReportEvery, [this, aWorker] { ReportAll(aWorker); });
  }

  void Run(const std::vector<std::uint64_t>& aSeeds,
           int aLoadPercent,
           placement_policy aPolicy)
  {
    for (const std::uint64_t seed : aSeeds) {
      mEntries.push_back({ MakeTable(mCluster, seed), {} });
      mEntries.back().mTable.mSettings.mPrefetch = 0;
      mEntries.back().mTable.mSettings.mPolicy = aPolicy;
    }
    for (std::uint32_t worker = 0; worker < kWorkers; ++worker) {
      After(kReportEvery * worker / kWorkers,
            [this, worker] { ReportAll(worker); });
    }
    Arrive(kMeanRunTime * 100 / (kWorkers * kSlots * aLoadPercent));
    while (mNow < kStart + kLength) {
      const simulation_event next = mEvents.top();
      mEvents.pop();
      mNow = next.mTime;
      next.mAction();
    }
  }
};

/** Returns the refusals per 1,000 starts at 70% load, over several runs. */
double
RefusalsOf(const std::string& aName,
           const std::vector<std::vector<std::uint64_t>>& aSeeds,
           placement_policy aPolicy = placement_policy::ExpectedFinish)
{
  std::uint32_t starts = 0;
  std::uint32_t refusals = 0;
  std::vector<core::duration> waits;
  for (const auto& seeds : aSeeds) {
    simulation run;
    run.Run(seeds, 70, aPolicy);
    starts += run.mStarts;
    refusals += run.mRefusals;
    waits.insert(waits.end(), run.mWaits.begin(), run.mWaits.end());
  }
  std::sort(waits.begin(), waits.end());
  const double perThousand = 1000.0 * refusals / starts;
  BOOST_TEST_MESSAGE(aName << ": " << starts << " starts, " << perThousand
                           << " refusals per 1000, wait p99 "
                           << waits[waits.size() * 99 / 100].count() << " us");
  return perThousand;
}

} // namespace

BOOST_AUTO_TEST_SUITE(herd_suite)

BOOST_AUTO_TEST_CASE(affinity_keeps_entries_out_of_each_others_way)
{
  const double own =
    RefusalsOf("own order", { { 1, 2, 3 }, { 11, 12, 13 }, { 21, 22, 23 } });
  const double same =
    RefusalsOf("same order", { { 1, 1, 1 }, { 11, 11, 11 }, { 21, 21, 21 } });
  const double none = RefusalsOf("no order", { { 0, 0, 0 } });
  const double random =
    RefusalsOf("random", { { 0, 0, 0 } }, placement_policy::Random);
  BOOST_TEST(own < 10.0);
  BOOST_TEST(own < none * 0.75);
  BOOST_TEST(own < same * 0.75);
  BOOST_TEST(own < random * 0.1);
}

BOOST_AUTO_TEST_SUITE_END()
