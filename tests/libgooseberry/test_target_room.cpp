#include "target_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::target::test;

/**
 * Targets that are almost full with tasks of different sizes. The free slots do
 * not show whether another task fits; the free resources do.
 */
namespace {

constexpr std::uint32_t kCapacity = 64'000; ///< In thousandths of a core.

/** Makes a table with one target of `kCapacity`, of which `aUsed` is in use. */
target::target_table
TableWith(std::uint32_t aSlots, std::uint32_t aRunning, std::uint32_t aUsed)
{
  cluster made = MakeCluster(1, aSlots);
  core::target_load& load = made.mAgents[0].mTargets[0];
  load.mRunning = aRunning;
  load.mCapacity = { kCapacity, 1'024, 0 };
  load.mUsed = { aUsed, 0, 0 };
  return MakeTable(made);
}

bool
TryPlace(target::target_table& aTable, std::uint32_t aCpu)
{
  target::placement_request request = MakeRequest();
  request.mNeeds = { aCpu, 64, 0 };
  target::random_source random(1);
  return std::holds_alternative<target::placement_choice>(
    target::Place(aTable, request, random, kStart));
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_room)

BOOST_AUTO_TEST_CASE(a_task_that_does_not_fit_is_not_sent)
{
  auto table = TableWith(10, 9, 59'000);
  BOOST_TEST(!TryPlace(table, 6'200));
  BOOST_TEST(TryPlace(table, 5'000));
}

BOOST_AUTO_TEST_CASE(small_tasks_fit_beyond_the_usual_number)
{
  auto table = TableWith(10, 10, 55'000);
  BOOST_TEST(TryPlace(table, 6'200));
}

BOOST_AUTO_TEST_CASE(unanswered_starts_count_until_they_are_answered)
{
  auto table = TableWith(10, 8, 50'000);
  const core::resources needs{ 9'000, 64, 0 };
  target::AddUnanswered(table, 0, needs);
  BOOST_TEST(!TryPlace(table, 6'200));
  target::RemoveUnanswered(table, 0, needs);
  BOOST_TEST(TryPlace(table, 6'200));
}

BOOST_AUTO_TEST_CASE(a_target_that_refused_is_full_until_its_next_report)
{
  auto table = TableWith(10, 8, 50'000);
  target::MarkFull(table, 0);
  BOOST_TEST(!TryPlace(table, 1'000));
}

BOOST_AUTO_TEST_SUITE_END()
