#include "libgooseberry/configuration/desired_state.h"

#include "libgooseberry/configuration/ini_document.h"
#include "libgooseberry/configuration/key_rule.h"
#include "libgooseberry/configuration/section_text.h"
#include "libgooseberry/configuration/text_coding.h"
#include "libgooseberry/configuration/value.h"

#include <algorithm>
#include <array>
#include <set>

namespace gooseberry::configuration {

namespace {

constexpr std::string_view kStateKind = "state";
constexpr std::string_view kDomainKind = "failure_domain";
constexpr std::string_view kServiceKind = "service";
constexpr std::string_view kTeamKind = "team";
constexpr std::string_view kQueueKind = "queue";
constexpr std::string_view kDomainsKey = "failure_domains";

constexpr std::string_view kExpectedName =
  "a name of 1 to 64 characters of [A-Za-z0-9._-]";
constexpr std::string_view kExpectedText =
  "a name of [A-Za-z0-9._-] and %XX for all other bytes";

constexpr std::uint64_t kMaxTries = 10;
constexpr std::uint64_t kMaxTaskMs = 600'000;
constexpr std::uint64_t kMaxQuotaSlots = 1'000'000;
constexpr std::uint64_t kMaxPriority = 1'000;
constexpr std::uint64_t kMaxSlackPercent = 100'000;
/** `Format` wraps a list before this column. */
constexpr std::size_t kFormatColumns = 80;

bool
ReadNameTo(std::string_view aText, std::string& aName)
{
  aName = aText;
  return IsName(aText);
}

bool
ReadTextTo(std::string_view aText, std::string& aValue)
{
  const auto decoded = DecodeText(aText);
  aValue = decoded.value_or("");
  return decoded.has_value();
}

bool
ReadPathTo(std::string_view aText, std::string& aPath)
{
  const auto decoded = DecodePath(aText);
  aPath = decoded.value_or("");
  return aPath.starts_with('/');
}

/** Reads a list of distinct names that all pass the check. */
bool
ReadNamesTo(std::string_view aText,
            bool (*aIsValid)(std::string_view),
            std::vector<std::string>& aNames)
{
  aNames = SplitList(aText);
  const std::set<std::string> distinct(aNames.begin(), aNames.end());
  return !aNames.empty() && distinct.size() == aNames.size() &&
         std::all_of(aNames.begin(), aNames.end(), aIsValid);
}

bool
ReadNumberTo(std::string_view aText,
             std::uint64_t aMin,
             std::uint64_t aMax,
             std::uint32_t& aNumber)
{
  const auto number = ReadNumber(aText, aMin, aMax);
  aNumber = static_cast<std::uint32_t>(number.value_or(0));
  return number.has_value();
}

bool
ReadDomainState(std::string_view aText, failure_domain& aDomain)
{
  const auto state = kDomainStateNames.ValueOf(aText);
  aDomain.mState = state.value_or(domain_state::Out);
  return state.has_value();
}

bool
ReadMaxTaskTime(std::string_view aText, service& aService)
{
  const auto limit = ReadNumber(aText, 1, kMaxTaskMs);
  aService.mMaxTaskTime = std::chrono::milliseconds(limit.value_or(0));
  return limit.has_value();
}

const std::array<key_rule<desired_state>, 2> kStateKeys{ {
  { "format",
    true,
    "1, the version of the file's format",
    [](std::string_view aText, desired_state&) {
      return ReadNumber(aText, kFormatVersion, kFormatVersion).has_value();
    } },
  { "name",
    true,
    kExpectedName,
    [](std::string_view aText, desired_state& aState) {
      return ReadNameTo(aText, aState.mName);
    } },
} };

const std::array<key_rule<failure_domain>, 2> kDomainKeys{ {
  { "region",
    true,
    kExpectedName,
    [](std::string_view aText, failure_domain& aDomain) {
      return ReadNameTo(aText, aDomain.mRegion);
    } },
  { "state", true, "in or out", ReadDomainState },
} };

const std::array<key_rule<service>, 4> kServiceKeys{ {
  { "targets",
    true,
    "different names of [A-Za-z0-9._-] with commas between them, each with at "
    "most one *",
    [](std::string_view aText, service& aService) {
      return ReadNamesTo(aText, IsNamePattern, aService.mTargets);
    } },
  { kDomainsKey,
    false,
    "different names of failure domains with commas between them",
    [](std::string_view aText, service& aService) {
      return ReadNamesTo(aText, IsName, aService.mFailureDomains);
    } },
  { "max_tries",
    false,
    "a whole number from 1 to 10",
    [](std::string_view aText, service& aService) {
      return ReadNumberTo(aText, 1, kMaxTries, aService.mMaxTries);
    } },
  { "max_task_ms",
    false,
    "a whole number of milliseconds from 1 to 600000",
    ReadMaxTaskTime },
} };

const std::array<key_rule<team>, 1> kTeamKeys{ {
  { "quota_slots",
    true,
    "a whole number of slots from 0 (no limit) to 1000000",
    [](std::string_view aText, team& aTeam) {
      return ReadNumberTo(aText, 0, kMaxQuotaSlots, aTeam.mQuotaSlots);
    } },
} };

bool
ReadTimeTo(std::string_view aText, std::uint64_t aMin, core::duration& aTime)
{
  const auto time = ReadNumber(aText, aMin, kMaxTaskMs);
  aTime = std::chrono::milliseconds(time.value_or(0));
  return time.has_value();
}

const std::array<key_rule<queue>, 8> kQueueKeys{ {
  { "host",
    true,
    kExpectedText,
    [](std::string_view aText, queue& aQueue) {
      return ReadTextTo(aText, aQueue.mHost);
    } },
  { "path",
    true,
    "a path that begins with / and has %XX for all but [A-Za-z0-9._/-]",
    [](std::string_view aText, queue& aQueue) {
      return ReadPathTo(aText, aQueue.mPath);
    } },
  { "service",
    true,
    kExpectedText,
    [](std::string_view aText, queue& aQueue) {
      return ReadTextTo(aText, aQueue.mService);
    } },
  { "priority",
    false,
    "a whole number from 0 (first) to 1000",
    [](std::string_view aText, queue& aQueue) {
      return ReadNumberTo(aText, 0, kMaxPriority, aQueue.mPriority);
    } },
  { "max_tries",
    false,
    "a whole number from 1 to 10",
    [](std::string_view aText, queue& aQueue) {
      return ReadNumberTo(aText, 1, kMaxTries, aQueue.mMaxTries);
    } },
  { "timeout_ms",
    false,
    "a whole number of milliseconds from 1 to 600000",
    [](std::string_view aText, queue& aQueue) {
      return ReadTimeTo(aText, 1, aQueue.mTimeout);
    } },
  { "target_latency_ms",
    false,
    "a whole number of milliseconds from 0 to 600000",
    [](std::string_view aText, queue& aQueue) {
      return ReadTimeTo(aText, 0, aQueue.mTargetLatency);
    } },
  { "slack_percent",
    false,
    "a whole number of percent from 1 to 100000",
    [](std::string_view aText, queue& aQueue) {
      return ReadNumberTo(aText, 1, kMaxSlackPercent, aQueue.mSlackPercent);
    } },
} };

/** How the name in a section's heading is written. */
struct name_form
{
  std::string_view mExpected;
  bool (*mRead)(std::string_view aText, std::string& aName);
};
constexpr name_form kNameForm{ kExpectedName, ReadNameTo };
constexpr name_form kTextForm{ kExpectedText, ReadTextTo };

/** Reads a section whose heading has a name. */
template<typename Value, std::size_t Count>
std::optional<core::error>
ReadNamed(const ini_document& aDocument,
          const ini_section& aSection,
          const name_form& aForm,
          const std::array<key_rule<Value>, Count>& aRules,
          std::map<std::string, Value>& aValues)
{
  std::string name;
  if (!aForm.mRead(aSection.mName, name)) {
    return ErrorAt(aDocument,
                   aSection.mLine,
                   aSection,
                   "",
                   "expected " + std::string(aForm.mExpected) + " after " +
                     aSection.mKind);
  }
  return ReadKeys<Value>(aDocument, aSection, aRules, aValues[name]);
}

std::optional<core::error>
ReadSection(const ini_document& aDocument,
            const ini_section& aSection,
            desired_state& aState)
{
  if (aSection.mKind == kStateKind && aSection.mName.empty()) {
    return ReadKeys<desired_state>(aDocument, aSection, kStateKeys, aState);
  }
  if (aSection.mKind == kDomainKind) {
    return ReadNamed(
      aDocument, aSection, kNameForm, kDomainKeys, aState.mFailureDomains);
  }
  if (aSection.mKind == kServiceKind) {
    return ReadNamed(
      aDocument, aSection, kTextForm, kServiceKeys, aState.mServices);
  }
  if (aSection.mKind == kTeamKind) {
    return ReadNamed(aDocument, aSection, kNameForm, kTeamKeys, aState.mTeams);
  }
  if (aSection.mKind == kQueueKind) {
    return ReadNamed(
      aDocument, aSection, kTextForm, kQueueKeys, aState.mQueues);
  }
  return ErrorAt(aDocument,
                 aSection.mLine,
                 aSection,
                 "",
                 "unknown section, expected [state], [failure_domain NAME], "
                 "[service NAME], [team NAME] or [queue NAME]");
}

/**
 * Refuses failure domains that a service names and the file does not declare.
 */
std::optional<core::error>
CheckDomains(const ini_document& aDocument, const desired_state& aState)
{
  for (const auto& section : aDocument.mSections) {
    const auto* entry = FindEntry(section, kDomainsKey);
    if (entry == nullptr) {
      continue;
    }
    for (const auto& domain : SplitList(entry->mValue)) {
      if (!aState.mFailureDomains.contains(domain)) {
        return ErrorAt(aDocument,
                       entry->mLine,
                       section,
                       kDomainsKey,
                       "expected failure domains that the file declares, got " +
                         Quote(domain));
      }
    }
  }
  return std::nullopt;
}

/** Writes `key = value`; wraps a list over indented lines. */
std::string
FormatEntry(const key_text& aEntry)
{
  std::string text = aEntry.mKey + " =";
  std::size_t column = text.size();
  auto parts = SplitList(aEntry.mValue);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (i + 1 < parts.size()) {
      parts[i] += ',';
    }
    if (i > 0 && column + 1 + parts[i].size() > kFormatColumns) {
      text += "\n ";
      column = 1;
    }
    text += " " + parts[i];
    column += 1 + parts[i].size();
  }
  return text + "\n";
}

} // namespace

