#include "libgooseberry/configuration/value.h"

#include <algorithm>
#include <charconv>

namespace gooseberry::configuration {

namespace {

constexpr std::size_t kMaxQuotedBytes = 60;

} // namespace

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

bool
IsNameCharacter(char aByte)
{
  return (aByte >= 'A' && aByte <= 'Z') || (aByte >= 'a' && aByte <= 'z') ||
         (aByte >= '0' && aByte <= '9') || aByte == '.' || aByte == '_' ||
         aByte == '-';
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

bool
IsNamePattern(std::string_view aText)
{
  const auto stars = std::count(aText.begin(), aText.end(), '*');
  return !aText.empty() && aText.size() <= kMaxNameBytes && stars <= 1 &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return aByte == '*' || IsNameCharacter(aByte);
         });
}

bool
MatchesPattern(std::string_view aPattern, std::string_view aName)
{
  const auto star = aPattern.find('*');
  if (star == std::string_view::npos) {
    return aPattern == aName;
  }
  const auto head = aPattern.substr(0, star);
  const auto tail = aPattern.substr(star + 1);
  return aName.size() >= head.size() + tail.size() && aName.starts_with(head) &&
         aName.ends_with(tail);
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> parts;
  auto rest = Trim(aText);
  while (!rest.empty()) {
    const auto comma = rest.find(',');
    parts.emplace_back(Trim(rest.substr(0, comma)));
    rest = comma == std::string_view::npos ? std::string_view()
                                           : Trim(rest.substr(comma + 1));
  }
  return parts;
}

std::optional<std::uint64_t>
ReadNumber(std::string_view aText, std::uint64_t aMin, std::uint64_t aMax)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, problem] = std::from_chars(aText.data(), end, value);
  if (problem != std::errc() || stop != end || value < aMin || value > aMax) {
    return std::nullopt;
  }
  return value;
}

std::string
Quote(std::string_view aText)
{
  if (aText.size() > kMaxQuotedBytes) {
    return "\"" + std::string(aText.substr(0, kMaxQuotedBytes)) + "...\"";
  }
  return "\"" + std::string(aText) + "\"";
}

} // namespace gooseberry::configuration
