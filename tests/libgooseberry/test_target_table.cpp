#include "target_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::target;
using namespace gooseberry::target::test;

BOOST_AUTO_TEST_SUITE(target_table_suite)

BOOST_AUTO_TEST_CASE(counts_slots_of_a_service)
{
  target_table table = MakeTable(MakeCluster(10, 8));
  BOOST_TEST(TotalSlots(table, kService) == 80);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 80);
  Reserve(table, 0);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 79);
  Release(table, 0);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 80);
  BOOST_TEST(TotalSlots(table, "other") == 0);
}

BOOST_AUTO_TEST_CASE(own_sends_count_until_a_report_covers_them)
{
  const cluster cluster = MakeCluster(1, 8);
  target_table table = MakeTable(cluster);
  auto report = cluster.mAgents[0];
  report.mTargets[0].mRunning = 3; // Of other entries.
  Observe(table, report, kStart);
  Reserve(table, 0);
  Reserve(table, 0);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 3);
  report.mTargets[0].mRunning = 5;
  Observe(table, report, kStart);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 3);
  report.mTargets[0].mRunning = 0; // Without the two tasks of this entry.
  Observe(table, report, kStart);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 6);
}

BOOST_AUTO_TEST_CASE(report_names_targets_that_have_grown)
{
  const cluster cluster = MakeCluster(1, 1);
  target_table table = MakeTable(cluster);
  auto report = cluster.mAgents[0];
  report.mTargets[0].mRunning = 1;
  BOOST_TEST(Observe(table, report, kStart).empty());
  report.mTargets[0].mRunning = 0;
  BOOST_TEST(Observe(table, report, kStart).size() == 1);
  BOOST_TEST(Observe(table, report, kStart).empty());
}

BOOST_AUTO_TEST_CASE(older_reports_change_nothing)
{
  const cluster cluster = MakeCluster(1, 8);
  target_table table = MakeTable(cluster);
  auto newer = cluster.mAgents[0];
  newer.mTimestamp = core::instant{} + 2s;
  newer.mTargets[0].mRunning = 8;
  Observe(table, newer, kStart);
  auto older = cluster.mAgents[0];
  older.mTimestamp = core::instant{} + 1s;
  BOOST_TEST(Observe(table, older, kStart + 1s).empty());
  BOOST_TEST(FreeSlots(table, kService, kStart) == 0);
}

BOOST_AUTO_TEST_CASE(new_incarnation_replaces_the_old_for_good)
{
  const cluster cluster = MakeCluster(1, 8);
  target_table table = MakeTable(cluster);
  auto restarted = cluster.mAgents[0];
  restarted.mAgent.mIncarnation = 77;
  restarted.mTargets[0].mName = "fresh";
  Observe(table, restarted, kStart);
  BOOST_TEST(!table.mTargets[*Find(table, "w0")].mKnown);
  Observe(table, cluster.mAgents[0], kStart); // Late, of the ended incarnation.
  BOOST_TEST(!table.mTargets[*Find(table, "w0")].mKnown);
  BOOST_TEST(TotalSlots(table, kService) == 8);
}

BOOST_AUTO_TEST_CASE(targets_no_longer_reported_get_nothing)
{
  cluster cluster = MakeCluster(2, 8);
  target_table table = MakeTable(cluster);
  auto report = cluster.mAgents[0];
  report.mTargets.clear();
  Observe(table, report, kStart);
  BOOST_TEST(TotalSlots(table, kService) == 8);
  auto other = cluster.mAgents[1];
  other.mTargets.clear();
  Observe(table, other, kStart);
  BOOST_TEST(TotalSlots(table, kService) == 0);
  BOOST_TEST(CanEverRun(table, kService)); // Its agent may have restarted.
  Observe(table, report, kStart + 61s);
  BOOST_TEST(!CanEverRun(table, kService));
  cluster.mConfiguration.mServices[kService].mFailureDomains = { "cluj",
                                                                 "brasov" };
  SetConfiguration(table, cluster.mConfiguration, kStart + 61s);
  BOOST_TEST(table.mServices[0].mMembers.empty());
  Observe(table, cluster.mAgents[1], kStart + 62s);
  BOOST_TEST(TotalSlots(table, kService) == 8);
  BOOST_TEST(CanEverRun(table, kService));
}

