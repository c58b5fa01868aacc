#include "libgooseberryio/http_route.h"

#include <charconv>

namespace gooseberry::io {
namespace {

std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = aText.find(aSeparator);
    parts.push_back(aText.substr(0, end));
    if (end == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(end + 1);
  }
}

bool
ParseQuery(std::string_view aText, std::map<std::string, std::string>& aQuery)
{
  for (const auto part : Split(aText, '&')) {
    if (part.empty()) {
      continue;
    }
    const auto equals = part.find('=');
    const auto name = DecodeUrl(part.substr(0, equals), true);
    const auto value = DecodeUrl(
      equals == std::string_view::npos ? "" : part.substr(equals + 1), true);
    if (!name || !value) {
      return false;
    }
    aQuery.insert_or_assign(*name, *value);
  }
  return true;
}

} // namespace

std::optional<request_target>
ParseTarget(std::string_view aTarget)
{
  request_target target;
  const auto question = aTarget.find('?');
  auto path = aTarget.substr(0, question);
  if (path.empty() || path.front() != '/') {
    return std::nullopt;
  }
  path.remove_prefix(1);
  for (const auto part : Split(path, '/')) {
    if (auto segment = DecodeUrl(part, false)) {
      target.mSegments.push_back(std::move(*segment));
    } else {
      return std::nullopt;
    }
  }
  if (question != std::string_view::npos &&
      !ParseQuery(aTarget.substr(question + 1), target.mQuery)) {
    return std::nullopt;
  }
  return target;
}

std::optional<std::map<std::string, std::string>>
MatchPath(std::string_view aPattern, const std::vector<std::string>& aSegments)
{
  aPattern.remove_prefix(1);
  const auto parts = Split(aPattern, '/');
  if (parts.size() != aSegments.size()) {
    return std::nullopt;
  }
  std::map<std::string, std::string> values;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (parts[i].starts_with(':')) {
      values.emplace(parts[i].substr(1), aSegments[i]);
    } else if (parts[i] != aSegments[i]) {
      return std::nullopt;
    }
  }
  return values;
}

std::optional<std::string>
DecodeUrl(std::string_view aText, bool aPlusIsSpace)
{
  constexpr std::size_t kDigits = 2;
  constexpr int kHexadecimal = 16;
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '+' && aPlusIsSpace) {
      text += ' ';
    } else if (aText[i] != '%') {
      text += aText[i];
    } else {
      const auto digits = aText.substr(i + 1, kDigits);
      const char* const end = digits.data() + digits.size();
      unsigned char code = 0;
      const auto [rest, status] =
        std::from_chars(digits.data(), end, code, kHexadecimal);
      if (digits.size() != kDigits || status != std::errc() || rest != end) {
        return std::nullopt;
      }
      text += static_cast<char>(code);
      i += kDigits;
    }
  }
  return text;
}

} // namespace gooseberry::io
