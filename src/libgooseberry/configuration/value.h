#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::configuration {

/** Length limit of the name of a failure domain, team or process, in bytes. */
inline constexpr std::size_t kMaxNameBytes = 64;

/** Removes spaces and tabs at both ends. */
std::string_view
Trim(std::string_view aText);

/** Returns whether a byte is one of `[A-Za-z0-9._-]`. */
bool
IsNameCharacter(char aByte);

/**
 * Returns whether the text is 1 to `kMaxNameBytes` characters of
 * `[A-Za-z0-9._-]`.
 */
bool
IsName(std::string_view aText);

/** Returns whether the text is a name in which at most one character is `*`. */
bool
IsNamePattern(std::string_view aText);

/**
 * Returns whether `aName` matches a pattern; `*` matches any text, including
 * none.
 */
bool
MatchesPattern(std::string_view aPattern, std::string_view aName);

/** Returns the trimmed parts between commas; the last part may be missing. */
std::vector<std::string>
SplitList(std::string_view aText);

/**
 * Reads a whole decimal number; returns none where it is invalid or out of
 * bounds.
 */
std::optional<std::uint64_t>
ReadNumber(std::string_view aText, std::uint64_t aMin, std::uint64_t aMax);

/** Puts the text in quotes for a message; long text is truncated. */
std::string
Quote(std::string_view aText);

} // namespace gooseberry::configuration
