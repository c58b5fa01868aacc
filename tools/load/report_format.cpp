#include "load/report.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace gooseberry::tools::load {

using nlohmann::json;

namespace {

constexpr int kNameWidth = 36;
constexpr int kNumberWidth = 10;

json
ToJson(const percentiles& aValues)
{
  return { { "count", aValues.mCount },
           { "p50", aValues.mP50 },
           { "p95", aValues.mP95 },
           { "p99", aValues.mP99 },
           { "max", aValues.mMax } };
}

void
WriteRow(std::ostream& aOut, const std::string& aName, const percentiles& aRow)
{
  aOut << std::left << std::setw(kNameWidth) << aName << std::right
       << std::setw(kNumberWidth) << aRow.mCount;
  for (const double value : { aRow.mP50, aRow.mP95, aRow.mP99, aRow.mMax }) {
    aOut << std::setw(kNumberWidth) << value;
  }
  aOut << "\n";
}

void
WriteLine(std::ostream& aOut, const std::string& aName, double aValue)
{
  aOut << std::left << std::setw(kNameWidth) << aName << std::right
       << std::setw(kNumberWidth) << aValue << "\n";
}

void
WriteResponses(std::ostream& aOut, const report& aReport)
{
  aOut << std::left << std::setw(kNameWidth) << "response over ideal"
       << std::right;
  for (const char* column : { "jobs", "p50", "p95", "p99", "max" }) {
    aOut << std::setw(kNumberWidth) << column;
  }
  aOut << "\n";
  for (const auto& [kind, summary] : aReport.mResponses) {
    WriteRow(aOut, "  " + kind, summary.mOverIdeal);
  }
  aOut << "response, ms\n";
  for (const auto& [kind, summary] : aReport.mResponses) {
    WriteRow(aOut, "  " + kind, summary.mMilliseconds);
  }
  if (aReport.mOverheadMs.mCount > 0) {
    WriteRow(aOut, "over the run time, one task, ms", aReport.mOverheadMs);
  }
  if (aReport.mRefusalMs.mCount > 0) {
    WriteRow(aOut, "refusals, ms", aReport.mRefusalMs);
  }
}

void
WriteFindings(std::ostream& aOut, const report& aReport)
{
  aOut << "checks, from " << aReport.mRecords << " records of the targets"
       << (aReport.mChecked ? "" : ": NOT CHECKED, no --records") << "\n";
  for (const finding& found : aReport.mFindings) {
    WriteLine(aOut,
              "  " + std::string(kCheckNames.NameOf(found.mCheck)),
              static_cast<double>(found.mCount));
    for (const std::string& example : found.mExamples) {
      aOut << "      " << example << "\n";
    }
  }
}

} // namespace

std::string
FormatText(const report& aReport)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(3);
  WriteLine(out, "jobs", static_cast<double>(aReport.mJobs));
  WriteLine(out, "submissions", static_cast<double>(aReport.mSubmissions));
  WriteLine(out, "tasks", static_cast<double>(aReport.mTasks));
  WriteLine(out, "offered, share of slots", aReport.mOfferedShare);
  WriteLine(out, "goodput, share of slots", aReport.mGoodputShare);
  WriteLine(out, "starts per second", aReport.mStartsPerSecond);
  WriteResponses(out, aReport);
  out << "outcomes\n";
  for (const auto& [outcome, count] : aReport.mOutcomes) {
    WriteLine(out, "  " + outcome, static_cast<double>(count));
  }
  if (!aReport.mMessages.empty()) {
    out << "messages\n";
  }
  for (const auto& [type, count] : aReport.mMessages) {
    WriteLine(out, "  " + type, count);
  }
  WriteFindings(out, aReport);
  out << (aReport.mPassed ? "PASSED" : "FAILED") << "\n";
  return out.str();
}

std::string
FormatJson(const report& aReport)
{
  json responses = json::object();
  for (const auto& [kind, summary] : aReport.mResponses) {
    responses[kind] = { { "over_ideal", ToJson(summary.mOverIdeal) },
                        { "ms", ToJson(summary.mMilliseconds) } };
  }
  json findings = json::array();
  for (const finding& found : aReport.mFindings) {
    findings.push_back({ { "check", kCheckNames.NameOf(found.mCheck) },
                         { "count", found.mCount },
                         { "examples", found.mExamples } });
  }
  const arrival_settings& arrivals = aReport.mSettings.mArrivals;
  return json{
    { "mix", kMixNames.NameOf(arrivals.mMix) },
    { "seed", arrivals.mSeed },
    { "seconds", arrivals.mSeconds },
    { "warm_up_seconds", aReport.mSettings.mWarmUpSeconds },
    { "slots", aReport.mSettings.mSlots },
    { "round_trips_us", aReport.mSettings.mRoundTrips.count() },
    { "jobs", aReport.mJobs },
    { "tasks", aReport.mTasks },
    { "submissions", aReport.mSubmissions },
    { "offered_share", aReport.mOfferedShare },
    { "goodput_share", aReport.mGoodputShare },
    { "starts_per_second", aReport.mStartsPerSecond },
    { "responses", responses },
    { "outcomes", aReport.mOutcomes },
    { "overhead_ms", ToJson(aReport.mOverheadMs) },
    { "refusals_ms", ToJson(aReport.mRefusalMs) },
    { "work_per_second", aReport.mWorkPerSecond },
    { "reference_per_second", aReport.mReferencePerSecond },
    { "offered_per_second", aReport.mOfferedPerSecond },
    { "messages", aReport.mMessages },
    { "findings", findings },
    { "records", aReport.mRecords },
    { "checked", aReport.mChecked },
    { "passed", aReport.mPassed }
  }.dump(1);
}

} // namespace gooseberry::tools::load
