#include "unequal_deployment.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;
using test::deployment;
using test::test_entry;

namespace {

const std::vector<std::vector<std::uint32_t>> kElevenEntries{
  { 500, 500, 120, 120 },
  { 500, 500, 120, 120 },
  { 500, 500, 120 }
};
constexpr std::ptrdiff_t kSmallEntries = 5;
/** Processor time of a job with which a peak uses up small entries. */
constexpr core::duration kDearJob = 1250us;
// Jobs per second from each domain. In `kQuietRate`, a small entry uses 0.5 to
// 0.8 of its processor, whichever cost a job has.
constexpr int kQuietRate = 150;
constexpr int kCalmRate = 183;
constexpr int kPeakRate = 312;

} // namespace

BOOST_AUTO_TEST_SUITE(small_entries_suite)

// Guards against small entries that are on standby in calm: that counts as
// missed readiness.
BOOST_AUTO_TEST_CASE(small_entries_take_callers_in_calm)
{
  deployment all(kElevenEntries);
  all.Run(10s, kCalmRate);
  BOOST_TEST(all.SmallInRotation() == kSmallEntries);
  const int departures = all.Departures();
  all.ResetCounts();
  all.Run(60s, kCalmRate);
  BOOST_TEST(all.SmallInRotation() == kSmallEntries);
  BOOST_TEST(all.Departures() == departures);
  BOOST_TEST(all.WorstShare() == 1.0);
}

// Guards against long standby of entries that get more callers than others.
// From an eighth of the entries' time on, missed readiness counts.
BOOST_AUTO_TEST_CASE(uneven_callers_cost_little_readiness_in_calm)
{
  deployment all(kElevenEntries);
  all.Run(10s, kQuietRate);
  all.Reconnect();
  all.ResetCounts();
  constexpr int kSeconds = 120;
  std::ptrdiff_t missed = 0;
  for (int i = 0; i < kSeconds; ++i) {
    all.Run(1s, kQuietRate);
    missed += kSmallEntries - all.SmallInRotation();
  }
  BOOST_TEST(double(missed) / (kSeconds * all.Entries().size()) < 0.125);
  BOOST_TEST(all.WorstShare() >= 0.98);
}

// Guards against callers that wait for saturated entries, and against entries
// that go in and out of rotation.
BOOST_AUTO_TEST_CASE(small_entries_leave_their_callers_to_others_at_a_peak)
{
  deployment all(kElevenEntries, kDearJob);
  all.Run(20s, kQuietRate);
  BOOST_TEST(all.SmallInRotation() == kSmallEntries);
  const int departures = all.Departures();
  all.Reconnect();
  all.ResetCounts();
  for (int rate = kQuietRate; rate < kPeakRate; rate += 20) {
    all.Run(1s, rate);
  }
  all.Run(30s, kPeakRate);
  BOOST_TEST(all.SmallInRotation() == 0);
  BOOST_TEST(all.WorstShare() >= 0.99);
  BOOST_TEST(all.Departures() == departures + kSmallEntries);
  all.Run(20s, kQuietRate);
  BOOST_TEST(all.SmallInRotation() == kSmallEntries);
  BOOST_TEST(all.Departures() == departures + kSmallEntries);
}

// Guards against a load that is judged too low while versions are mixed.
BOOST_AUTO_TEST_CASE(sizes_alone_decide_beside_an_earlier_version)
{
  deployment all(kElevenEntries);
  all.Entries()[0].mTellsRate = false;
  all.Run(20s, kQuietRate);
  BOOST_TEST(all.SmallInRotation() == 0);
  all.Entries()[0].mTellsRate = true;
  all.Run(3s, kQuietRate);
  BOOST_TEST(all.SmallInRotation() == kSmallEntries);
}

// Guards against small entries that wait for larger ones which are gone.
BOOST_AUTO_TEST_CASE(
  small_entries_take_callers_where_nothing_is_heard_of_others)
{
  deployment all(kElevenEntries, kDearJob);
  all.Run(20s, kPeakRate);
  BOOST_TEST(all.SmallInRotation() == 0);
  for (test_entry& each : all.Entries()) {
    each.mIsSilent = !each.IsSmall();
  }
  all.Run(3s, kPeakRate);
  for (const test_entry& each : all.Entries()) {
    BOOST_TEST(entry::IsReady(each.mControl, all.Now()));
  }
}

BOOST_AUTO_TEST_SUITE_END()
