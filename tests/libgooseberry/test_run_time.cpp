#include "target_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::target::test;

/** Callers' estimates with a systematic and a random error. */
namespace {

/** Makes a table that has learned from tasks of 100 ms, declared as 50 ms
 * each. */
target::target_table
MakeTrainedTable()
{
  auto table = MakeTable(MakeCluster(1, 10));
  for (int i = 0; i < 20; ++i) {
    target::RecordEnd(table,
                      0,
                      kService,
                      "cut",
                      core::task_end::Succeeded,
                      100ms,
                      kStart,
                      50ms);
  }
  return table;
}

core::duration
Expected(core::duration aDeclared)
{
  return target::ExpectedRunTime(
    MakeTrainedTable(), kService, "cut", aDeclared);
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_time)

BOOST_AUTO_TEST_CASE(the_usual_estimate_gives_the_usual_run_time)
{
  BOOST_TEST((Expected(50ms) == 100ms));
}

BOOST_AUTO_TEST_CASE(an_unusual_estimate_counts_for_half)
{
  BOOST_TEST((Expected(200ms) == 200ms)); // Four times the usual estimate.
  BOOST_TEST((Expected(12'500us) == 50ms));
}

BOOST_AUTO_TEST_CASE(without_an_estimate_the_usual_run_time_counts)
{
  BOOST_TEST((Expected(0ms) == 100ms));
}

BOOST_AUTO_TEST_CASE(an_absurd_estimate_is_bounded)
{
  BOOST_TEST((Expected(1h) < 300ms));
}

BOOST_AUTO_TEST_SUITE_END()
