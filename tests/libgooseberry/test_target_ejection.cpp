#include "target_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <variant>

using namespace gooseberry;
using namespace gooseberry::target;
using namespace gooseberry::target::test;

namespace {

void
Fail(target_table& aTable,
     target_index aTarget,
     core::instant aNow,
     std::string_view aKind = "cut")
{
  const auto end = core::task_end::Failed;
  RecordEnd(aTable, aTarget, kService, aKind, end, 1ms, aNow);
}

void
Succeed(target_table& aTable,
        target_index aTarget,
        core::instant aNow,
        std::string_view aKind = "cut")
{
  const auto end = core::task_end::Succeeded;
  RecordEnd(aTable, aTarget, kService, aKind, end, 100ms, aNow);
}

/** Makes a table where each target but the first has succeeded once and the
 * first has failed three times. */
target_table
MakeEjected(const cluster& aCluster)
{
  target_table table = MakeTable(aCluster);
  for (target_index i = 1; i < table.mTargets.size(); ++i) {
    Succeed(table, i, kStart);
  }
  for (int i = 0; i < 3; ++i) {
    Fail(table, 0, kStart);
  }
  return table;
}

bool
IsChosen(target_table& aTable,
         target_index aTarget,
         bool aIdempotent,
         core::instant aNow)
{
  placement_request request = MakeRequest();
  request.mIdempotent = aIdempotent;
  random_source random(1);
  const auto where = Place(aTable, request, random, aNow);
  const auto* const choice = std::get_if<placement_choice>(&where);
  return choice != nullptr && choice->mTarget == aTarget;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ejection_suite)

BOOST_AUTO_TEST_CASE(worker_that_fails_all_is_ejected)
{
  target_table table = MakeEjected(MakeCluster(10, 8));
  BOOST_TEST(table.mTargets[0].mHealth.mEjected);
  BOOST_TEST(TotalSlots(table, kService) == 72);
  for (int i = 0; i < 72; ++i) {
    random_source random(1);
    const auto where = Place(table, MakeRequest(), random, kStart);
    const target_index target = std::get<placement_choice>(where).mTarget;
    BOOST_TEST(target != 0);
    Reserve(table, target);
  }
}

BOOST_AUTO_TEST_CASE(probes_are_idempotent_one_at_a_time_and_back_off)
{
  const cluster cluster = MakeCluster(10, 8);
  target_table table = MakeEjected(cluster);
  core::instant now = kStart;
  core::duration wait = table.mSettings.mFirstProbeAfter;
  for (int i = 0; i < 7; ++i) {
    BOOST_TEST((*NextChange(table) == now + wait));
    ObserveAll(table, cluster, now + wait - 1ms);
    BOOST_TEST(!IsChosen(table, 0, true, now + wait - 1ms));
    now += wait;
    ObserveAll(table, cluster, now);
    BOOST_TEST(!IsChosen(table, 0, false, now));
    BOOST_TEST(IsChosen(table, 0, true, now));
    Reserve(table, 0);
    BOOST_TEST(!IsChosen(table, 0, true, now));
    Fail(table, 0, now);
    Release(table, 0);
    wait = std::min(wait * 2, table.mSettings.mMaxProbeAfter);
  }
  BOOST_TEST((wait == table.mSettings.mMaxProbeAfter));
}

BOOST_AUTO_TEST_CASE(successful_probe_reinstates_the_target)
{
  const cluster cluster = MakeCluster(10, 8);
  target_table table = MakeEjected(cluster);
  const core::instant now = kStart + 1s;
  ObserveAll(table, cluster, now);
  Succeed(table, 0, now);
  BOOST_TEST(!table.mTargets[0].mHealth.mEjected);
  BOOST_TEST(FreeSlots(table, kService, now) == 74); // Slow start.
}

BOOST_AUTO_TEST_CASE(target_without_probes_is_reinstated_after_a_time_limit)
{
  const cluster cluster = MakeCluster(10, 8);
  target_table table = MakeEjected(cluster);
  const core::instant due = *NextChange(table);
  ObserveAll(table, cluster, due + kMaxUnprobedTime - 1ms);
  BOOST_TEST(table.mTargets[0].mHealth.mEjected);
  ObserveAll(table, cluster, due + kMaxUnprobedTime);
  BOOST_TEST(!table.mTargets[0].mHealth.mEjected);
}

BOOST_AUTO_TEST_CASE(kind_that_fails_everywhere_ejects_no_target_for_long)
{
  target_table table = MakeTable(MakeCluster(10, 8));
  for (int round = 0; round < 20; ++round) {
    for (target_index i = 0; i < 10; ++i) {
      Fail(table, i, kStart + round * 10ms, "broken");
    }
  }
  BOOST_TEST(table.mEjected.empty());
  for (int i = 0; i < 8; ++i) { // First all failures of one worker.
    Fail(table, 3, kStart + 20s, "worse");
  }
  BOOST_TEST(table.mTargets[3].mHealth.mEjected);
  Fail(table, 4, kStart + 20s, "worse");
  Fail(table, 5, kStart + 20s, "worse");
  BOOST_TEST(table.mEjected.empty());
}

BOOST_AUTO_TEST_CASE(no_more_than_the_share_is_ejected)
{
  target_table table = MakeTable(MakeCluster(10, 8));
  for (target_index i = 0; i < 10; ++i) {
    const std::string kind = "kind" + std::to_string(i);
    for (int n = 0; n < 5; ++n) {
      Fail(table, i, kStart, kind);
    }
  }
  BOOST_TEST(table.mEjected.size() == 3);
}

BOOST_AUTO_TEST_CASE(share_holds_when_peers_go_away)
{
  cluster cluster = MakeCluster(9, 8);
  target_table table = MakeTable(cluster);
  for (const target_index i : { 0, 3, 6 }) { // The targets of cluj.
    for (int n = 0; n < 3; ++n) {
      Fail(table, i, kStart, "kind" + std::to_string(i));
    }
  }
  BOOST_TEST(table.mEjected.size() == 3);
  SetDomain(cluster, "iasi", false);
  SetConfiguration(table, cluster.mConfiguration, kStart);
  BOOST_TEST(table.mEjected.size() == 2);
  MarkAgentUnavailable(table, "w1", kStart);
  BOOST_TEST(table.mEjected.size() == 1);
}

BOOST_AUTO_TEST_CASE(lasting_failure_reports_eject_when_peers_are_healthy)
{
  cluster cluster = MakeCluster(10, 8);
  target_table table = MakeTable(cluster);
  cluster.mAgents[0].mTargets[0].mConsecutiveFailures = 5;
  ObserveAll(table, cluster, kStart);
  BOOST_TEST(!table.mTargets[0].mHealth.mEjected);
  ObserveAll(table, cluster, kStart + 300ms);
  BOOST_TEST(table.mTargets[0].mHealth.mEjected);
  cluster.mAgents[0].mTargets[0].mConsecutiveFailures = 0;
  ObserveAll(table, cluster, kStart + 400ms);
  BOOST_TEST(!table.mTargets[0].mHealth.mEjected);
}

BOOST_AUTO_TEST_CASE(failure_reports_eject_no_target_when_peers_fail_too)
{
  cluster cluster = MakeCluster(10, 8);
  target_table table = MakeTable(cluster);
  for (auto& agent : cluster.mAgents) {
    agent.mTargets[0].mConsecutiveFailures = 5;
  }
  for (int i = 0; i < 10; ++i) {
    ObserveAll(table, cluster, kStart + i * 100ms);
  }
  BOOST_TEST(table.mEjected.empty());
}

BOOST_AUTO_TEST_SUITE_END()
