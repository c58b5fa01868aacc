#include "entry_fixture.h"
#include "leased_agent_fixture.h"

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: a configuration of hundreds of KiB changes in a large fleet,
 * some of whose processes have slow links. */
namespace {

constexpr std::size_t kAgents = 80;
constexpr std::size_t kEntries = 14;

/** An entry in contact with many agents and other entries. */
struct large_fleet : entry::test::leased_entry
{
  large_fleet()
  {
    for (std::size_t i = 0; i < kAgents; ++i) {
      static_cast<void>(
        entry::OnAnnounce(mControl, Agent(i, true), mNow, mEffects));
    }
    std::vector<membership::member_row> rows;
    for (std::size_t i = 0; i < kEntries; ++i) {
      rows.push_back({ membership::role::Entry, Peer(i), Address(i), "d" });
    }
    entry::OnMembers(mControl, rows, mNow, mNow, mEffects);
    mEffects.clear();
  }

  static core::peer_ref Peer(std::size_t aNumber)
  {
    return { "entry-" + std::to_string(aNumber), 1 };
  }

  static std::string Address(std::size_t aNumber)
  {
    return "10.0.0." + std::to_string(aNumber) + ":1";
  }

  core::agent_state Agent(std::size_t aNumber, bool aReads) const
  {
    core::agent_state state;
    state.mAgent = { "agent-" + std::to_string(aNumber), 1 };
    state.mAddress = "10.0.1." + std::to_string(aNumber) + ":1";
    state.mGeneration = 1;
    state.mTimestamp = mNow;
    state.mReadsConfiguration = aReads;
    return state;
  }

  static core::heartbeat Beat(std::size_t aNumber, core::generation aGeneration)
  {
    core::heartbeat beat;
    beat.mEntry = Peer(aNumber);
    beat.mAddress = Address(aNumber);
    beat.mGeneration = aGeneration;
    beat.mDigest = 7;
    beat.mReadsConfiguration = true;
    return beat;
  }

  /** Adds services until the text has that many bytes. */
  void Change(std::size_t aBytes = 200'000)
  {
    auto row = entry::test::MakeConfiguration();
    row.mConfiguration.mGeneration = 9;
    std::string& text = row.mConfiguration.mText;
    for (int i = 0; text.size() < aBytes; ++i) {
      text += "[service s" + std::to_string(i) + "]\ntargets = *\n";
    }
    row.mNumbering = configuration::numbering::ByRead;
    entry::OnConfigurationRead(mControl, row, mNow, mNow, mEffects);
  }

  /** Copies of the text that have been sent. */
  std::size_t Texts() const
  {
    std::size_t texts = 0;
    for (const auto& effect : mEffects) {
      const auto* beat = std::get_if<entry::send_heartbeat>(&effect);
      texts += std::holds_alternative<entry::push_configuration>(effect) ||
                   (beat != nullptr && beat->mBeat.mConfiguration.has_value())
                 ? 1
                 : 0;
    }
    return texts;
  }

  template<typename Effect>
  std::size_t Count() const
  {
    return static_cast<std::size_t>(
      std::count_if(mEffects.begin(), mEffects.end(), [](const auto& aEffect) {
        return std::holds_alternative<Effect>(aEffect);
      }));
  }

  std::size_t Asked() const
  {
    return static_cast<std::size_t>(
      std::count_if(mEffects.begin(), mEffects.end(), [](const auto& aEffect) {
        const auto* beat = std::get_if<entry::send_heartbeat>(&aEffect);
        return beat != nullptr && !beat->mBeat.mReadsConfiguration;
      }));
  }
};

/** An agent that knows several entries. */
struct behind_agent : agent::test::leased_agent
{
  behind_agent()
  {
    agent::OnRowWritten(mControl, mNow, mEffects);
    std::vector<membership::member_row> rows;
    for (std::size_t i = 0; i < kEntries; ++i) {
      rows.push_back({ membership::role::Entry,
                       large_fleet::Peer(i),
                       large_fleet::Address(i),
                       "d" });
    }
    agent::OnRows(mControl, rows, mNow, mEffects);
    mEffects.clear();
  }

  void HearOf(std::size_t aEntry, core::generation aGeneration)
  {
    core::entry_reply reply;
    reply.mEntry = large_fleet::Peer(aEntry);
    reply.mGeneration = aGeneration;
    reply.mDigest = 7;
    reply.mLastContactAge = 0ms;
    agent::OnLoadReportAnswered(
      mControl, large_fleet::Address(aEntry), reply, mNow, mNow, mEffects);
  }

  std::size_t Reads()
  {
    mEffects.clear();
    agent::Tick(mControl, mNow, mEffects);
    return static_cast<std::size_t>(
      std::count_if(mEffects.begin(), mEffects.end(), [](const auto& aEffect) {
        return std::holds_alternative<agent::read_configuration>(aEffect);
      }));
  }

