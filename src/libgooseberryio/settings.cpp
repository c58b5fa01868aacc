#include "libgooseberryio/settings.h"

#include "libgooseberry/configuration/ini_document.h"
#include "libgooseberry/configuration/value.h"
#include "libgooseberryio/address.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

namespace gooseberry::io {

namespace {

using configuration::ErrorAt;
using configuration::FindEntry;
using configuration::ini_document;
using configuration::ini_entry;
using configuration::ini_section;

struct switch_word
{
  std::string_view mWord;
  bool mIsOn;
};
constexpr std::array<switch_word, 4> kSwitchWords{
  { { "on", true }, { "off", false }, { "true", true }, { "false", false } }
};

/** Whether a choice names the word. */
bool
HasChoice(std::string_view aChoices, std::string_view aWord)
{
  while (!aChoices.empty()) {
    const auto end = aChoices.find('|');
    if (aChoices.substr(0, end) == aWord) {
      return true;
    }
    aChoices.remove_prefix(end == std::string_view::npos ? aChoices.size()
                                                         : end + 1);
  }
  return false;
}

std::optional<std::uint64_t>
ReadSwitch(std::string_view aText)
{
  for (const auto& [word, isOn] : kSwitchWords) {
    if (word == aText) {
      return isOn ? 1 : 0;
    }
  }
  return std::nullopt;
}

/** The thousandths of a decimal; its bounds are whole numbers. */
std::optional<std::uint64_t>
ReadThousandths(std::string_view aText, std::uint64_t aMin, std::uint64_t aMax)
{
  constexpr double kThousandths = 1'000.0;
  double value = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, status] =
    std::from_chars(aText.data(), end, value, std::chars_format::fixed);
  if (status != std::errc() || rest != end ||
      !(value >= static_cast<double>(aMin) &&
        value <= static_cast<double>(aMax))) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(std::lround(value * kThousandths));
}

/** The value, or nothing where the text does not fit the setting. */
std::optional<setting_value>
ReadValue(const setting& aSetting, std::string_view aText)
{
  setting_value value{ std::string(aText), 0 };
  std::optional<std::uint64_t> number = 0;
  bool isValid = true;
  switch (aSetting.mType) {
    case setting_type::Text:
      isValid = !aText.empty();
      break;
    case setting_type::Name:
      isValid = configuration::IsName(aText);
      break;
    case setting_type::Number:
      number = configuration::ReadNumber(aText, aSetting.mMin, aSetting.mMax);
      break;
    case setting_type::Decimal:
      number = ReadThousandths(aText, aSetting.mMin, aSetting.mMax);
      break;
    case setting_type::Switch:
      number = ReadSwitch(aText);
      break;
    case setting_type::Choice:
      isValid = !aText.empty() && HasChoice(aSetting.mChoices, aText);
      break;
    case setting_type::Address:
      isValid = std::holds_alternative<ip_address>(ParseAddress(aText));
      break;
  }
  if (!isValid || !number) {
    return std::nullopt;
  }
  value.mNumber = *number;
  return value;
}

std::string
RangeOf(const setting& aSetting)
{
  return std::to_string(aSetting.mMin) + " to " + std::to_string(aSetting.mMax);
}

std::string
ChoicesOf(const setting& aSetting)
{
  std::string text(aSetting.mChoices);
  for (auto at = text.find('|'); at != std::string::npos; at = text.find('|')) {
    text.replace(at, 1, " or ");
  }
  return text;
}

/** Completes "a number". */
std::string
UnitAndRange(const setting& aSetting)
{
  return (aSetting.mUnit.empty() ? "" : " of " + std::string(aSetting.mUnit)) +
         " from " + RangeOf(aSetting);
}

/** Completes "expected ..." in errors. */
std::string
Expected(const setting& aSetting)
{
  switch (aSetting.mType) {
    case setting_type::Text:
      return "a text";
    case setting_type::Name:
      return "a name of 1 to 64 characters of [A-Za-z0-9._-]";
    case setting_type::Number:
      return "a whole number" + UnitAndRange(aSetting);
    case setting_type::Decimal:
      return "a number" + UnitAndRange(aSetting);
    case setting_type::Switch:
      return "on, off, true or false";
    case setting_type::Choice:
      return ChoicesOf(aSetting);
    case setting_type::Address:
      return "IP:PORT";
  }
  return {};
}

/** Where a key stands in the file; null where it does not. */
struct found_entry
{
  const ini_section* mSection = nullptr;
  const ini_entry* mEntry = nullptr;
};

found_entry
Find(const ini_document& aDocument,
     std::string_view aSection,
     std::string_view aKey)
{
  for (const auto& section : aDocument.mSections) {
    if (Title(section) == aSection) {
      return { &section, FindEntry(section, aKey) };
    }
  }
  return {};
}

/** Refuses sections and keys that the table lacks. */
std::optional<core::error>
CheckKnown(const ini_document& aDocument, std::span<const setting> aTable)
{
  for (const auto& section : aDocument.mSections) {
    const auto title = Title(section);
    const auto isHere = [&](const setting& aSetting) {
      return aSetting.mSection == title;
    };
    if (std::none_of(aTable.begin(), aTable.end(), isHere)) {
      return ErrorAt(aDocument, section.mLine, section, "", "unknown section");
    }
    for (const auto& entry : section.mEntries) {
      const auto isThis = [&](const setting& aSetting) {
        return isHere(aSetting) && aSetting.mKey == entry.mKey;
      };
      if (std::none_of(aTable.begin(), aTable.end(), isThis)) {
        return ErrorAt(
          aDocument, entry.mLine, section, entry.mKey, "unknown key");
      }
    }
  }
  return std::nullopt;
}

core::result<setting_value>
ReadOne(const ini_document& aDocument, const setting& aSetting)
{
  const auto [section, entry] =
    Find(aDocument, aSetting.mSection, aSetting.mKey);
  if (entry != nullptr) {
    if (auto value = ReadValue(aSetting, entry->mValue)) {
      return std::move(*value);
    }
    return ErrorAt(aDocument,
                   entry->mLine,
                   *section,
                   entry->mKey,
                   "expected " + Expected(aSetting) + ", got " +
                     configuration::Quote(entry->mValue));
  }
  if (auto value = ReadValue(aSetting, aSetting.mDefault)) {
    return std::move(*value);
  }
  ini_section missing;
  missing.mLine = 1;
  missing.mKind = aSetting.mSection;
  const auto& place = section == nullptr ? missing : *section;
  return ErrorAt(aDocument,
                 place.mLine,
                 place,
                 aSetting.mKey,
                 "missing, expected " + Expected(aSetting));
}

std::size_t
PositionOf(std::span<const setting> aTable,
           std::string_view aSection,
           std::string_view aKey)
{
  const auto found =
    std::find_if(aTable.begin(), aTable.end(), [&](const setting& aSetting) {
      return aSetting.mSection == aSection && aSetting.mKey == aKey;
    });
  return static_cast<std::size_t>(found - aTable.begin());
}

/** Refuses a number that exceeds the one that bounds it. */
std::optional<core::error>
CheckOrder(const ini_document& aDocument,
           std::span<const setting> aTable,
           const std::vector<setting_value>& aValues,
           const setting_order& aOrder)
{
  const auto lower = PositionOf(aTable, aOrder.mSection, aOrder.mKey);
  const auto upper = PositionOf(aTable, aOrder.mBoundSection, aOrder.mBoundKey);
  if (aValues.at(lower).mNumber <= aValues.at(upper).mNumber) {
    return std::nullopt;
  }
  auto place = Find(aDocument, aOrder.mSection, aOrder.mKey);
  auto relation = " at most [";
  auto other = upper;
  if (place.mEntry == nullptr) {
    place = Find(aDocument, aOrder.mBoundSection, aOrder.mBoundKey);
    relation = " at least [";
    other = lower;
  }
  std::string reason = std::string("expected") + relation;
  reason += std::string(aTable[other].mSection) + "] ";
  reason += std::string(aTable[other].mKey);
  reason += ", which is " + aValues[other].mText;
  return ErrorAt(aDocument,
                 place.mEntry->mLine,
                 *place.mSection,
                 place.mEntry->mKey,
                 reason);
}

std::string
AllowedText(const setting& aSetting)
{
  switch (aSetting.mType) {
    case setting_type::Number:
    case setting_type::Decimal:
      return RangeOf(aSetting);
    case setting_type::Switch:
      return "on, off";
    case setting_type::Choice:
      return ChoicesOf(aSetting);
    case setting_type::Text:
    case setting_type::Name:
    case setting_type::Address:
      break;
  }
  return std::string(kSettingTypeNames.NameOf(aSetting.mType));
}

} // namespace

