#include "libgooseberryio/http_client.h"
#include "libgooseberryio/platform_client.h"
#include "platform/service.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr const char* kTable = "configuration";
constexpr const char* kKey = "desired/state";

/** The stand-in and a client of it. */
struct test_platform
{
  explicit test_platform(core::duration aBudget = 20s)
    : mService("127.0.0.1:0", 7)
  {
    BOOST_REQUIRE(!mService.Start());
    mSettings.mUrl = "http://127.0.0.1:" + std::to_string(mService.Port());
    mSettings.mDeadline = 10s;
    mSettings.mBudget = aBudget;
    mSettings.mFirstPause = 1ms;
    mSettings.mMaxPause = 10ms;
    mClient = std::make_unique<io::platform_client>(mSettings);
  }

  io::write_result Write(const std::string& aValue,
                         std::optional<io::row_version> aExpected)
  {
    return mClient->WriteRow(kTable, kKey, aValue, aExpected);
  }

  io::table_row Row()
  {
    const auto result = mClient->ReadRow(kTable, kKey);
    BOOST_REQUIRE(std::holds_alternative<io::table_row>(result));
    return std::get<io::table_row>(result);
  }

  platform::service mService;
  io::platform_settings mSettings;
  std::unique_ptr<io::platform_client> mClient;
};

template<typename Wanted, typename Result>
bool
Is(const Result& aResult)
{
  return std::holds_alternative<Wanted>(aResult);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_client)

BOOST_AUTO_TEST_CASE(rows_are_written_read_listed_and_deleted)
{
  test_platform platform;
  auto& client = *platform.mClient;
  BOOST_TEST(Is<io::not_found>(client.ReadRow(kTable, kKey)));
  const auto written = platform.Write("a\nb \"q\"", io::kAbsent);
  BOOST_REQUIRE(Is<io::row_written>(written));
  BOOST_TEST(std::get<io::row_written>(written).mVersion == 1U);
  BOOST_TEST(platform.Row().mValue == "a\nb \"q\"");
  BOOST_TEST(Is<io::row_written>(client.WriteRow(kTable, "other", "x", {})));
  const auto rows = client.ListRows(kTable);
  BOOST_REQUIRE(Is<std::vector<io::table_row>>(rows));
  BOOST_TEST(std::get<0>(rows).size() == 2U);
  BOOST_TEST(Is<io::write_conflict>(client.DeleteRow(kTable, kKey, 5)));
  BOOST_TEST(Is<io::row_deleted>(client.DeleteRow(kTable, kKey, 1)));
  BOOST_TEST(Is<io::row_deleted>(client.DeleteRow(kTable, kKey)));
  BOOST_TEST(Is<io::not_found>(client.ReadRow(kTable, kKey)));
  BOOST_TEST(Is<core::error>(platform.Write("\xff", {})));
}

BOOST_AUTO_TEST_CASE(objects_are_stored_as_they_are)
{
  test_platform platform;
  const std::string bytes("a\0\xff", 3);
  BOOST_TEST(Is<io::not_found>(platform.mClient->GetObject("x/y")));
  BOOST_TEST(Is<io::object_stored>(platform.mClient->PutObject("x/y", bytes)));
  const auto result = platform.mClient->GetObject("x/y");
  BOOST_REQUIRE(Is<std::string>(result));
  BOOST_TEST((std::get<std::string>(result) == bytes));
}

BOOST_AUTO_TEST_CASE(of_racing_writers_one_wins_and_is_named)
{
  constexpr int kWriters = 4;
  test_platform platform;
  std::vector<std::future<io::write_result>> results;
  results.reserve(kWriters);
  for (int i = 0; i < kWriters; ++i) {
    results.push_back(std::async(std::launch::async, [&platform, i] {
      return platform.Write("writer " + std::to_string(i), io::kAbsent);
    }));
  }
  int winners = 0;
  std::vector<std::string> named;
  for (auto& future : results) {
    const auto result = future.get();
    if (Is<io::row_written>(result)) {
      ++winners;
    } else {
      BOOST_REQUIRE(Is<io::write_conflict>(result));
      named.push_back(std::get<io::write_conflict>(result).mCurrent->mValue);
    }
  }
  BOOST_TEST(winners == 1);
  for (const auto& name : named) {
    BOOST_TEST(name == platform.Row().mValue);
  }
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_back)
{
  test_platform platform;
  platform.mService.SetFaults({ .mLoseAnswers = 1 });
  const auto first = platform.Write("first", io::kAbsent);
  BOOST_REQUIRE(Is<io::row_written>(first));
  BOOST_TEST(std::get<io::row_written>(first).mVersion == 1U);
  BOOST_TEST(Is<io::row_written>(platform.Write("second", 1)));
  // One sending each: the read settled it.
  BOOST_TEST(platform.mService.WriteCount() == 2U);
  BOOST_TEST(platform.Row().mVersion == 2U);
}

