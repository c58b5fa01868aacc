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

  bool IsWritten(const io::write_result& aResult)
  {
    return std::holds_alternative<io::row_written>(aResult);
  }
};

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

BOOST_AUTO_TEST_CASE(the_configuration_keeps_its_generation_until_it_changes)
{
  const auto generation = [&] {
    const auto read = mClient.ReadRow("configuration", "current");
    const auto* row = std::get_if<io::table_row>(&read);
    BOOST_REQUIRE(row != nullptr);
    return row->mVersion;
  };
  mStore.Put("op", "config", R"({"version":1,"routes":[],"services":[]})");
  const auto first = generation();
  mStore.Put("members", "k", "text");
  BOOST_TEST(generation() == first);
  mStore.Put("op", "evacuate/a", "{}");
  BOOST_TEST(generation() > first);
}

BOOST_AUTO_TEST_CASE(operators_rows_are_not_written)
{
  BOOST_TEST(!IsWritten(
    mClient.WriteRow("configuration", "current", "text", std::nullopt)));
  BOOST_TEST(mStore.Calls() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
