#include "agent_fixture.h"

#include <boost/test/unit_test.hpp>

/** Joining, configuration and freshness (R6, R10, R11). */
using namespace gooseberry;
using namespace gooseberry::agent;
using namespace gooseberry::agent::test;
using configuration::domain_state;

namespace {

const membership::member_row kPeer{ membership::role::Agent,
                                    { "p", 1 },
                                    "10.0.0.5:9100",
                                    "n" };
const membership::member_row kOther{ membership::role::Agent,
                                     { "q", 2 },
                                     "10.0.0.6:9100",
                                     "n" };

agent_world
JoiningWorld(const std::vector<membership::member_row>& aRows)
{
  agent_world world;
  OnRowWritten(world.mControl, world.mNow, world.mOut);
  OnRows(world.mControl, aRows, world.mNow, world.mOut);
  world.Configure(5, domain_state::In);
  world.RegisterTarget();
  world.AnswerLoadReport();
  return world;
}

void
Answer(agent_world& aWorld,
       const membership::member_row& aPeer,
       bool aIsOpen,
       std::vector<core::ballot_promise> aPromises = {})
{
  OnCopiedFences(aWorld.mControl,
                 aPeer.mPeer,
                 { aPeer.mPeer, aIsOpen, std::move(aPromises) },
                 aWorld.mNow,
                 aWorld.mOut);
}

bool
IsOpen(const agent_world& aWorld)
{
  return StateOf(aWorld.mControl, {}, aWorld.mNow).mOpen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_joining)

BOOST_AUTO_TEST_CASE(writes_its_row_before_it_reads_others)
{
  agent_world world;
  Tick(world.mControl, world.mNow, world.mOut);
  BOOST_TEST(world.All<read_rows>().empty());
  BOOST_TEST(world.ConsumeEffects<write_row>().size() == 1U);
  OnRows(world.mControl, {}, world.mNow, world.mOut);
  BOOST_TEST(!IsOpen(world));
  world.mNow += 1s;
  Tick(world.mControl, world.mNow, world.mOut);
  BOOST_TEST(world.ConsumeEffects<write_row>().size() == 1U);
  OnRowWritten(world.mControl, world.mNow, world.mOut);
  BOOST_TEST(world.ConsumeEffects<read_rows>().size() == 1U);
  BOOST_TEST(!IsOpen(world));
  OnRows(world.mControl, {}, world.mNow, world.mOut);
  BOOST_TEST(IsOpen(world));
}

BOOST_AUTO_TEST_CASE(copied_fences_refuse_lower_ballots)
{
  auto world = JoiningWorld({ kPeer, kOther });
  BOOST_TEST(world.ConsumeEffects<copy_fences_from>().size() == 2U);
  auto early = Task(0, { 3, 3 });
  BOOST_TEST((world.Start(early) == start_verdict::NotOpen));
  Answer(world, kPeer, true, { { "tabcraft/job", { 2, 2 }, kEntryB } });
  BOOST_TEST(IsOpen(world));
  BOOST_TEST((world.Start(Task(0)) == start_verdict::Fenced));
  // A placement stays refused once it was refused.
  BOOST_TEST((world.Start(early) == start_verdict::NotOpen));
  BOOST_TEST((world.Start(Task(0, { 2, 2 })) == start_verdict::Accepted));
  BOOST_TEST(OnCopyFences(world.mControl).mPromises.size() == 1U);
}

BOOST_AUTO_TEST_CASE(opens_when_all_others_are_joining_too)
{
  auto world = JoiningWorld({ kPeer, kOther });
  Answer(world, kPeer, false);
  BOOST_TEST(!IsOpen(world));
  Answer(world, kOther, false);
  BOOST_TEST(IsOpen(world));
}

BOOST_AUTO_TEST_CASE(silent_or_replaced_peer_delays_opening_by_the_window)
{
  auto world = JoiningWorld({ kPeer });
  OnCopiedFences(world.mControl,
                 kPeer.mPeer,
                 { { "p", 99 }, true, {} },
                 world.mNow,
                 world.mOut);
  world.Advance(119s);
  BOOST_TEST(!IsOpen(world));
  world.Advance(1s);
  BOOST_TEST(IsOpen(world));
}

BOOST_AUTO_TEST_CASE(fence_before_opening_is_kept)
{
  auto world = JoiningWorld({ kPeer });
  world.Fence("tabcraft/job", { 2, 2 });
  Answer(world, kPeer, true);
  BOOST_TEST((world.Start(Task(0)) == start_verdict::Fenced));
}

BOOST_AUTO_TEST_CASE(configuration_never_goes_back)
{
  auto world = OpenWorld();
  world.Configure(6, domain_state::Out);
  world.Configure(5, domain_state::In);
  world.Configure(6, domain_state::In);
  BOOST_TEST(StateOf(world.mControl, {}, world.mNow).mGeneration == 6U);
  BOOST_TEST((world.Start(Task(0)) == start_verdict::DomainOut));
}

BOOST_AUTO_TEST_CASE(entry_hands_over_the_newer_configuration)
{
  auto world = OpenWorld();
  core::entry_reply reply;
  reply.mGeneration = 6;
  reply.mLastContactAge = 0us;
  reply.mConfiguration = Configuration(6, domain_state::Out);
  OnLoadReportAnswered(
    world.mControl, kEntryA, reply, world.mNow, world.mNow, world.mOut);
  BOOST_TEST((world.Start(Task(0)) == start_verdict::DomainOut));
}

BOOST_AUTO_TEST_CASE(reply_without_the_newer_text_does_not_count_as_contact)
{
  auto world = OpenWorld();
  world.mNow += 2s;
  core::entry_reply reply;
  reply.mGeneration = 6;
  reply.mLastContactAge = 0us;
  reply.mConfiguration = { 6, "no operator file" };
  OnLoadReportAnswered(
    world.mControl, kEntryA, reply, world.mNow, world.mNow, world.mOut);
  world.mNow += 1us;
  BOOST_TEST((world.Start(Task(0)) == start_verdict::Stale));
}

BOOST_AUTO_TEST_CASE(
  contact_age_is_the_age_of_the_call_and_of_the_entrys_contact)
{
  const auto verdictAfter = [](std::optional<core::duration> aAge,
                               core::duration aCallTime) {
    auto world = OpenWorld();
    world.Advance(10s);
    const auto sentAt = world.mNow;
    world.mNow += 3s;
    core::entry_reply reply;
    reply.mGeneration = 5;
    reply.mLastContactAge = aAge;
    OnLoadReportAnswered(world.mControl,
                         kEntryA,
                         reply,
                         sentAt + 3s - aCallTime,
                         world.mNow,
                         world.mOut);
    world.RegisterTarget();
    return world.Start(Task(0));
  };
  BOOST_TEST((verdictAfter(1s, 1s) == start_verdict::Accepted));
  BOOST_TEST((verdictAfter(1s, 1001ms) == start_verdict::Stale));
  BOOST_TEST((verdictAfter(2001ms, 0s) == start_verdict::Stale));
  BOOST_TEST((verdictAfter(std::nullopt, 0s) == start_verdict::Stale));
}

BOOST_AUTO_TEST_SUITE_END()
