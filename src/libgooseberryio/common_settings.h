#pragma once

#include "libgooseberryio/log.h"
#include "libgooseberryio/platform_client.h"
#include "libgooseberryio/setting_kinds.h"

#include <array>

/** The rows that the tables of all programs share. */
namespace gooseberry::io {

/** Bounds of any deadline or period, in milliseconds. */
inline constexpr number_range kPeriodMs{ 1, 60'000 };
/** Longest time that a job is remembered, in milliseconds. */
inline constexpr number_range kWindowMs{ 1'000, 3'600'000 };

/** Bounds of a request's body, and of all of them. */
inline constexpr number_range kBodyBytes{ 1'024, 1'073'741'824 };
/** Bounds of the time in which a request arrives, in milliseconds. */
inline constexpr number_range kBodyTimeoutMs{ 100, 600'000 };

/** A text of which `-` stands for nothing. */
inline std::string
OrNothing(const setting_value& aValue)
{
  return aValue.mText == "-" ? std::string() : aValue.mText;
}

/** Rows of `[platform]`, stored in `mPlatform`. */
template<typename Settings>
constexpr std::array<setting_rule<Settings>, 3>
PlatformRules()
{
  return { {
    { AddressSetting("platform", "address", "Table service and object store"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mPlatform.mUrl = "http://" + aValue.mText;
      } },
    { MillisecondsSetting(
        "platform", "deadline_ms", "500", kPeriodMs, "Deadline of a request"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mPlatform.mDeadline = ToDuration(aValue);
      } },
    { MillisecondsSetting("platform",
                          "budget_ms",
                          "3000",
                          kPeriodMs,
                          "Longest time of an operation with its retries"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mPlatform.mBudget = ToDuration(aValue);
      } },
  } };
}

/** Rows of `[log]`, stored in `mLog` and `mLogDecisions`. */
template<typename Settings>
constexpr std::array<setting_rule<Settings>, 3>
LogRules()
{
  return { {
    { ChoiceSetting("log",
                    "level",
                    "info",
                    "debug|info|warning|error|off",
                    "Least level that is written"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mLog.mLevel =
          kLogLevelNames.ValueOf(aValue.mText).value_or(log_level::Info);
      } },
    { TextSetting("log", "file", "-", "Appended to; `-` is standard output"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mLog.mFile = OrNothing(aValue);
      } },
    { SwitchSetting("log",
                    "decisions",
                    "on",
                    "A line for each routing or placement decision"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mLogDecisions = aValue.mNumber != 0;
      } },
  } };
}

/** Rows of `[adapter]`, stored in `mAdapter`; `-` stands for nothing. */
template<typename Settings>
constexpr std::array<setting_rule<Settings>, 5>
AdapterRules()
{
  return { {
    { TextSetting("adapter", "caller_address", "-", "Listens for callers"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mAdapter.mCallerAddress = OrNothing(aValue);
      } },
    { TextSetting("adapter", "ready_address", "-", "Answers a balancer"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mAdapter.mReadyAddress = OrNothing(aValue);
      } },
    { TextSetting("adapter", "target_address", "-", "Targets register here"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mAdapter.mTargetAddress = OrNothing(aValue);
      } },
    { TextSetting("adapter", "failure_domains", "-", "All of the platform"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mAdapter.mDomains = OrNothing(aValue);
      } },
    { NameSetting("adapter", "region", "-", "Region of these domains"),
      [](const setting_value& aValue, Settings& aSettings) {
        aSettings.mAdapter.mRegion = OrNothing(aValue);
      } },
  } };
}

/** The rules of several tables as one table. */
template<typename Settings, std::size_t... Counts>
std::vector<setting_rule<Settings>>
JoinRules(const std::array<setting_rule<Settings>, Counts>&... aTables)
{
  std::vector<setting_rule<Settings>> rules;
  (rules.insert(rules.end(), aTables.begin(), aTables.end()), ...);
  return rules;
}

} // namespace gooseberry::io