core::result<desired_state>
Parse(std::string_view aText, std::string_view aFileName)
{
  auto read = ReadIni(aText, aFileName);
  if (auto* problem = std::get_if<core::error>(&read)) {
    return std::move(*problem);
  }
  const auto& document = std::get<ini_document>(read);
  desired_state state;
  bool hasHeader = false;
  for (const auto& section : document.mSections) {
    if (auto problem = ReadSection(document, section, state)) {
      return std::move(*problem);
    }
    hasHeader = hasHeader || section.mKind == kStateKind;
  }
  if (!hasHeader) {
    ini_section missing;
    missing.mKind = kStateKind;
    return ErrorAt(document,
                   1,
                   missing,
                   kStateKeys.front().mKey,
                   "missing, expected a [state] section");
  }
  if (auto problem = CheckDomains(document, state)) {
    return std::move(*problem);
  }
  return state;
}

std::string
Format(const desired_state& aState)
{
  std::string text;
  for (const auto& section : ToSections(aState)) {
    text += text.empty() ? "" : "\n";
    text += "[" + section.mKind;
    text += section.mName.empty() ? "]\n" : " " + section.mName + "]\n";
    for (const auto& entry : section.mKeys) {
      text += FormatEntry(entry);
    }
  }
  return text;
}

} // namespace gooseberry::configuration
