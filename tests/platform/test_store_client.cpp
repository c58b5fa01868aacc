#include "libgooseberryio/rows.h"
#include "platform/store_client.h"
#include "store_standin.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using test::store_fault;

namespace {

struct store_fixture
{
  test::store_standin mStore;
  platform::store_client mClient{ mStore.Settings(), { { "a", "b" }, "r" } };

  std::size_t Members()
  {
    const auto listed = mClient.ListRows("members");
    const auto* rows = std::get_if<std::vector<io::table_row>>(&listed);
    BOOST_REQUIRE(rows != nullptr);
    return rows->size();
  }

  std::string ReadError()
  {
    const auto listed = mClient.ListRows("members");
    const auto* error = std::get_if<core::error>(&listed);
    return error == nullptr ? "" : error->mReason;
  }

  /** Keys of the rows that are read, with commas between. */
  std::string Keys()
  {
    const auto listed = mClient.ListRows("members");
    const auto* rows = std::get_if<std::vector<io::table_row>>(&listed);
    BOOST_REQUIRE(rows != nullptr);
    std::string keys;
    for (const io::table_row& row : *rows) {
      keys += (keys.empty() ? "" : ",") + row.mKey;
    }
    return keys;
  }

  /** The row that a configuration was made into. */
  entry::configuration_row Stored(const io::table_row& aRow)
  {
    const auto parsed = io::ParseConfiguration(aRow.mValue);
    const auto* row = std::get_if<entry::configuration_row>(&parsed);
    BOOST_REQUIRE(row != nullptr);
    return *row;
  }

  /** The configuration row as read. */
  io::table_row Configuration()
  {
    const auto read = mClient.ReadRow("configuration", "current");
    const auto* row = std::get_if<io::table_row>(&read);
    BOOST_REQUIRE(row != nullptr);
    return *row;
  }

  bool IsWritten(const io::write_result& aResult)
  {
    return std::holds_alternative<io::row_written>(aResult);
  }
};

constexpr const char* kConfiguration =
  R"({"version":1,"routes":[{"name":"r-1","host":"a.example",)"
  R"("pathPrefix":"/cut/","service":"press"}],)"
  R"("services":[{"name":"press"}]})";

/** A reply with such rows between two true ones. */
std::string
Page(const std::string& aOddRow, bool aHasMore = false)
{
  const auto row = [](const char* aKey) {
    return std::string(R"({"table":"members","part":"","key":")") + aKey +
           R"(","value":"dGV4dA==","rowVersion":7})";
  };
  return R"({"rows":[)" + row("a") + ',' + aOddRow + ',' + row("c") +
         R"(],"rowVersion":9,"morePages":)" + (aHasMore ? "true}" : "false}");
}

std::string
OddRow(const char* aValue, const char* aVersion = "7")
{
  return R"({"table":"members","part":"","key":"b","value":)" +
         std::string(aValue) + R"(,"rowVersion":)" + aVersion + "}";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_client, store_fixture)

BOOST_AUTO_TEST_CASE(what_is_written_is_read)
{
  BOOST_TEST(IsWritten(mClient.WriteRow("members", "k", "text", {})));
  const auto read = mClient.ReadRow("members", "k");
  const auto* row = std::get_if<io::table_row>(&read);
  BOOST_REQUIRE(row != nullptr);
  BOOST_TEST(row->mValue == "text");
}