  /** Entries that the agent wants the text from. */
  std::size_t Asked() const
  {
    std::size_t asked = 0;
    for (std::size_t i = 0; i < kEntries; ++i) {
      const auto state =
        agent::StateOf(mControl, large_fleet::Address(i), mNow);
      asked += state.mReadsConfiguration ? 0 : 1;
    }
    return asked;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_spread)

// Each entry sent each change as a whole to all agents and entries, which
// filled the links of the small ones for the rest of the day.
BOOST_FIXTURE_TEST_CASE(a_change_is_sent_to_nobody_who_reads_it, large_fleet)
{
  Change();
  BOOST_TEST(Texts() == 0U);
  BOOST_TEST(Count<entry::send_heartbeat>() == kEntries);
  const auto reply =
    entry::OnAnnounce(mControl, Agent(0, true), mNow, mEffects);
  BOOST_TEST(reply.mGeneration == 9U);
  BOOST_TEST(!reply.mConfiguration.has_value());
  BOOST_TEST(!entry::OnHeartbeat(mControl, Beat(0, 1), mNow, mEffects)
                .mConfiguration.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_small_change_is_sent_to_all, large_fleet)
{
  Change(500);
  BOOST_TEST(Texts() == kAgents);
  BOOST_TEST(entry::OnHeartbeat(mControl, Beat(0, 1), mNow, mEffects)
               .mConfiguration.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_change_is_sent_to_those_who_ask, large_fleet)
{
  Change();
  const auto reply =
    entry::OnAnnounce(mControl, Agent(0, false), mNow, mEffects);
  BOOST_TEST(reply.mConfiguration.has_value());
  auto beat = Beat(0, 1);
  beat.mReadsConfiguration = false;
  BOOST_TEST(entry::OnHeartbeat(mControl, beat, mNow, mEffects)
               .mConfiguration.has_value());
}

// Reads of one entry lined up behind each other, each of hundreds of KiB.
BOOST_FIXTURE_TEST_CASE(an_entry_that_hears_of_a_change_waits_for_its_next_read,
                        large_fleet)
{
  entry::Tick(mControl, mNow, mEffects);
  mEffects.clear();
  for (std::size_t i = 0; i < 10 * kEntries; ++i) {
    mNow += 7ms;
    static_cast<void>(
      entry::OnHeartbeat(mControl, Beat(i % kEntries, 9), mNow, mEffects));
    entry::Tick(mControl, mNow, mEffects);
  }
  BOOST_TEST(Count<entry::read_configuration>() == 1U);
  BOOST_TEST(Asked() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_entry_without_the_store_asks_one_entry_at_a_time,
                        large_fleet)
{
  mNow += 10s;
  for (std::size_t i = 0; i < kEntries; ++i) {
    static_cast<void>(entry::OnHeartbeat(mControl, Beat(i, 9), mNow, mEffects));
  }
  BOOST_TEST(Asked() == 1U);
  mNow += 500ms;
  static_cast<void>(entry::OnHeartbeat(mControl, Beat(3, 9), mNow, mEffects));
  BOOST_TEST(Asked() == 2U);
}

BOOST_FIXTURE_TEST_CASE(another_number_of_the_same_text_is_taken, large_fleet)
{
  auto beat = Beat(0, 9);
  beat.mDigest = mControl.mDigest;
  static_cast<void>(entry::OnHeartbeat(mControl, beat, mNow, mEffects));
  BOOST_TEST(mControl.mRow.mConfiguration.mGeneration == 9U);
  BOOST_TEST(Texts() == 0U);
  BOOST_TEST(Asked() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_agent_that_hears_of_a_change_reads_it_once,
                        behind_agent)
{
  HearOf(0, 1);
  static_cast<void>(Reads());
  mNow += 600ms;
  std::size_t reads = 0;
  for (std::size_t i = 0; i < kEntries; ++i) {
    HearOf(i, 9);
    reads += Reads();
  }
  BOOST_TEST(reads == 1U);
  BOOST_TEST(Asked() == 0U);
}

// Its starts would be refused until a read of a store that is down has failed.
BOOST_FIXTURE_TEST_CASE(an_agent_without_any_configuration_asks_at_once,
                        behind_agent)
{
  mControl.mConfiguration = {};
  mControl.mDigest = 0;
  for (std::size_t i = 0; i < kEntries; ++i) {
    HearOf(i, 9);
  }
  BOOST_TEST(Asked() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_agent_without_the_store_asks_one_entry_at_a_time,
                        behind_agent)
{
  HearOf(0, 9);
  agent::OnConfigurationReadFailed(mControl);
  for (std::size_t i = 0; i < kEntries; ++i) {
    HearOf(i, 9);
  }
  BOOST_TEST(Asked() == 1U);
  mNow += 1s;
  HearOf(5, 9);
  BOOST_TEST(Asked() == 1U);
  BOOST_TEST(!agent::StateOf(mControl, large_fleet::Address(5), mNow)
                .mReadsConfiguration);
  configuration::desired_state state;
  state.mName = "later";
  agent::OnConfiguration(
    mControl, { 9, configuration::Format(state) }, mNow, mEffects);
  BOOST_TEST(Asked() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
