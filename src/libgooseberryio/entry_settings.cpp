#include "libgooseberryio/entry_settings.h"

#include "libgooseberryio/common_settings.h"

namespace gooseberry::io {

namespace {

using rule = setting_rule<entry_settings>;

constexpr double kPercent = 100.0;

constexpr std::array<rule, 5> kEntryRules{ {
  { NameSetting("entry", "name", "", "Name of this entry, its own"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mName = aValue.mText;
    } },
  { AddressSetting("entry", "http_address", "Listens for callers, operators"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mHttpAddress = aValue.mText;
    } },
  { AddressSetting("entry", "peer_address", "Listens for agents and entries"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mPeerAddress = aValue.mText;
    } },
  { NameSetting("entry", "failure_domain", "", "Where this entry runs"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mFailureDomain = aValue.mText;
    } },
  { DecimalSetting("entry",
                   "processor",
                   "cores",
                   "0",
                   { 0, 1'024 },
                   "Processor time that it may use; 0: not known"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mMillicores = ToCount(aValue);
    } },
} };

constexpr std::array<rule, 9> kLimitRules{ {
  { NumberSetting("limits",
                  "max_tasks",
                  "tasks",
                  "870",
                  { 1, 100'000 },
                  "Of one job"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mMaxTasks = ToCount(aValue);
    } },
  { NumberSetting("limits",
                  "max_body_bytes",
                  "bytes",
                  "16777216",
                  kBodyBytes,
                  "Of one request"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mMaxBodyBytes = aValue.mNumber;
    } },
  { NumberSetting("limits",
                  "max_buffered_bytes",
                  "bytes",
                  "16777216",
                  kBodyBytes,
                  "Of all requests in arrival, at all addresses"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mMaxBufferedBytes = aValue.mNumber;
    } },
  { MillisecondsSetting("limits",
                        "body_timeout_ms",
                        "10000",
                        kBodyTimeoutMs,
                        "A request not whole by then is given up"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mBodyTimeout = ToDuration(aValue);
    } },
  { NumberSetting("limits",
                  "max_payload_bytes",
                  "bytes",
                  "1048576",
                  { 1, kBodyBytes.mMax },
                  "Of one task"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mMaxPayloadBytes = aValue.mNumber;
    } },
  { MillisecondsSetting("limits",
                        "max_queue_wait_ms",
                        "2000",
                        kPeriodMs,
                        "Jobs that would wait longer are refused"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mMaxQueueWait = ToDuration(aValue);
    } },
  { NumberSetting("limits",
                  "max_callers",
                  "connections",
                  "256",
                  { 1, 10'000 },
                  "Callers that are served at once"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mMaxCallers = ToCount(aValue);
    } },
  { MillisecondsSetting("limits",
                        "default_deadline_ms",
                        "30000",
                        { 1, 3'600'000 },
                        "Of a job that names none"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mDefaultDeadline = ToDuration(aValue);
    } },
  { MillisecondsSetting("limits",
                        "max_deadline_ms",
                        "60000",
                        { 1, 3'600'000 },
                        "Longest deadline that a job may name"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mLimits.mMaxDeadline = ToDuration(aValue);
    } },
} };

constexpr std::array<rule, 8> kProtocolRules{ {
  { SwitchSetting("protocol",
                  "trust_first_attempt",
                  "true",
                  "Attempt 1 starts without asking other entries"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mTrustFirstAttempt = aValue.mNumber != 0;
    } },
  { MillisecondsSetting("protocol",
                        "deduplication_window_ms",
                        "120000",
                        kWindowMs,
                        "How long a job is remembered; same everywhere"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mDeduplicationWindow = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "freshness_bound_ms",
                        "2000",
                        kPeriodMs,
                        "Out of touch for longer: no dispatch"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mFreshnessBound = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "peer_deadline_ms",
                        "300",
                        kPeriodMs,
                        "Deadline of a call to an agent or entry"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mPeerDeadline = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "heartbeat_ms",
                        "500",
                        kPeriodMs,
                        "Time between two heartbeats"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mHeartbeat = ToDuration(aValue);
    } },
  { SwitchSetting("protocol",
                  "leased_runs",
                  "false",
                  "Targets run tasks under leases; same everywhere"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mLeasedRuns = aValue.mNumber != 0;
    } },
  { MillisecondsSetting("protocol",
                        "agent_lost_ms",
                        "10000",
                        kPeriodMs,
                        "What runs on an agent silent for longer is lost"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mAgentLost = ToDuration(aValue);
    } },
  { MillisecondsSetting("protocol",
                        "members_ms",
                        "1000",
                        kPeriodMs,
                        "Time between two reads of the member rows"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mProtocol.mMembersPeriod = ToDuration(aValue);
    } },
} };

constexpr std::array<rule, 6> kPolicyRules{ {
  { ChoiceSetting("policy",
                  "placement",
                  "expected_finish",
                  "expected_finish|random",
                  "How a target is chosen"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mPlacement.mPolicy =
        target::kPlacementPolicyNames.ValueOf(aValue.mText)
          .value_or(target::placement_policy::ExpectedFinish);
    } },
  { ChoiceSetting("policy",
                  "order",
                  "least_remaining",
                  "least_remaining|fifo|objective",
                  "Which job gets a free slot"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mOrder = job::kOrderPolicyNames.ValueOf(aValue.mText)
                           .value_or(job::order_policy::LeastRemaining);
    } },
  { NumberSetting("policy",
                  "prefetch",
                  "tasks",
                  "0",
                  { 0, 1'000 },
                  "Tasks that may wait at one target beyond its slots"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mPlacement.mPrefetch = ToCount(aValue);
    } },
  { NumberSetting("policy",
                  "eject_after_failures",
                  "failures",
                  "3",
                  { 1, 1'000 },
                  "Failures in a row after which a target is ejected"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mPlacement.mEjectAfterFailures = ToCount(aValue);
    } },
  { MillisecondsSetting("policy",
                        "ramp_ms",
                        "2000",
                        { 0, kPeriodMs.mMax },
                        "Time over which a returning target takes full load"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mPlacement.mRampTime = ToDuration(aValue);
    } },
  { NumberSetting("policy",
                  "retry_budget_percent",
                  "%",
                  "10",
                  { 0, 100 },
                  "Retries for each hundred starts"),
    [](const setting_value& aValue, entry_settings& aSettings) {
      aSettings.mRetryShare = static_cast<double>(aValue.mNumber) / kPercent;
    } },
} };

constexpr std::array<setting_order, 5> kOrders{ {
  { "limits", "max_payload_bytes", "limits", "max_body_bytes" },
  { "limits", "max_body_bytes", "limits", "max_buffered_bytes" },
  { "limits", "default_deadline_ms", "limits", "max_deadline_ms" },
  { "protocol", "heartbeat_ms", "protocol", "freshness_bound_ms" },
  { "protocol", "freshness_bound_ms", "protocol", "deduplication_window_ms" },
} };

std::vector<rule>
Rules()
{
  return JoinRules<entry_settings>(kEntryRules,
                                   PlatformRules<entry_settings>(),
                                   kLimitRules,
                                   kProtocolRules,
                                   kPolicyRules,
                                   LogRules<entry_settings>(),
                                   AdapterRules<entry_settings>());
}

} // namespace

core::result<entry_settings>
ParseEntrySettings(std::string_view aText, std::string_view aFileName)
{
  const auto rules = Rules();
  return ReadInto<entry_settings>(aText, aFileName, rules, kOrders);
}

std::string
EntrySettingsReference()
{
  const auto rules = Rules();
  return FormatReference(TableOf<entry_settings>(rules));
}

} // namespace gooseberry::io
