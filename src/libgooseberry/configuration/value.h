#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::configuration {

/** Longest name of a service, failure domain, team or process, in bytes. */
inline constexpr std::size_t kMaxNameBytes = 64;

/** Without spaces and tabs at both ends. */
std::string_view
Trim(std::string_view aText);

/** Whether it has 1 to `kMaxNameBytes` characters of `[A-Za-z0-9._-]`. */
bool
IsName(std::string_view aText);

/** A name in which at most one character is `*`. */
bool
IsNamePattern(std::string_view aText);

/** Whether `aName` fits a pattern whose `*` matches any text, also none. */
bool
MatchesPattern(std::string_view aPattern, std::string_view aName);

/** The trimmed parts between commas; the last may be missing. */
std::vector<std::string>
SplitList(std::string_view aText);

/** A whole decimal number within the bounds, else none. */
std::optional<std::uint64_t>
ReadNumber(std::string_view aText, std::uint64_t aMin, std::uint64_t aMax);

/** The text in quotes for a message, cut short where it is long. */
std::string
Quote(std::string_view aText);

} // namespace gooseberry::configuration
