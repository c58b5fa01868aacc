#include "libgooseberryio/json.h"

#include <optional>

namespace gooseberry::io {
namespace {

/** Where arrays and objects nest too deep; nothing where they do not. */
std::optional<std::size_t>
FindTooDeep(std::string_view aText, std::size_t aMaxDepth)
{
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char c = aText[i];
    if (inString) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        inString = false;
      }
    } else if (c == '"') {
      inString = true;
    } else if (c == '[' || c == '{') {
      if (++depth > aMaxDepth) {
        return i;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return std::nullopt;
}

} // namespace

std::variant<nlohmann::json, json_error>
ParseJson(std::string_view aText, std::size_t aMaxDepth)
{
  if (const auto offset = FindTooDeep(aText, aMaxDepth)) {
    return json_error{ .mOffset = *offset,
                       .mReason =
                         "nested deeper than " + std::to_string(aMaxDepth) };
  }
  try {
    return nlohmann::json::parse(aText);
  } catch (const nlohmann::json::parse_error& failure) {
    return json_error{ .mOffset = failure.byte, .mReason = "not valid JSON" };
  } catch (const nlohmann::json::exception&) {
    return json_error{ .mOffset = 0, .mReason = "number out of range" };
  }
}

} // namespace gooseberry::io
