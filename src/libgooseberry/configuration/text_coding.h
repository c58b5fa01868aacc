#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/** Texts of any bytes as words of an operator file, by percent-encoding. */
namespace gooseberry::configuration {

/** Length limit of a decoded text, in bytes. */
inline constexpr std::size_t kMaxTextBytes = 65'536;

/** Writes all but `[A-Za-z0-9._-]` as `%` and two upper-case digits. */
std::string
EncodeText(std::string_view aText);

/**
 * Reads it back. Returns none where the text is empty or longer than
 * `kMaxTextBytes`, or not what `EncodeText` writes.
 */
std::optional<std::string>
DecodeText(std::string_view aText);

/** The same for paths, in which `/` stands for itself. */
std::string
EncodePath(std::string_view aPath);

std::optional<std::string>
DecodePath(std::string_view aText);

} // namespace gooseberry::configuration