BOOST_AUTO_TEST_CASE(forgotten_agent_gets_nothing_until_it_reports)
{
  const cluster cluster = MakeCluster(1, 8);
  target_table table = MakeTable(cluster);
  MarkAgentUnavailable(table, "w0", kStart);
  BOOST_TEST(TotalSlots(table, kService) == 0);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 0);
  BOOST_TEST(CanEverRun(table, kService)); // It may come back.
  Observe(table, cluster.mAgents[0], kStart + 30s);
  BOOST_TEST(FreeSlots(table, kService, kStart + 30s) == 8);
  MarkAgentUnavailable(table, "w0", kStart + 91s);
  BOOST_TEST(!CanEverRun(table, kService));
}

BOOST_AUTO_TEST_CASE(target_claimed_by_two_agents_stays_with_the_first)
{
  const cluster cluster = MakeCluster(2, 8);
  target_table table = MakeTable(cluster);
  auto rival = cluster.mAgents[1];
  rival.mTargets[0].mName = "w0";
  Observe(table, rival, kStart);
  BOOST_TEST(ViewOf(table, "w0").mAgent == "w0");
  Observe(table, rival, kStart + 2s); // No recent report of the first.
  BOOST_TEST(ViewOf(table, "w0").mAgent == "w1");
}

BOOST_AUTO_TEST_CASE(slots_of_silent_agents_are_not_counted)
{
  const cluster cluster = MakeCluster(2, 8);
  target_table table = MakeTable(cluster);
  Observe(table, cluster.mAgents[0], kStart + 1s);
  Observe(table, cluster.mAgents[0], kStart + 2s);
  BOOST_TEST(TotalSlots(table, kService) == 8);
}

BOOST_AUTO_TEST_CASE(distinguishes_never_runnable_from_not_runnable_now)
{
  cluster cluster = MakeCluster(3, 8);
  target_table table = MakeTable(cluster);
  BOOST_TEST(!CanEverRun(table, "other"));
  SetDomain(cluster, "cluj", false);
  SetDomain(cluster, "brasov", false);
  SetDomain(cluster, "iasi", false);
  SetConfiguration(table, cluster.mConfiguration, kStart);
  BOOST_TEST(CanEverRun(table, kService));
  BOOST_TEST(TotalSlots(table, kService) == 0);
  cluster.mConfiguration.mServices[kService].mTargets = { "none" };
  SetConfiguration(table, cluster.mConfiguration, kStart);
  BOOST_TEST(!CanEverRun(table, kService));
  cluster.mConfiguration.mServices.clear();
  SetConfiguration(table, cluster.mConfiguration, kStart);
  BOOST_TEST(!CanEverRun(table, kService));
}

BOOST_AUTO_TEST_CASE(returning_domain_ramps_up_in_steps)
{
  cluster cluster = MakeCluster(3, 8);
  target_table table = MakeTable(cluster);
  BOOST_TEST(!NextChange(table).has_value());
  SetDomain(cluster, "brasov", false);
  SetConfiguration(table, cluster.mConfiguration, kStart);
  BOOST_TEST(FreeSlots(table, kService, kStart) == 16);
  SetDomain(cluster, "brasov", true);
  SetConfiguration(table, cluster.mConfiguration, kStart);
  std::vector<std::uint32_t> slots;
  core::instant now = kStart;
  for (;;) {
    ObserveAll(table, cluster, now);
    slots.push_back(FreeSlots(table, kService, now) - 16);
    if (!NextChange(table)) {
      break;
    }
    now = *NextChange(table);
  }
  BOOST_TEST(slots == (std::vector<std::uint32_t>{ 2, 4, 6, 8 }));
  BOOST_TEST((now - kStart <= table.mSettings.mRampTime));
  BOOST_TEST((now - kStart >= table.mSettings.mRampTime - 1ms));
}

BOOST_AUTO_TEST_CASE(learned_run_time_goes_before_the_declared)
{
  target_table table = MakeTable(MakeCluster(2, 8));
  const auto expected = [&](std::string_view aKind, core::duration aDeclared) {
    return ExpectedRunTime(table, kService, aKind, aDeclared);
  };
  BOOST_TEST((expected("cut", 0ms) == kDefaultRunTime));
  BOOST_TEST((expected("cut", 70ms) == 70ms));
  const auto end = core::task_end::Succeeded;
  RecordEnd(table, 0, kService, "cut", end, 100ms, kStart);
  BOOST_TEST((expected("cut", 5s) == 100ms));
  BOOST_TEST((expected("label", 0ms) == 100ms));
  BOOST_TEST((expected("label", 300ms) == 300ms));
  BOOST_TEST((expected("label", 1h) == 800ms)); // Limited by the mean.
  RecordEnd(table, 0, kService, "cut", core::task_end::Failed, 1ms, kStart);
  BOOST_TEST((expected("cut", 5s) == 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
