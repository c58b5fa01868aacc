#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace gooseberry::io {

/** Why a text is not taken as JSON. */
struct json_error
{
  std::size_t mOffset = 0; ///< In bytes, where it was noticed.
  std::string mReason;
};

inline constexpr std::size_t kMaxJsonDepth = 32;

/**
 * Parses a whole text as JSON. Arrays and objects nested deeper than
 * `aMaxDepth` are refused before anything is built.
 */
std::variant<nlohmann::json, json_error>
ParseJson(std::string_view aText, std::size_t aMaxDepth = kMaxJsonDepth);

} // namespace gooseberry::io
