#include "world.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <cstring>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** Kinds of steps of a schedule. */
enum class operation : std::uint8_t
{
  Submit,
  Resubmit,
  ResubmitElsewhere,
  TakeDomainOut,
  BringDomainIn,
  KillEntry,
  KillAgent,
  PauseEntry,
  PauseAgent,
  CutEntries,
  CutFromStore,
  StoreDown,
  Wait,
};
constexpr std::uint64_t kOperations = 13;

/** A schedule of operations and faults that are drawn from one seed. */
class schedule
{
public:
  explicit schedule(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mCluster(Options(aSeed))
  {
    mCluster.RunFor(3s);
    mCluster.SetFaults(Faults());
  }

  /** Returns the first violated guarantee and its step, or an empty text. */
  std::string Run()
  {
    constexpr int kSteps = 40;
    for (int step = 0; step < kSteps; ++step) {
      Do(static_cast<operation>(mRandom() % kOperations));
      mCluster.RunFor(std::chrono::milliseconds(mRandom() % 400));
      if (std::string violation = mCluster.Check(); !violation.empty()) {
        return "step " + std::to_string(step) + ": " + violation;
      }
    }
    Heal();
    mCluster.RunFor(40s);
    return mCluster.Check();
  }

private:
  static world::options Options(std::uint64_t aSeed)
  {
    world::options options;
    options.mSeed = aSeed;
    return options;
  }

  world::faults Faults()
  {
    constexpr double kPerCent = 0.01;
    world::faults faults;
    faults.mLossRate = static_cast<double>(mRandom() % 5) * kPerCent;
    faults.mDuplicationRate = static_cast<double>(mRandom() % 5) * kPerCent;
    faults.mDelayRate = static_cast<double>(mRandom() % 3) * kPerCent;
    faults.mTaskFailureRate = static_cast<double>(mRandom() % 4) * kPerCent;
    return faults;
  }

  std::size_t DrawIndex() { return mRandom() % 3; }

  void Submit(std::size_t aEntry, std::size_t aJob, std::uint32_t aAttempt)
  {
    const std::size_t tasks = 1 + aJob % 7;
    const bool idempotent = aJob % 2 == 0;
    mCluster.Submit(
      aEntry, "job-" + std::to_string(aJob), aAttempt, tasks, idempotent);
  }

  void Resubmit(std::size_t aEntry)
  {
    if (mAttempts.empty()) {
      return;
    }
    const std::size_t job = mRandom() % mAttempts.size();
    Submit(aEntry, job, ++mAttempts[job]);
  }

  void Pause(bool aEntry)
  {
    const auto time = std::chrono::milliseconds(100 + mRandom() % 6000);
    if (aEntry) {
      mCluster.PauseEntry(DrawIndex(), time);
    } else {
      mCluster.PauseAgent(DrawIndex(), time);
    }
  }

  /** Kills a running process, or starts a stopped one. */
  void Toggle(bool aEntry)
  {
    const std::size_t index = DrawIndex();
    if (aEntry) {
      mCluster.Entry(index).mAlive ? mCluster.KillEntry(index)
                                   : mCluster.StartEntry(index);
    } else {
      mCluster.Agent(index).mAlive ? mCluster.KillAgent(index)
                                   : mCluster.StartAgent(index);
    }
  }

  void Do(operation aOperation)
  {
    switch (aOperation) {
      case operation::Submit:
        Submit(DrawIndex(), mAttempts.size(), 1);
        mAttempts.push_back(1);
        break;
      case operation::Resubmit:
      case operation::ResubmitElsewhere:
        Resubmit(DrawIndex());
        break;
      case operation::TakeDomainOut:
        mCluster.SetDomain(DrawIndex(), world::kDomains[DrawIndex()], false);
        break;
      case operation::BringDomainIn:
        mCluster.SetDomain(DrawIndex(), world::kDomains[DrawIndex()], true);
        break;
      case operation::KillEntry:
        Toggle(true);
        break;
      case operation::KillAgent:
        Toggle(false);
        break;
      case operation::PauseEntry:
        Pause(true);
        break;
      case operation::PauseAgent:
        Pause(false);
        break;
      case operation::CutEntries: {
        const std::size_t left = DrawIndex();
        mCluster.CutEntries(left, (left + 1) % 3, mRandom() % 2 == 0);
        break;
      }
      case operation::CutFromStore:
        mCluster.CutFromStore(DrawIndex(), mRandom() % 2 == 0);
        break;
      case operation::StoreDown:
        mCluster.SetStore(mRandom() % 2 == 0);
        break;
      case operation::Wait:
        mCluster.RunFor(2s);
        break;
    }
  }

  void Heal()
  {
    mCluster.SetFaults({});
    mCluster.SetStore(true);
    for (std::size_t i = 0; i < 3; ++i) {
      mCluster.CutEntries(i, (i + 1) % 3, false);
      mCluster.CutFromStore(i, false);
      if (!mCluster.Entry(i).mAlive) {
        mCluster.StartEntry(i);
      }
      if (!mCluster.Agent(i).mAlive) {
        mCluster.StartAgent(i);
      }
    }
  }

  std::mt19937_64 mRandom;
  world::cluster mCluster;
  std::vector<std::uint32_t> mAttempts; ///< By job.
};

} // namespace

BOOST_AUTO_TEST_SUITE(world_schedules)

BOOST_AUTO_TEST_CASE(all_guarantees_hold_under_random_faults)
{
  // GOOSEBERRY_SCHEDULES=FIRST:COUNT selects the seeds;
  // FIRST alone selects one seed.
  std::uint64_t first = 1;
  std::uint64_t count = 60;
  if (const char* words = std::getenv("GOOSEBERRY_SCHEDULES")) {
    first = std::strtoull(words, nullptr, 10);
    const char* colon = std::strchr(words, ':');
    count = colon == nullptr ? 1 : std::strtoull(colon + 1, nullptr, 10);
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string violation = schedule(seed).Run();
    BOOST_TEST(violation == "", "seed " << seed << ": " << violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()