BOOST_AUTO_TEST_CASE(a_lost_refusal_is_a_conflict)
{
  test_platform platform;
  BOOST_REQUIRE(Is<io::row_written>(platform.Write("theirs", io::kAbsent)));
  platform.mService.SetFaults({ .mLoseAnswers = 1 });
  const auto result = platform.Write("ours", io::kAbsent);
  BOOST_REQUIRE(Is<io::write_conflict>(result));
  BOOST_TEST(std::get<io::write_conflict>(result).mCurrent->mValue == "theirs");
  BOOST_TEST(platform.Row().mVersion == 1U);
}

BOOST_AUTO_TEST_CASE(racing_writers_agree_while_answers_are_lost)
{
  constexpr int kWriters = 4;
  constexpr io::row_version kRounds = 10;
  test_platform platform(60s);
  platform.mService.SetFaults({ .mLoseAnswers = 0.4, .mReset = 0.3 });
  for (io::row_version version = 0; version < kRounds; ++version) {
    std::vector<std::future<io::write_result>> results;
    results.reserve(kWriters);
    for (int i = 0; i < kWriters; ++i) {
      results.push_back(std::async(std::launch::async, [&platform, i, version] {
        return platform.Write(std::to_string(i), version);
      }));
    }
    int winner = -1;
    for (int i = 0; i < kWriters; ++i) {
      const auto result = results[i].get();
      if (Is<io::row_written>(result)) {
        BOOST_TEST(winner == -1);
        winner = i;
      } else {
        BOOST_TEST(Is<io::write_conflict>(result));
      }
    }
    const auto row = platform.Row();
    BOOST_TEST(row.mVersion == version + 1);
    BOOST_TEST(row.mValue == std::to_string(winner));
  }
}

BOOST_AUTO_TEST_CASE(an_outage_is_waited_out_within_the_budget)
{
  test_platform platform(60s);
  platform.mService.SetFaults({ .mDown = true });
  auto result = std::async(std::launch::async,
                           [&] { return platform.Write("v", io::kAbsent); });
  while (platform.mService.WriteCount() + platform.mService.ReadCount() < 3) {
    std::this_thread::sleep_for(1ms);
  }
  platform.mService.SetFaults({});
  BOOST_TEST(Is<io::row_written>(result.get()));
  BOOST_TEST(platform.Row().mVersion == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_that_cannot_be_read_back_is_unsettled)
{
  test_platform platform(200ms);
  platform.mService.SetFaults({ .mDown = true });
  const auto result = platform.Write("v", io::kAbsent);
  BOOST_REQUIRE(Is<core::error>(result));
  BOOST_TEST(std::get<core::error>(result).mReason.starts_with(io::kUnsettled));
  BOOST_TEST(Is<core::error>(platform.mClient->ListRows(kTable)));
}

BOOST_AUTO_TEST_CASE(a_write_that_was_never_sent_is_a_plain_failure)
{
  test_platform platform(200ms);
  platform.mService.Stop();
  const auto result = platform.Write("v", io::kAbsent);
  BOOST_REQUIRE(Is<core::error>(result));
  BOOST_TEST(
    !std::get<core::error>(result).mReason.starts_with(io::kUnsettled));
}

BOOST_AUTO_TEST_CASE(a_stop_ends_retries)
{
  test_platform platform(10min);
  platform.mService.SetFaults({ .mDown = true });
  platform.mClient->Stop();
  BOOST_TEST(Is<core::error>(platform.mClient->ReadRow(kTable, kKey)));
}

BOOST_AUTO_TEST_CASE(faults_are_set_over_http)
{
  test_platform platform;
  io::http_client client;
  io::http_call call;
  call.mMethod = "PUT";
  call.mUrl = platform.mSettings.mUrl + "/v1/faults";
  call.mBody = R"({"down":true,"delay_ms":1,"lose_answers":0.5})";
  call.mDeadline = 20s;
  const auto result = client.Send(call);
  BOOST_REQUIRE(Is<io::http_reply>(result));
  BOOST_TEST(std::get<io::http_reply>(result).mBody ==
             R"({"delay_ms":1,"down":true,"lose_answers":0.5,"reads":0,)"
             R"("reset":0.0,"writes":0})");
}

BOOST_AUTO_TEST_SUITE_END()
