#include "libgooseberryio/agent_settings.h"

#include "libgooseberryio/common_settings.h"

namespace gooseberry::io {

namespace {

using rule = setting_rule<agent_settings>;

constexpr number_range kResultBytes{ 65'536, 1'073'741'824 };

constexpr std::array<rule, 5> kAgentRules{ {
  { NameSetting("agent", "name", "", "Name of this agent, its own"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mName = aValue.mText;
    } },
  { AddressSetting("agent", "peer_address", "Listens for entries and agents"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mPeerAddress = aValue.mText;
    } },
  { AddressSetting("agent", "http_address", "Targets announce themselves here"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mHttpAddress = aValue.mText;
    } },
  { NameSetting("agent", "failure_domain", "", "Where this agent runs"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mFailureDomain = aValue.mText;
    } },
  { NameSetting("agent", "rack", "-", "Rack of the worker; `-` where unknown"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mRack = aValue.mText == "-" ? "" : aValue.mText;
    } },
} };

constexpr std::array<rule, 7> kProtocolRules{ {
  { MillisecondsSetting("protocol",
                        "freshness_bound_ms",
                        "2000",
                        kPeriodMs,
                        "Out of touch for longer: no start"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mProtocol.mFreshnessBound = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "peer_deadline_ms",
                        "300",
                        kPeriodMs,
                        "Deadline of a call to an entry or agent"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mProtocol.mPeerDeadline = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "announce_ms",
                        "500",
                        kPeriodMs,
                        "Time between two announces to an entry"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mProtocol.mAnnounce = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "deduplication_window_ms",
                        "120000",
                        kWindowMs,
                        "How long a job is remembered; same everywhere"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mProtocol.mDeduplicationWindow = ToDuration(aValue);
    } },
  { SwitchSetting("protocol",
                  "leased_runs",
                  "false",
                  "Targets run tasks under leases; same everywhere"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mProtocol.mLeasedRuns = aValue.mNumber != 0;
    } },
  { MillisecondsSetting("protocol",
                        "lease_ms",
                        "1000",
                        kPeriodMs,
                        "Longest lease that a target grants"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mProtocol.mLease = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "resubmit_ms",
                        "1300",
                        kPeriodMs,
                        "A job may run elsewhere after it; no run lasts so long"
                        " unwanted"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mProtocol.mResubmit = ToDuration(aValue);
    } },
} };

constexpr std::array<rule, 8> kLimitRules{ {
  { NumberSetting("limits",
                  "max_targets",
                  "targets",
                  "256",
                  { 1, 10'000 },
                  "Targets that may announce themselves"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mMaxTargets = ToCount(aValue);
    } },
  { NumberSetting("limits",
                  "queue_per_target",
                  "tasks",
                  "8",
                  { 0, 10'000 },
                  "Tasks that may wait at a target beyond its slots"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mQueuePerTarget = ToCount(aValue);
    } },
  { NumberSetting("limits",
                  "result_bytes",
                  "bytes",
                  "8388608",
                  kResultBytes,
                  "Results that are kept; the oldest make room"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mResultBytes = aValue.mNumber;
    } },
  { NumberSetting("limits",
                  "max_answer_bytes",
                  "bytes",
                  "4194304",
                  { 1, kResultBytes.mMax },
                  "Longest answer of a target"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mMaxAnswerBytes = aValue.mNumber;
    } },
  { NumberSetting("limits",
                  "max_body_bytes",
                  "bytes",
                  "16777216",
                  kBodyBytes,
                  "Of one request"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mMaxBodyBytes = aValue.mNumber;
    } },
  { NumberSetting("limits",
                  "max_buffered_bytes",
                  "bytes",
                  "16777216",
                  kBodyBytes,
                  "Of all requests in arrival, at all addresses"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mMaxBufferedBytes = aValue.mNumber;
    } },
  { MillisecondsSetting("limits",
                        "body_timeout_ms",
                        "10000",
                        kBodyTimeoutMs,
                        "A request not whole by then is given up"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mBodyTimeout = ToDuration(aValue);
    } },
  { MillisecondsSetting("limits",
                        "target_lease_ms",
                        "3000",
                        { 100, 600'000 },
                        "A target not heard for longer is gone"),
    [](const setting_value& aValue, agent_settings& aSettings) {
      aSettings.mLimits.mTargetLease = ToDuration(aValue);
    } },
} };

constexpr std::array<setting_order, 4> kOrders{ {
  { "limits", "max_answer_bytes", "limits", "result_bytes" },
  { "limits", "max_body_bytes", "limits", "max_buffered_bytes" },
  { "protocol", "announce_ms", "protocol", "freshness_bound_ms" },
  { "protocol", "freshness_bound_ms", "protocol", "deduplication_window_ms" },
} };

std::vector<rule>
Rules()
{
  return JoinRules<agent_settings>(kAgentRules,
                                   PlatformRules<agent_settings>(),
                                   kProtocolRules,
                                   kLimitRules,
                                   LogRules<agent_settings>(),
                                   AdapterRules<agent_settings>());
}

} // namespace

core::result<agent_settings>
ParseAgentSettings(std::string_view aText, std::string_view aFileName)
{
  const auto rules = Rules();
  return ReadInto<agent_settings>(aText, aFileName, rules, kOrders);
}

std::string
AgentSettingsReference()
{
  const auto rules = Rules();
  return FormatReference(TableOf<agent_settings>(rules));
}

} // namespace gooseberry::io
