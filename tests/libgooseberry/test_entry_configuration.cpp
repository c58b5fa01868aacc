#include "libgooseberry/entry/entry_control.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::entry;

namespace {

std::string
ConfigurationText(const std::string& aName)
{
  return "[state]\nformat = 1\nname = " + aName + "\n";
}

/** Returns the stored row after a change by another entry. */
configuration_row
Row(core::generation aGeneration, const std::string& aName)
{
  return {
    { aGeneration, ConfigurationText(aName) }, aName, "entry-9", aGeneration
  };
}

/** An entry that has read generation 1. */
struct fixture
{
  fixture()
  {
    entry_options options;
    options.mName = "entry-1";
    mControl = MakeEntry(options, 1, 1, mNow, mEffects);
    OnConfigurationRead(mControl, Row(1, "first"), mNow, mNow, mEffects);
  }

  void Apply(std::uint64_t aToken, const std::string& aName)
  {
    OnApply(mControl,
            aToken,
            ConfigurationText(aName),
            aName,
            mExpected,
            mNow,
            mEffects);
  }

  void FinishWrite(const std::string& aRequest,
                   apply_status aStatus,
                   const configuration_row& aRow)
  {
    OnConfigurationWritten(
      mControl, aRequest, { aStatus, aRow, {} }, mNow, mEffects);
  }

  /** Delivers another entry's change in its reply to a heartbeat. */
  void ReceiveHeartbeat(const configuration_row& aRow)
  {
    core::heartbeat beat;
    beat.mEntry = { "entry-9", 9 };
    beat.mAddress = "127.0.0.1:9";
    beat.mGeneration = aRow.mConfiguration.mGeneration;
    beat.mConfiguration = aRow.mConfiguration;
    OnHeartbeatReply(mControl, beat, mNow, mNow, mEffects);
  }

  template<typename Effect>
  std::vector<Effect> Collect()
  {
    std::vector<Effect> found;
    for (const auto& effect : mEffects) {
      if (const auto* match = std::get_if<Effect>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  core::instant mNow{ std::chrono::seconds(100) };
  effects mEffects;
  entry_control mControl;
  std::optional<core::generation> mExpected = 1;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_configuration, fixture)

BOOST_AUTO_TEST_CASE(change_waiting_behind_another_loses)
{
  Apply(1, "a");
  Apply(2, "b");
  FinishWrite("a", apply_status::Applied, Row(2, "a"));
  BOOST_TEST(Collect<write_configuration>().size() == 1U);
  const auto answers = Collect<answer_operator>();
  BOOST_REQUIRE(answers.size() == 2U);
  BOOST_TEST((answers.at(0).mResult.mStatus == apply_status::Applied));
  BOOST_TEST((answers.at(1).mResult.mStatus == apply_status::Conflict));
  BOOST_TEST(answers.at(1).mResult.mGeneration == 2U);
  BOOST_TEST(mControl.mRow.mConfiguration.mText == ConfigurationText("a"));
}

BOOST_AUTO_TEST_CASE(rival_change_known_before_the_conflict_is_not_overwritten)
{
  Apply(1, "a");
  ReceiveHeartbeat(Row(2, "rival"));
  FinishWrite("a", apply_status::Conflict, Row(2, "rival"));
  BOOST_TEST(Collect<write_configuration>().size() == 1U);
  const auto answers = Collect<answer_operator>();
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers.front().mResult.mStatus == apply_status::Conflict));
  BOOST_TEST(answers.front().mResult.mBy == "entry-9");
}

BOOST_AUTO_TEST_CASE(unknown_row_version_is_adopted_and_the_write_retried)
{
  ReceiveHeartbeat(Row(2, "rival"));
  mExpected = 2;
  Apply(1, "a");
  FinishWrite("a", apply_status::Conflict, Row(2, "rival"));
  const auto writes = Collect<write_configuration>();
  BOOST_REQUIRE(writes.size() == 2U);
  BOOST_TEST(writes.at(1).mRow.mRowVersion == 2U);
  BOOST_TEST(writes.at(1).mRow.mConfiguration.mGeneration == 3U);
}

BOOST_AUTO_TEST_CASE(row_that_cannot_be_read_ends_the_change)
{
  Apply(1, "a");
  FinishWrite("a", apply_status::Conflict, {});
  BOOST_TEST(Collect<write_configuration>().size() == 1U);
  BOOST_TEST(Collect<answer_operator>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(configuration_from_a_peer_has_no_known_author)
{
  ReceiveHeartbeat(Row(2, "rival"));
  BOOST_TEST(mControl.mRow.mConfiguration.mGeneration == 2U);
  BOOST_TEST(mControl.mRow.mRequest.empty());
  BOOST_TEST(mControl.mRow.mBy.empty());
  OnConfigurationRead(mControl, Row(2, "rival"), mNow, mNow, mEffects);
  BOOST_TEST(mControl.mRow.mRequest == "rival");
  BOOST_TEST(mControl.mRow.mBy == "entry-9");
}

// A restarted entry hears of the newest configuration before it reads a copy of
// the store that lags behind.
BOOST_FIXTURE_TEST_CASE(an_older_row_does_not_bring_back_what_was_removed,
                        fixture)
{
  ReceiveHeartbeat(Row(5, "fifth"));
  OnConfigurationRead(mControl, Row(4, "fourth"), mNow, mNow, mEffects);
  BOOST_TEST(mControl.mDesired.mName == "fifth");
}

BOOST_AUTO_TEST_SUITE_END()
