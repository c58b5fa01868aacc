#include "libgooseberry/quota/headroom.h"
#include "target_fixture.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace gooseberry;
using namespace gooseberry::target::test;

/**
 * Replays a burst of long tasks of low urgency beside a steady load of urgent
 * short ones. Together they need more slots than there are.
 */
namespace {

constexpr std::uint32_t kTargets = 10;
constexpr std::uint32_t kSlotsEach = 8;
constexpr core::duration kBurst = 6s;
constexpr core::duration kUrgentTime = 60ms;
constexpr core::duration kLongTime = 900ms;
/** Of 400 short tasks a second and 80 long ones. */
constexpr core::duration kMeanTime = 200ms;
/** Longest wait of an urgent task: its job is due after 1.6 run times and 60
 * ms, and half of the time to spare is left for tasks that run longer. */
constexpr core::duration kLongestWait = 48ms;
/** 24 and 72 slots, of 80. */
constexpr double kUrgentPerSecond = 400;
constexpr double kLongPerSecond = 80;

struct running_task
{
  core::instant mEnd{};
  target::target_index mTarget = 0;
};

struct replay
{
  explicit replay(bool aKeepsHeadroom)
    : mHeadroom(aKeepsHeadroom
                  ? quota::HeadroomSlots(
                      { 24, kTargets * kSlotsEach, kLongTime, kMeanTime })
                  : 0)
    , mTable(MakeTable(mCluster))
  {
  }

  /** Returns whether the task was placed. */
  bool Start(core::duration aRunTime, std::uint32_t aHeadroom)
  {
    target::placement_request request;
    request.mService = kService;
    request.mHeadroom = aHeadroom;
    const auto placed = target::Place(mTable, request, mRandom, mNow);
    const auto* const choice = std::get_if<target::placement_choice>(&placed);
    if (choice == nullptr ||
        choice->mReason != target::placement_reason::FreeSlot) {
      return false;
    }
    target::Reserve(mTable, choice->mTarget);
    mRunning.push_back({ mNow + aRunTime, choice->mTarget });
    return true;
  }

  void Step()
  {
    std::erase_if(mRunning, [this](const running_task& aTask) {
      if (aTask.mEnd > mNow) {
        return false;
      }
      target::Release(mTable, aTask.mTarget);
      return true;
    });
    std::uniform_real_distribution<double> draw(0, 1);
    const double step = std::chrono::duration<double>(1ms).count();
    if (draw(mRandom) < kUrgentPerSecond * step) {
      mUrgent.push_back(mNow);
    }
    if (draw(mRandom) < kLongPerSecond * step) {
      ++mLong;
    }
    while (!mUrgent.empty() && Start(kUrgentTime, 0)) {
      ++mUrgentStarted;
      mUrgentInTime += mNow - mUrgent.front() <= kLongestWait ? 1 : 0;
      mUrgent.pop_front();
    }
    while (mUrgent.empty() && mLong > 0 && Start(kLongTime, mHeadroom)) {
      --mLong;
      ++mLongStarted;
    }
  }

  replay& Run()
  {
    for (const core::instant end = mNow + kBurst; mNow < end; mNow += 1ms) {
      if (mNow.time_since_epoch() % 500ms == 0ms) {
        ObserveAll(mTable, mCluster, mNow);
      }
      Step();
    }
    return *this;
  }

  double ShareInTime() const
  {
    return static_cast<double>(mUrgentInTime) / mUrgentStarted;
  }

  std::uint32_t mHeadroom;
  cluster mCluster = MakeCluster(kTargets, kSlotsEach);
  target::target_table mTable;
  target::random_source mRandom{ 1 };
  core::instant mNow = kStart;
  std::vector<running_task> mRunning;
  std::deque<core::instant> mUrgent; ///< Arrival times.
  int mLong = 0;
  int mUrgentStarted = 0;
  int mUrgentInTime = 0;
  int mLongStarted = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(headroom)

// Urgent tasks waited for slots that long tasks of low urgency had just taken.
BOOST_AUTO_TEST_CASE(urgent_tasks_find_a_slot_beside_a_burst_of_long_ones)
{
  const auto kept = replay(true).Run();
  const auto none = replay(false).Run();
  BOOST_TEST_MESSAGE("in time " << kept.ShareInTime() << ", without headroom "
                                << none.ShareInTime() << "; long tasks "
                                << kept.mLongStarted << ", "
                                << none.mLongStarted);
  BOOST_TEST(kept.ShareInTime() >= 0.99);
  BOOST_TEST(none.ShareInTime() <= 0.97);
  // No class starves: the long tasks lose no more than the kept slots.
  BOOST_TEST(kept.mLongStarted >= 0.75 * none.mLongStarted);
}

// A service without urgent callers must not lose slots.
BOOST_AUTO_TEST_CASE(no_slot_is_kept_where_nothing_more_urgent_arrives)
{
  BOOST_TEST(quota::HeadroomSlots({ 0, 80, 900ms, 200ms }) == 0U);
  BOOST_TEST(quota::HeadroomSlots({ 1, 80, 900ms, 200ms }) == 0U);
  BOOST_TEST(quota::HeadroomSlots({ 24, 80, 900ms, 200ms }) > 0U);
}

// Tasks of middle length and urgency waited for slots that they would have
// returned soon.
BOOST_AUTO_TEST_CASE(short_tasks_leave_no_slot_free)
{
  BOOST_TEST(quota::HeadroomSlots({ 24, 80, 200ms, 160ms }) == 0U);
}

// Fault: an entry that has lost its targets and its peers divides by nothing.
BOOST_AUTO_TEST_CASE(an_entry_without_slots_has_a_defined_headroom)
{
  BOOST_TEST(quota::HeadroomSlots({ 0, 0, 900ms, 0ms }) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
