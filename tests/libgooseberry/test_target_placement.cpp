#include "property.h"
#include "target_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <variant>

using namespace gooseberry;
using namespace gooseberry::target;
using namespace gooseberry::target::test;
using gooseberry::test::Between;
using gooseberry::test::CheckProperty;

namespace {

placement_choice
Choose(target_table& aTable, core::instant aNow = kStart)
{
  random_source random(1);
  return std::get<placement_choice>(Place(aTable, MakeRequest(), random, aNow));
}

placement_refusal
Refuse(target_table& aTable, core::instant aNow = kStart)
{
  random_source random(1);
  return std::get<placement_refusal>(
    Place(aTable, MakeRequest(), random, aNow));
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_suite)

BOOST_AUTO_TEST_CASE(refusals_state_the_reason)
{
  target_table empty;
  BOOST_TEST((Refuse(empty) == placement_refusal::NoService));
  cluster cluster = MakeCluster(1, 1);
  SetConfiguration(empty, cluster.mConfiguration, kStart);
  BOOST_TEST((Refuse(empty) == placement_refusal::NoTarget));
  target_table table = MakeTable(cluster);
  Reserve(table, 0);
  Reserve(table, 0);
  BOOST_TEST((Refuse(table) == placement_refusal::NothingFree));
  BOOST_TEST(
    (Refuse(table, kStart + 2s) == placement_refusal::NothingEligible));
  SetDomain(cluster, "cluj", false);
  SetConfiguration(table, cluster.mConfiguration, kStart + 2s);
  ObserveAll(table, cluster, kStart + 2s);
  BOOST_TEST(
    (Refuse(table, kStart + 2s) == placement_refusal::NothingEligible));
}

BOOST_AUTO_TEST_CASE(fills_all_free_slots_before_it_prefetches)
{
  target_table table = MakeTable(MakeCluster(10, 8));
  for (int i = 0; i < 80; ++i) {
    const placement_choice choice = Choose(table);
    BOOST_TEST((choice.mReason == placement_reason::FreeSlot));
    Reserve(table, choice.mTarget);
  }
  for (int i = 0; i < 10; ++i) {
    const placement_choice choice = Choose(table);
    BOOST_TEST((choice.mReason == placement_reason::Prefetch));
    BOOST_TEST((choice.mExpectedFinish > kDefaultRunTime));
    Reserve(table, choice.mTarget);
  }
  BOOST_TEST((Refuse(table) == placement_refusal::NothingFree));
}

BOOST_AUTO_TEST_CASE(prefetches_where_the_finish_is_expected_first)
{
  target_table table = MakeTable(MakeCluster(3, 1));
  const auto end = core::task_end::Succeeded;
  for (int i = 0; i < 50; ++i) {
    RecordEnd(table, 0, kService, "cut", end, 100ms, kStart);
    RecordEnd(table, 1, kService, "cut", end, 20ms, kStart);
    RecordEnd(table, 2, kService, "cut", end, 100ms, kStart);
  }
  Reserve(table, 0);
  Reserve(table, 1);
  Reserve(table, 2);
  BOOST_TEST(Choose(table).mTarget == 1);
}

BOOST_AUTO_TEST_CASE(slow_targets_are_filled_last)
{
  target_table table = MakeTable(MakeCluster(3, 4));
  const auto end = core::task_end::Succeeded;
  for (int i = 0; i < 50; ++i) {
    RecordEnd(table, 0, kService, "cut", end, 300ms, kStart);
    RecordEnd(table, 1, kService, "cut", end, 100ms, kStart);
    RecordEnd(table, 2, kService, "cut", end, 100ms, kStart);
  }
  for (int i = 0; i < 6; ++i) {
    const placement_choice choice = Choose(table);
    BOOST_TEST(choice.mTarget != 0);
    Reserve(table, choice.mTarget);
  }
}

BOOST_AUTO_TEST_CASE(retry_avoids_failed_targets_where_possible)
{
  target_table table = MakeTable(MakeCluster(2, 1));
  const std::vector<target_index> failedAt{ 0 };
  placement_request request = MakeRequest();
  request.mAvoid = &failedAt;
  random_source random(1);
  const auto choice =
    std::get<placement_choice>(Place(table, request, random, kStart));
  BOOST_TEST(choice.mTarget == 1);
  Reserve(table, 1);
  Reserve(table, 1);
  BOOST_TEST(std::holds_alternative<placement_refusal>(
    Place(table, request, random, kStart)));
  MarkAgentUnavailable(table, "w1", kStart);
  BOOST_TEST(
    std::get<placement_choice>(Place(table, request, random, kStart)).mTarget ==
    0);
}

BOOST_AUTO_TEST_CASE(random_looks_at_eligibility_but_not_at_load)
{
  cluster cluster = MakeCluster(9, 4);
  target_table table = MakeTable(cluster);
  table.mSettings.mPolicy = placement_policy::Random;
  SetDomain(cluster, "iasi", false);
  SetConfiguration(table, cluster.mConfiguration, kStart);
  auto full = cluster.mAgents[0];
  full.mTargets[0].mRunning = 4;
  Observe(table, full, kStart);
  std::map<target_index, int> chosen;
  random_source random(5);
  for (int i = 0; i < 300; ++i) {
    const auto choice =
      std::get<placement_choice>(Place(table, MakeRequest(), random, kStart));
    ++chosen[choice.mTarget];
  }
  BOOST_TEST(chosen.size() == 6);
  BOOST_TEST(chosen[0] > 20);
}

BOOST_AUTO_TEST_CASE(entries_of_other_seeds_prefer_other_targets)
{
  const cluster cluster = MakeCluster(100, 8);
  std::map<target_index, int> first;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    target_table table = MakeTable(cluster, seed);
    ++first[Choose(table).mTarget];
  }
  BOOST_TEST(first.size() > 30);
}

