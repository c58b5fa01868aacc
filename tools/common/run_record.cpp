#include "common/run_record.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace gooseberry::tools::common {

using nlohmann::json;

std::string
Format(const run_record& aRecord)
{
  return json{
    { "task", aRecord.mTask },
    { "try", aRecord.mTry },
    { "kind", aRecord.mKind },
    { "target", aRecord.mTarget },
    { "domain", aRecord.mFailureDomain },
    { "start_us", aRecord.mStartUs },
    { "end_us", aRecord.mEndUs },
    { "state", kRunStateNames.NameOf(aRecord.mState) },
    { "running", aRecord.mRunning }
  }.dump();
}

namespace {

run_record
FromJson(const json& aJson)
{
  run_record record;
  record.mTask = aJson.at("task").get<std::string>();
  record.mTry = aJson.at("try").get<std::uint32_t>();
  record.mKind = aJson.at("kind").get<std::string>();
  record.mTarget = aJson.at("target").get<std::string>();
  record.mFailureDomain = aJson.at("domain").get<std::string>();
  record.mStartUs = aJson.at("start_us").get<std::int64_t>();
  record.mEndUs = aJson.at("end_us").get<std::int64_t>();
  record.mRunning = aJson.at("running").get<std::uint32_t>();
  const auto state =
    kRunStateNames.ValueOf(aJson.at("state").get<std::string>());
  if (!state) {
    throw std::invalid_argument("unknown state");
  }
  record.mState = *state;
  return record;
}

} // namespace

core::result<std::vector<run_record>>
ParseRecords(std::string_view aLines, std::string_view aSource)
{
  std::vector<run_record> records;
  std::size_t line = 0;
  while (!aLines.empty()) {
    const std::size_t end = aLines.find('\n');
    const std::string_view text = aLines.substr(0, end);
    aLines = end == std::string_view::npos ? "" : aLines.substr(end + 1);
    ++line;
    if (text.empty()) {
      continue;
    }
    try {
      records.push_back(FromJson(json::parse(text)));
    } catch (const std::exception& failure) {
      return core::error{ "read records, line " + std::to_string(line),
                          std::string(aSource),
                          failure.what() };
    }
  }
  return records;
}

std::string_view
JobOf(std::string_view aTask)
{
  return aTask.substr(0, aTask.rfind(':'));
}

std::int64_t
WallClockUs()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace gooseberry::tools::common
