#pragma once

#include "libgooseberry/configuration/ini_document.h"
#include "libgooseberry/configuration/value.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberry::configuration {

/** Rule for one key of a section and how to read its value. */
template<typename Value>
struct key_rule
{
  std::string_view mKey;
  bool mIsRequired;
  std::string_view mExpected; ///< Completes "expected ..." in errors.
  /**
   * Stores the value of the text; returns false where the text is not as
   * expected.
   */
  bool (*mRead)(std::string_view aText, Value& aValue);
};

/**
 * Reads all keys of a section. Refuses unknown keys and missing required keys.
 */
template<typename Value>
std::optional<core::error>
ReadKeys(const ini_document& aDocument,
         const ini_section& aSection,
         std::span<const key_rule<Value>> aRules,
         Value& aValue)
{
  for (const auto& entry : aSection.mEntries) {
    const auto rule =
      std::find_if(aRules.begin(), aRules.end(), [&](const auto& aRule) {
        return aRule.mKey == entry.mKey;
      });
    if (rule == aRules.end()) {
      std::string known;
      for (const auto& knownRule : aRules) {
        known += (known.empty() ? "" : ", ") + std::string(knownRule.mKey);
      }
      return ErrorAt(aDocument,
                     entry.mLine,
                     aSection,
                     entry.mKey,
                     "unknown key, expected one of " + known);
    }
    if (!rule->mRead(entry.mValue, aValue)) {
      return ErrorAt(aDocument,
                     entry.mLine,
                     aSection,
                     entry.mKey,
                     "expected " + std::string(rule->mExpected) + ", got " +
                       Quote(entry.mValue));
    }
  }
  for (const auto& rule : aRules) {
    if (rule.mIsRequired && FindEntry(aSection, rule.mKey) == nullptr) {
      return ErrorAt(aDocument,
                     aSection.mLine,
                     aSection,
                     rule.mKey,
                     "missing, expected " + std::string(rule.mExpected));
    }
  }
  return std::nullopt;
}

} // namespace gooseberry::configuration