BOOST_AUTO_TEST_CASE(never_chooses_an_ineligible_target)
{
  CheckProperty([] {
    cluster cluster = MakeCluster(Between(1, 80), 2);
    SetDomain(cluster, "cluj", Between(0, 2) == 0);
    SetDomain(cluster, "iasi", Between(0, 2) == 0);
    target_table table;
    table.mSettings.mAffinitySeed = Between(0, 3);
    table.mSettings.mMaxEjectedShare = 1.0;
    table.mSettings.mPrefetch = Between(0, 2);
    SetConfiguration(table, cluster.mConfiguration, kStart);
    for (auto& agent : cluster.mAgents) {
      agent.mLeaving = Between(0, 5) == 0;
      agent.mOpen = Between(0, 5) != 0;
      agent.mTargets[0].mLeaving = Between(0, 5) == 0;
      agent.mTargets[0].mRunning = Between(0, 4);
      const auto age = Between(0, 2) * 1s;
      Observe(table, agent, kStart + 2s - age * 2);
    }
    const core::instant now = kStart + 2s;
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    const auto where = Place(table, MakeRequest(), random, now);
    const auto* const choice = std::get_if<placement_choice>(&where);
    const bool anyFree = FreeSlots(table, kService, now) > 0;
    if (choice == nullptr) {
      RC_ASSERT(!anyFree);
      return;
    }
    const target_view& target = table.mTargets[choice->mTarget];
    RC_ASSERT(
      configuration::IsDomainIn(cluster.mConfiguration, target.mFailureDomain));
    RC_ASSERT(target.mAgentOpen && !target.mLoad.mLeaving);
    RC_ASSERT(now - target.mReportedAt <= table.mSettings.mAgentFreshness);
    RC_ASSERT((choice->mReason == placement_reason::FreeSlot) == anyFree);
    RC_ASSERT(target.mLoad.mRunning <
              2 + (anyFree ? 0 : table.mSettings.mPrefetch));
  });
}

BOOST_AUTO_TEST_SUITE_END()
