#include "common/http_call.h"
#include "load/report.h"

#include <curl/curl.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace gooseberry;
using namespace gooseberry::tools;
using namespace gooseberry::tools::load;

namespace {

constexpr int kExitChecksFailed = 1;
constexpr int kExitNoData = 3;

[[noreturn]] void
GiveUp(const core::error& aError)
{
  std::cerr << "gooseberry-load: " << core::ToString(aError) << std::endl;
  std::exit(kExitNoData);
}

std::vector<common::run_record>
FetchRecords(const std::vector<std::string>& aUrls)
{
  std::vector<common::run_record> all;
  for (const std::string& url : aUrls) {
    const auto answer =
      common::Call({ "GET", url, "", std::chrono::seconds(10) });
    if (const auto* failure = std::get_if<core::error>(&answer)) {
      GiveUp(*failure);
    }
    auto records =
      common::ParseRecords(std::get<common::http_answer>(answer).mBody, url);
    if (const auto* failure = std::get_if<core::error>(&records)) {
      GiveUp(*failure);
    }
    auto& parsed = std::get<std::vector<common::run_record>>(records);
    all.insert(all.end(), parsed.begin(), parsed.end());
  }
  return all;
}

timeline
ReadTimeline(const std::string& aFile)
{
  if (aFile.empty()) {
    return {};
  }
  std::ostringstream text;
  text << std::ifstream(aFile).rdbuf();
  auto read = ParseTimeline(text.str(), aFile);
  if (const auto* failure = std::get_if<core::error>(&read)) {
    GiveUp(*failure);
  }
  return std::get<timeline>(std::move(read));
}

/** Messages since `aBefore`; a restarted process may count less. */
counts_by_label
Since(counts_by_label aNow, const counts_by_label& aBefore)
{
  for (const auto& [type, count] : aBefore) {
    aNow[type] -= count;
  }
  return aNow;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const settings line = ParseCommandLine(aCount, aWords);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const auto jobs = PlanJobs(line.mArrivals);
  const auto before = FetchMessages(line.mMetricsUrls);
  const load_result result = SendJobs(jobs, line.mClient);
  auto messages = Since(FetchMessages(line.mMetricsUrls), before);
  const auto records = FetchRecords(line.mRecordUrls);
  const timeline times = ReadTimeline(line.mTimelineFile);
  const report made =
    MakeReport({ line, jobs, result, records, times, std::move(messages) });
  std::cout << FormatText(made);
  if (!line.mJsonFile.empty()) {
    std::ofstream(line.mJsonFile) << FormatJson(made) << "\n";
  }
  return made.mPassed || !made.mChecked ? 0 : kExitChecksFailed;
}
