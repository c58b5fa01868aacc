#include "property.h"
#include "target_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <variant>

using namespace gooseberry;
using namespace gooseberry::target;
using namespace gooseberry::target::test;
using gooseberry::test::Between;
using gooseberry::test::CheckProperty;

/** Random sequences of all events that can happen to a target table. */
namespace {

constexpr std::uint32_t kWorkers = 9;
constexpr std::uint32_t kSlots = 2;

struct run
{
  cluster mCluster = MakeCluster(kWorkers, kSlots);
  target_table mTable = MakeTable(mCluster);
  core::instant mNow = kStart;
  random_source mRandom{ 7 };
  std::vector<target_index> mOutstanding;
};

std::uint32_t
AnyBelow(std::uint32_t aEnd)
{
  return Between<std::uint32_t>(0, aEnd);
}

void
PlaceTask(run& aRun)
{
  placement_request request = MakeRequest();
  request.mIdempotent = AnyBelow(2) == 0;
  const auto where = Place(aRun.mTable, request, aRun.mRandom, aRun.mNow);
  const auto* const choice = std::get_if<placement_choice>(&where);
  if (choice == nullptr) {
    RC_ASSERT(FreeSlots(aRun.mTable, kService, aRun.mNow) == 0);
    return;
  }
  const target_view& target = aRun.mTable.mTargets[choice->mTarget];
  RC_ASSERT(configuration::IsDomainIn(aRun.mCluster.mConfiguration,
                                      target.mFailureDomain));
  RC_ASSERT(target.mKnown && target.mAgentOpen && !target.mLoad.mLeaving);
  RC_ASSERT(aRun.mNow - target.mReportedAt <=
            aRun.mTable.mSettings.mAgentFreshness);
  const bool probes = choice->mReason == placement_reason::Probe;
  RC_ASSERT(target.mHealth.mEjected == probes);
  RC_ASSERT(!probes || request.mIdempotent);
  const std::uint32_t extra =
    choice->mReason == placement_reason::Prefetch ? 1 : 0;
  RC_ASSERT(target.mOwnOutstanding < kSlots + extra);
  Reserve(aRun.mTable, choice->mTarget);
  aRun.mOutstanding.push_back(choice->mTarget);
}

void
EndTask(run& aRun)
{
  if (aRun.mOutstanding.empty()) {
    return;
  }
  const target_index target = aRun.mOutstanding[AnyBelow(
    static_cast<std::uint32_t>(aRun.mOutstanding.size()))];
  aRun.mOutstanding.erase(
    std::find(aRun.mOutstanding.begin(), aRun.mOutstanding.end(), target));
  const auto end = static_cast<core::task_end>(AnyBelow(4));
  const std::string kind = AnyBelow(2) == 0 ? "cut" : "label";
  RecordEnd(aRun.mTable, target, kService, kind, end, 50ms, aRun.mNow);
  Release(aRun.mTable, target);
}

/** Sends a report; sometimes it is late, of a restarted agent or without
 * targets. */
void
ReportAgent(run& aRun)
{
  core::agent_state& agent = aRun.mCluster.mAgents[AnyBelow(kWorkers)];
  if (AnyBelow(10) == 0) {
    agent.mAgent.mIncarnation += 100;
  }
  agent.mTimestamp = aRun.mNow;
  agent.mLeaving = AnyBelow(10) == 0;
  core::agent_state report = agent;
  report.mTargets[0].mRunning = AnyBelow(kSlots + 1);
  report.mTargets[0].mConsecutiveFailures = AnyBelow(6);
  report.mTargets[0].mLeaving = AnyBelow(10) == 0;
  if (AnyBelow(10) == 0) {
    report.mTargets.clear();
  }
  if (AnyBelow(10) == 0) {
    report.mTimestamp -= 10s;
  }
  Observe(aRun.mTable, report, aRun.mNow);
}

void
FlipDomain(run& aRun)
{
  const std::string domain = AnyBelow(2) == 0 ? "cluj" : "iasi";
  SetDomain(aRun.mCluster, domain, AnyBelow(2) == 0);
  SetConfiguration(aRun.mTable, aRun.mCluster.mConfiguration, aRun.mNow);
}

void
CheckSums(const run& aRun)
{
  const target_table& table = aRun.mTable;
  std::uint32_t slots = 0;
  std::size_t inUse = 0;
  std::size_t ejected = 0;
  for (const target_view& target : table.mTargets) {
    slots += target.mStartable ? target.mLoad.mSlots : 0;
    const bool used = target.mKnown && target.mDomainIn && target.mAgentOpen &&
                      !target.mLoad.mLeaving;
    inUse += used ? 1 : 0;
    ejected += used && target.mHealth.mEjected ? 1 : 0;
  }
  RC_ASSERT(TotalSlots(table, kService) == slots);
  RC_ASSERT(ejected <= MaxEjected(table.mSettings, inUse));
}

void
Step(run& aRun)
{
  aRun.mNow += AnyBelow(200) * 1ms;
  switch (AnyBelow(8)) {
    case 0:
      FlipDomain(aRun);
      break;
    case 1:
      MarkAgentUnavailable(
        aRun.mTable, "w" + std::to_string(AnyBelow(kWorkers)), aRun.mNow);
      break;
    case 2:
    case 3:
      EndTask(aRun);
      break;
    case 4:
    case 5:
      ReportAgent(aRun);
      break;
    default:
      PlaceTask(aRun);
  }
  CheckSums(aRun);
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_faults_suite)

BOOST_AUTO_TEST_CASE(rules_hold_whatever_happens)
{
  CheckProperty(
    [] {
      run run;
      for (int i = 0; i < 150; ++i) {
        Step(run);
      }
    },
    300);
}

BOOST_AUTO_TEST_SUITE_END()