core::result<std::vector<setting_value>>
ReadSettings(std::string_view aText,
             std::string_view aFileName,
             std::span<const setting> aTable,
             std::span<const setting_order> aOrders)
{
  auto read = configuration::ReadIni(aText, aFileName);
  if (auto* problem = std::get_if<core::error>(&read)) {
    return std::move(*problem);
  }
  const auto& document = std::get<ini_document>(read);
  if (auto problem = CheckKnown(document, aTable)) {
    return std::move(*problem);
  }
  std::vector<setting_value> values;
  for (const auto& setting : aTable) {
    auto value = ReadOne(document, setting);
    if (auto* problem = std::get_if<core::error>(&value)) {
      return std::move(*problem);
    }
    values.push_back(std::move(std::get<setting_value>(value)));
  }
  for (const auto& order : aOrders) {
    if (auto problem = CheckOrder(document, aTable, values, order)) {
      return std::move(*problem);
    }
  }
  return values;
}

std::string
FormatReference(std::span<const setting> aTable)
{
  std::string text = "| Section | Key | Unit | Default | Allowed | Meaning |\n"
                     "|---|---|---|---|---|---|\n";
  for (const auto& setting : aTable) {
    text += "| " + std::string(setting.mSection);
    text += " | " + std::string(setting.mKey);
    text += " | " + std::string(setting.mUnit);
    text += " | ";
    text += setting.mDefault.empty() ? "required" : setting.mDefault;
    text += " | " + AllowedText(setting);
    text += " | " + std::string(setting.mHelp) + " |\n";
  }
  return text;
}

} // namespace gooseberry::io
