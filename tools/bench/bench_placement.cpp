#include "libgooseberry/target/target_table.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <variant>

/** Cost of the decisions about targets against the number of targets. */
namespace {

using namespace gooseberry;
using namespace gooseberry::target;
using namespace std::chrono_literals;

constexpr core::instant kNow = core::instant{} + 1h;
constexpr std::uint32_t kSlots = 8;
constexpr const char* kService = "proof";
constexpr std::uint64_t kSeed = 20261204;

core::agent_state
MakeAgent(std::uint32_t aNumber)
{
  core::agent_state agent;
  agent.mAgent = { "worker-" + std::to_string(aNumber), aNumber + 1 };
  agent.mFailureDomain = "domain-" + std::to_string(aNumber % 14);
  agent.mOpen = true;
  core::target_load load;
  load.mName = agent.mAgent.mName;
  load.mServices = { kService };
  load.mSlots = kSlots;
  agent.mTargets = { load };
  return agent;
}

target_table
MakeTable(std::uint32_t aTargets)
{
  configuration::desired_state state;
  for (int i = 0; i < 14; ++i) {
    state.mFailureDomains["domain-" + std::to_string(i)] = {};
  }
  target_table table;
  table.mSettings.mAffinitySeed = kSeed;
  SetConfiguration(table, state, kNow);
  for (std::uint32_t i = 0; i < aTargets; ++i) {
    Observe(table, MakeAgent(i), kNow);
  }
  // Declared last, so that the list of members is made once.
  state.mServices[kService].mTargets = { "*" };
  SetConfiguration(table, state, kNow);
  return table;
}

placement_request
MakeRequest()
{
  placement_request request;
  request.mService = kService;
  request.mKind = "cut";
  request.mIdempotent = true;
  return request;
}

/** Sends tasks until `aPercent` of the slots are taken. */
std::deque<target_index>
Fill(target_table& aTable, std::uint64_t aPercent, random_source& aRandom)
{
  std::deque<target_index> sent;
  const std::uint64_t tasks = aTable.mTargets.size() * kSlots * aPercent / 100;
  while (sent.size() < tasks) {
    const auto where = Place(aTable, MakeRequest(), aRandom, kNow);
    sent.push_back(std::get<placement_choice>(where).mTarget);
    Reserve(aTable, sent.back());
  }
  return sent;
}

/** One decision, with a share of the slots taken. */
void
PlaceOne(benchmark::State& aState)
{
  target_table table = MakeTable(static_cast<std::uint32_t>(aState.range(0)));
  random_source random(kSeed);
  Fill(table, static_cast<std::uint64_t>(aState.range(1)), random);
  const placement_request request = MakeRequest();
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(Place(table, request, random, kNow));
  }
}

/** A task's whole life: chosen, sent, ended, learned from. */
void
PlaceAndEnd(benchmark::State& aState)
{
  target_table table = MakeTable(static_cast<std::uint32_t>(aState.range(0)));
  random_source random(kSeed);
  std::deque<target_index> sent = Fill(table, 70, random);
  const placement_request request = MakeRequest();
  while (aState.KeepRunning()) {
    const auto where = Place(table, request, random, kNow);
    sent.push_back(std::get<placement_choice>(where).mTarget);
    Reserve(table, sent.back());
    const target_index ended = sent.front();
    sent.pop_front();
    Release(table, ended);
    RecordEnd(
      table, ended, kService, "cut", core::task_end::Succeeded, 100ms, kNow);
  }
}

void
PlaceRandom(benchmark::State& aState)
{
  target_table table = MakeTable(static_cast<std::uint32_t>(aState.range(0)));
  table.mSettings.mPolicy = placement_policy::Random;
  random_source random(kSeed);
  const placement_request request = MakeRequest();
  while (aState.KeepRunning()) {
    benchmark::DoNotOptimize(Place(table, request, random, kNow));
  }
}

/** A report of one agent that changes its load. */
void
ObserveOne(benchmark::State& aState)
{
  target_table table = MakeTable(static_cast<std::uint32_t>(aState.range(0)));
  core::agent_state report = MakeAgent(0);
  while (aState.KeepRunning()) {
    report.mTargets[0].mRunning = (report.mTargets[0].mRunning + 1) % kSlots;
    benchmark::DoNotOptimize(Observe(table, report, kNow));
  }
}

/** A target whose services change: two lists are made anew. */
void
ChangeServices(benchmark::State& aState)
{
  target_table table = MakeTable(static_cast<std::uint32_t>(aState.range(0)));
  const core::agent_state report = MakeAgent(0);
  core::agent_state other = report;
  other.mTargets[0].mServices.clear();
  while (aState.KeepRunning()) {
    Observe(table, other, kNow);
    benchmark::DoNotOptimize(Observe(table, report, kNow));
  }
}

const std::vector<std::int64_t> kTargets{ 10, 100, 1000, 2800 };

BENCHMARK(PlaceOne)
  ->ArgNames({ "targets", "used%" })
  ->ArgsProduct({ kTargets, { 0, 70, 100 } });
BENCHMARK(PlaceAndEnd)->ArgName("targets")->ArgsProduct({ kTargets });
BENCHMARK(PlaceRandom)->ArgName("targets")->ArgsProduct({ kTargets });
BENCHMARK(ObserveOne)->ArgName("targets")->ArgsProduct({ kTargets });
BENCHMARK(ChangeServices)->ArgName("targets")->ArgsProduct({ kTargets });

} // namespace

BENCHMARK_MAIN();
