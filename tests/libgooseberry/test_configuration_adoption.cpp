#include "entry_fixture.h"
#include "property.h"

#include <array>
#include <deque>

using namespace gooseberry;
using namespace gooseberry::entry;
using namespace gooseberry::entry::test;

namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kTexts = 3;

std::string
Text(std::size_t aNumber)
{
  return "[state]\nformat = 1\nname = n" + std::to_string(aNumber) + "\n";
}

/** What operators have written: the text at each version of the service. */
struct written
{
  std::deque<std::string> mTexts{ Text(0) };

  core::generation Version() const { return mTexts.size(); }

  /** Other rows are written too: the text may stay. */
  void Write(std::size_t aNumber) { mTexts.push_back(Text(aNumber)); }

  configuration_row Read() const
  {
    return { { Version(), mTexts.back() },
             "",
             "operators",
             Version(),
             configuration::numbering::ByRead };
  }

  bool WasWrittenSince(const std::string& aText,
                       core::generation aVersion) const
  {
    return std::find(mTexts.begin() + static_cast<std::ptrdiff_t>(aVersion) - 1,
                     mTexts.end(),
                     aText) != mTexts.end();
  }
};

struct reader
{
  core::instant mNow{ 1'000s };
  effects mEffects;
  entry_control mControl;
  core::generation mLastRead = 1;
  std::optional<configuration_row> mReadUnderWay;

  explicit reader(const std::string& aName)
    : mControl(MakeEntry(Named(aName), 5, 1, mNow, mEffects))
  {
  }

  static entry_options Named(const std::string& aName)
  {
    auto options = LeasedOptions();
    options.mName = aName;
    return options;
  }

  void TakeIn(const configuration_row& aRow)
  {
    OnConfigurationRead(mControl, aRow, mNow, mNow, mEffects);
    mLastRead = std::max(mLastRead, aRow.mConfiguration.mGeneration);
  }

  void HearFrom(const reader& aOther)
  {
    core::heartbeat beat;
    beat.mEntry = aOther.mControl.mSelf;
    beat.mGeneration = aOther.Held().mGeneration;
    beat.mConfiguration = aOther.Held();
    OnHeartbeatReply(mControl, beat, mNow, mNow, mEffects);
  }

  const core::versioned_configuration& Held() const
  {
    return mControl.mRow.mConfiguration;
  }
};

/** Checks that no entry holds what was replaced before its last own read. */
void
CheckHeld(const written& aWritten, const reader& aReader)
{
  if (aReader.Held().mGeneration > 0) {
    RC_ASSERT(
      aWritten.WasWrittenSince(aReader.Held().mText, aReader.mLastRead));
  }
}

void
Play()
{
  written operators;
  std::array<reader, kEntries> entries{ reader("a"), reader("b"), reader("c") };
  const auto steps = gooseberry::test::Between<std::size_t>(1, 60);
  for (std::size_t step = 0; step < steps; ++step) {
    const auto which = gooseberry::test::Between<std::size_t>(0, kEntries);
    reader& entry = entries.at(which);
    switch (gooseberry::test::Between(0, 4)) {
      case 0:
        operators.Write(gooseberry::test::Between<std::size_t>(0, kTexts));
        break;
      case 1:
        entry.mReadUnderWay = operators.Read();
        break;
      case 2:
        if (const auto read = std::exchange(entry.mReadUnderWay, {})) {
          entry.TakeIn(*read);
        }
        break;
      default:
        entry.HearFrom(entries.at((which + 1) % kEntries));
    }
    CheckHeld(operators, entry);
  }
  entries.front().TakeIn(operators.Read());
  for (std::size_t round = 0; round < 2 * kEntries; ++round) {
    entries.at(round % kEntries).HearFrom(entries.at((round + 1) % kEntries));
    entries.at((round + 1) % kEntries).HearFrom(entries.at(round % kEntries));
  }
  for (const reader& entry : entries) {
    RC_ASSERT(entry.Held().mText == operators.mTexts.back());
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_adoption)

// What was changed and changed back gave way for good to what came in between.
BOOST_AUTO_TEST_CASE(one_read_after_the_last_change_reaches_all_entries)
{
  gooseberry::test::CheckProperty(Play, 2'000);
}

BOOST_FIXTURE_TEST_CASE(an_agent_that_holds_what_was_replaced_is_told,
                        leased_entry)
{
  const auto read = [&](core::generation aVersion) {
    configuration_row row{ { aVersion, Text(1) }, "", "", aVersion };
    row.mNumbering = configuration::numbering::ByRead;
    OnConfigurationRead(mControl, row, mNow, mNow, mEffects);
  };
  read(10);
  read(25);
  core::agent_state state;
  state.mAgent = { "agent", 7 };
  state.mAddress = "agent:1";
  state.mGeneration = 20;
  state.mTimestamp = mNow;
  mEffects.clear();
  static_cast<void>(OnAnnounce(mControl, state, mNow, mEffects));
  mNow += 500ms;
  Tick(mControl, mNow, mEffects);
  const auto pushed =
    std::find_if(mEffects.begin(), mEffects.end(), [](const effect& aEffect) {
      return std::holds_alternative<push_configuration>(aEffect);
    });
  BOOST_REQUIRE((pushed != mEffects.end()));
  const auto& sent = std::get<push_configuration>(*pushed);
  BOOST_TEST(sent.mConfiguration.mGeneration == 25U);
  BOOST_TEST(sent.mConfiguration.mText == Text(1));
}

BOOST_AUTO_TEST_SUITE_END()
