#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/error.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/**
 * Settings of a process: an INI file read against a table of keys. The table
 * is also where the printed reference comes from.
 */
namespace gooseberry::io {

/** What the value of a setting may be. */
enum class setting_type : std::uint8_t
{
  Text,    ///< Not empty.
  Name,    ///< 1 to 64 characters of `[A-Za-z0-9._-]`.
  Number,  ///< Whole, within bounds.
  Decimal, ///< Up to three decimals, within bounds; kept in thousandths.
  Switch,  ///< `on`, `off`, `true` or `false`.
  Choice,  ///< One of some words.
  Address, ///< `IP:PORT`.
};
inline constexpr core::enum_names<setting_type, 7> kSettingTypeNames{
  { "text", "name", "number", "decimal", "switch", "choice", "address" }
};

/** One key of the file. */
struct setting
{
  std::string_view mSection;
  std::string_view mKey;
  setting_type mType = setting_type::Text;
  std::string_view mUnit;    ///< Of a number; may be empty.
  std::string_view mDefault; ///< Empty: the file must have the key.
  std::uint64_t mMin = 0;    ///< Of a number, in its unit; a whole one.
  std::uint64_t mMax = 0;    ///< Of a number, in its unit; a whole one.
  std::string_view mChoices; ///< Of a choice, with `|` between the words.
  std::string_view mHelp;
};

/** A value that fits its setting. */
struct setting_value
{
  std::string mText;
  /** Of a number; of a decimal, in thousandths; of a switch 0 or 1; else 0. */
  std::uint64_t mNumber = 0;
};

/** A number that must not exceed another one of the same file. */
struct setting_order
{
  std::string_view mSection;
  std::string_view mKey;
  std::string_view mBoundSection;
  std::string_view mBoundKey;
};

/**
 * Reads a whole file. The values are in the order of the table; what the file
 * lacks has its default. Errors name `FILE:LINE: [section] key: expected ...`.
 */
core::result<std::vector<setting_value>>
ReadSettings(std::string_view aText,
             std::string_view aFileName,
             std::span<const setting> aTable,
             std::span<const setting_order> aOrders);

/** The table as Markdown, for the documentation. */
std::string
FormatReference(std::span<const setting> aTable);

/** A setting and where its value goes. */
template<typename Settings>
struct setting_rule
{
  setting mSetting;
  void (*mStore)(const setting_value& aValue, Settings& aSettings);
};

/** The table without the places of the values. */
template<typename Settings>
std::vector<setting>
TableOf(std::span<const setting_rule<Settings>> aRules)
{
  std::vector<setting> table;
  for (const auto& rule : aRules) {
    table.push_back(rule.mSetting);
  }
  return table;
}

/** `ReadSettings` into a struct; nothing is stored when it fails. */
template<typename Settings>
core::result<Settings>
ReadInto(std::string_view aText,
         std::string_view aFileName,
         std::span<const setting_rule<Settings>> aRules,
         std::span<const setting_order> aOrders)
{
  auto read = ReadSettings(aText, aFileName, TableOf(aRules), aOrders);
  if (auto* problem = std::get_if<core::error>(&read)) {
    return std::move(*problem);
  }
  const auto& values = std::get<std::vector<setting_value>>(read);
  Settings settings;
  for (std::size_t i = 0; i < values.size(); ++i) {
    aRules[i].mStore(values[i], settings);
  }
  return settings;
}

} // namespace gooseberry::io
