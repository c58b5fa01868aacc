#include "leased_agent_fixture.h"

using namespace gooseberry;
using namespace gooseberry::agent::test;

namespace {

/** An agent that is open, at the configuration of generation 1. */
struct reading_agent : leased_agent
{
  reading_agent()
  {
    agent::OnRowWritten(mControl, mNow, mEffects);
    agent::OnRows(mControl, {}, mNow, mEffects);
    mEffects.clear();
  }

  static std::string Text(configuration::domain_state aState)
  {
    configuration::desired_state state;
    state.mName = "test";
    state.mFailureDomains["north"] = { "r", aState };
    state.mServices["press"].mTargets = { "*" };
    return configuration::Format(state);
  }

  /** An entry answers a load report; it was confirmed `aAge` ago itself. */
  void HearFromEntry(std::optional<core::duration> aAge)
  {
    core::entry_reply reply;
    reply.mEntry = { "a", 1 };
    reply.mGeneration = 1;
    reply.mLastContactAge = aAge;
    agent::OnLoadReportAnswered(
      mControl, kFirstEntry, reply, mNow, mNow, mEffects);
  }

  /** Reads of the configuration asked for within that time. */
  std::size_t ReadsWithin(core::duration aTime,
                          std::optional<core::duration> aEntryAge)
  {
    std::size_t reads = 0;
    for (const auto end = mNow + aTime; mNow < end; mNow += 100ms) {
      mEffects.clear();
      KeepTarget();
      HearFromEntry(aEntryAge);
      agent::Tick(mControl, mNow, mEffects);
      for (const agent::effect& effect : mEffects) {
        reads +=
          std::holds_alternative<agent::read_configuration>(effect) ? 1 : 0;
      }
      if (aEntryAge) {
        *aEntryAge += mEntryAgesBy;
      }
    }
    return reads;
  }

  void Read(core::generation aGeneration, configuration::domain_state aState)
  {
    agent::OnConfigurationRead(mControl,
                               { aGeneration, Text(aState) },
                               configuration::numbering::ByRead,
                               mNow,
                               mNow,
                               mEffects);
  }

  void KeepTarget()
  {
    mClock += 100ms;
    Register(false);
    Report();
  }

  core::start_verdict StartOne()
  {
    KeepTarget();
    return Start("job-" + std::to_string(++mJobs), 1, kFirstEntry);
  }

  core::duration mEntryAgesBy{}; ///< In each 100 ms.
  int mJobs = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_configuration, reading_agent)

BOOST_AUTO_TEST_CASE(an_agent_that_hears_of_recent_reads_does_not_read)
{
  BOOST_TEST(ReadsWithin(20s, 900ms) == 0U);
}

// An evacuated domain got work as the only entry left could not read that it
// was evacuated, though its agents could.
BOOST_AUTO_TEST_CASE(an_agent_reads_itself_where_the_entries_cannot)
{
  static_cast<void>(ReadsWithin(1s, 500ms));
  mEntryAgesBy = 100ms;
  BOOST_TEST(ReadsWithin(2s, 500ms) == 1U);
  Read(5, configuration::domain_state::Out);
  BOOST_TEST((StartOne() == core::start_verdict::DomainOut));
}

BOOST_AUTO_TEST_CASE(an_agent_reads_itself_where_it_hears_of_no_read)
{
  static_cast<void>(ReadsWithin(1s, 500ms));
  BOOST_TEST(ReadsWithin(10s, std::nullopt) == 5U);
}

BOOST_AUTO_TEST_CASE(starts_go_on_where_nobody_can_read)
{
  static_cast<void>(ReadsWithin(1s, 500ms));
  static_cast<void>(ReadsWithin(20s, std::nullopt));
  BOOST_TEST((StartOne() == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(an_own_read_counts_as_recent)
{
  static_cast<void>(ReadsWithin(1s, 500ms));
  mNow += 10s;
  Read(5, configuration::domain_state::In);
  BOOST_TEST(ReadsWithin(1500ms, std::nullopt) == 0U);
  BOOST_TEST(ReadsWithin(500ms, std::nullopt) == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_behind_the_own_read_changes_nothing)
{
  Read(5, configuration::domain_state::Out);
  Read(9, configuration::domain_state::Out);
  const core::versioned_configuration between{
    7, Text(configuration::domain_state::In)
  };
  BOOST_TEST(agent::OnConfiguration(mControl, between, mNow, mEffects) == 9U);
  BOOST_TEST((StartOne() == core::start_verdict::DomainOut));
  const core::versioned_configuration later{
    10, Text(configuration::domain_state::In)
  };
  BOOST_TEST(agent::OnConfiguration(mControl, later, mNow, mEffects) == 10U);
  BOOST_TEST((StartOne() == core::start_verdict::Accepted));
}

BOOST_AUTO_TEST_CASE(an_overtaken_read_changes_nothing)
{
  Read(9, configuration::domain_state::Out);
  Read(8, configuration::domain_state::In);
  BOOST_TEST((StartOne() == core::start_verdict::DomainOut));
}

// The domain was back, taken out and back again; the read is from before that.
BOOST_AUTO_TEST_CASE(a_read_from_before_an_entrys_is_outdated)
{
  Read(8, configuration::domain_state::In);
  core::entry_reply reply;
  reply.mEntry = { "a", 1 };
  reply.mGeneration = 8;
  reply.mDigest = mControl.mDigest;
  reply.mConfirmedGeneration = 10;
  agent::OnLoadReportAnswered(
    mControl, kFirstEntry, reply, mNow, mNow, mEffects);
  Read(9, configuration::domain_state::Out);
  BOOST_TEST((StartOne() == core::start_verdict::Accepted));
  Read(11, configuration::domain_state::Out);
  BOOST_TEST((StartOne() == core::start_verdict::DomainOut));
}

BOOST_AUTO_TEST_SUITE_END()