BOOST_AUTO_TEST_CASE(calls_that_were_not_done_are_sent_again)
{
  mStore.Fail({ store_fault::Unavailable, store_fault::TooMany });
  BOOST_TEST(IsWritten(mClient.WriteRow("members", "k", "text", {})));
  BOOST_TEST(mStore.Calls() == 3U);
  BOOST_TEST(Members() == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_is_made_once_in_effect)
{
  mStore.Fail({ store_fault::AnswerLost });
  BOOST_TEST(IsWritten(mClient.WriteRow("members", "k", "text", {})));
  BOOST_TEST(Members() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_answer_is_not_waited_for)
{
  mStore.Fail({ store_fault::Late });
  const auto begin = std::chrono::steady_clock::now();
  BOOST_TEST(Members() == 0U);
  BOOST_TEST(
    (std::chrono::steady_clock::now() - begin < mStore.Settings().mBudget));
  BOOST_TEST(mStore.Calls() == 2U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_cannot_be_read_is_an_error)
{
  mStore.Fail({ store_fault::Unreadable });
  BOOST_TEST(!ReadError().empty());
}

BOOST_AUTO_TEST_CASE(a_store_that_stays_away_is_an_error_within_the_budget)
{
  mStore.Fail(std::deque<store_fault>(1'000, store_fault::Unavailable));
  BOOST_TEST(ReadError() == "status 503");
}

BOOST_AUTO_TEST_CASE(a_row_that_changed_meanwhile_is_not_overwritten)
{
  mStore.Put("members", "k", "other");
  const auto written = mClient.WriteRow("members", "k", "text", 99);
  const auto* error = std::get_if<core::error>(&written);
  BOOST_REQUIRE(error != nullptr);
  BOOST_TEST(error->mReason == "the row has changed");
}

BOOST_AUTO_TEST_CASE(a_configuration_has_the_version_of_the_store_when_read)
{
  mStore.Put("op", "config", kConfiguration);
  const auto first = Configuration();
  BOOST_TEST(Stored(first).mConfiguration.mGeneration == first.mVersion);
  BOOST_TEST((Stored(first).mNumbering == configuration::numbering::ByRead));
  mStore.Put("members", "k", "text");
  const auto second = Configuration();
  BOOST_TEST(second.mVersion == first.mVersion + 1);
  BOOST_TEST(Stored(second).mConfiguration.mText ==
             Stored(first).mConfiguration.mText);
}

// Entries read some hundred KiB twice a second for nothing.
BOOST_AUTO_TEST_CASE(rows_are_read_again_only_where_the_store_has_changed)
{
  mStore.Put("op", "config", kConfiguration);
  const auto first = Configuration();
  const auto bytes = mStore.BytesRead();
  BOOST_TEST(Configuration().mValue == first.mValue);
  BOOST_TEST(mStore.BytesRead() - bytes < 100U);
  mStore.Put("op", "evacuate/a", "{}");
  BOOST_TEST(Configuration().mValue != first.mValue);
  mStore.Remove("op", "evacuate/a");
  BOOST_TEST(Stored(Configuration()).mConfiguration.mText ==
             Stored(first).mConfiguration.mText);
}

BOOST_AUTO_TEST_CASE(operators_rows_are_not_written)
{
  BOOST_TEST(!IsWritten(
    mClient.WriteRow("configuration", "current", "text", std::nullopt)));
  BOOST_TEST(mStore.Calls() == 0U);
}

BOOST_AUTO_TEST_CASE(odd_rows_do_not_cost_the_others)
{
  for (const std::string& odd :
       { std::string("7"),
         std::string("null"),
         std::string("{}"),
         std::string("[]"),
         std::string(R"({"key":"b"})"),
         std::string(R"({"key":7,"value":"dGV4dA=="})"),
         OddRow("7"),
         OddRow("null"),
         OddRow("{}"),
         OddRow(R"("*!")"),
         OddRow(R"("dGV4d")"),
         OddRow(R"("dG\nV4dA==")"),
         OddRow(R"("dGV4dA==")", R"("7")"),
         OddRow(R"("dGV4dA==")", "-1"),
         OddRow(R"("dGV4dA==")", "1.5"),
         OddRow(R"("dGV4dA==")", "1e300"),
         OddRow(R"("dGV4dA==")", "null") }) {
    BOOST_TEST_CONTEXT(odd)
    {
      mStore.Say({ Page(odd) });
      BOOST_TEST(Keys() == "a,c");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_page_of_odd_rows_does_not_end_the_list)
{
  mStore.Say(
    { R"({"rows":[)" + OddRow("7") + R"(],"rowVersion":9,"morePages":true})",
      Page(R"({"key":"b2","value":"eA==","rowVersion":8})") });
  BOOST_TEST(Keys() == "a,b2,c");
  BOOST_TEST(mStore.Calls() == 2U);
}

BOOST_AUTO_TEST_CASE(pages_that_do_not_go_on_are_an_error)
{
  mStore.Say({ Page(OddRow(R"("eA==")"), true) });
  BOOST_TEST(!ReadError().empty());
  BOOST_TEST(mStore.Calls() == 2U);
  mStore.Say({ R"({"rows":[],"rowVersion":9,"morePages":true})" });
  BOOST_TEST(!ReadError().empty());
}

BOOST_AUTO_TEST_CASE(answers_without_readable_rows_or_versions_are_errors)
{
  for (const char* const body :
       { "",
         "[]",
         "7",
         "{}",
         R"({"rows":7,"rowVersion":9,"morePages":false})",
         R"({"rows":{},"rowVersion":9,"morePages":false})",
         R"({"rows":[],"morePages":false})",
         R"({"rows":[],"rowVersion":"9","morePages":false})",
         R"({"rows":[],"rowVersion":-9,"morePages":false})",
         R"({"rows":[],"rowVersion":1e300,"morePages":false})",
         R"({"rows":[],"rowVersion":9,"morePages":"yes"})" }) {
    BOOST_TEST_CONTEXT(body)
    {
      mStore.Say({ body });
      BOOST_TEST(!ReadError().empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_odd_is_an_error)
{
  for (const char* const body : { "",
                                  "[]",
                                  "7",
                                  R"({"rowVersion":"7"})",
                                  R"({"rowVersion":null})",
                                  R"({"rowVersion":-7})",
                                  R"({"rowVersion":1.5})",
                                  R"({"rowVersion":[7]})" }) {
    BOOST_TEST_CONTEXT(body)
    {
      mStore.Say({ body });
      BOOST_TEST(!IsWritten(mClient.WriteRow("members", "k", "text", {})));
      BOOST_TEST(std::holds_alternative<core::error>(
        mClient.DeleteRow("members", "k", {})));
    }
  }
}

BOOST_AUTO_TEST_CASE(an_odd_configuration_keeps_the_one_in_force)
{
  mStore.Put("op", "config", kConfiguration);
  const auto before = Configuration();
  for (const std::string& odd :
       { std::string(),
         std::string("\xff"),
         std::string("[]"),
         std::string(R"({"version":2,"routes":[7],"services":[]})"),
         std::string(100'000, '[') }) {
    mStore.Put("op", "config", odd);
    BOOST_TEST(Stored(Configuration()).mConfiguration.mText ==
               Stored(before).mConfiguration.mText);
  }
}

BOOST_AUTO_TEST_CASE(an_evacuation_counts_beside_an_odd_configuration)
{
  mStore.Put("op", "config", kConfiguration);
  const auto before = Configuration();
  mStore.Put("op", "config", "[]");
  mStore.Put("op", "evacuate/a", "{}");
  const auto after = Configuration();
  BOOST_TEST(after.mVersion > before.mVersion);
  BOOST_TEST(Stored(after).mConfiguration.mText !=
             Stored(before).mConfiguration.mText);
  BOOST_TEST(after.mValue.find("press") != std::string::npos);
  mStore.Put("op", "config", kConfiguration);
  BOOST_TEST(Configuration().mValue.find("press") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
