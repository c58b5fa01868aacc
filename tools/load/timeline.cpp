#include "load/timeline.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <sstream>

namespace gooseberry::tools::load {

using nlohmann::json;

namespace {

constexpr std::int64_t kForever = std::numeric_limits<std::int64_t>::max();

void
Add(absences& aAbsences,
    const std::string& aName,
    std::int64_t aAtUs,
    bool aAbsent)
{
  auto& all = aAbsences[aName];
  if (const bool isAbsent = !all.empty() && all.back().mUntilUs == kForever;
      aAbsent && !isAbsent) {
    all.push_back({ aAtUs, kForever });
  } else if (!aAbsent && isAbsent) {
    all.back().mUntilUs = aAtUs;
  }
}

void
AddLine(timeline& aTimeline, const json& aLine)
{
  const auto at = aLine.at("at_us").get<std::int64_t>();
  const auto state = aLine.at("state").get<std::string>();
  if (aLine.contains("domain") && (state == "out" || state == "in")) {
    Add(aTimeline.mDomains, aLine.at("domain"), at, state == "out");
  } else if (aLine.contains("target") &&
             (state == "leaving" || state == "back")) {
    Add(aTimeline.mTargets, aLine.at("target"), at, state == "leaving");
  } else {
    throw std::invalid_argument("expected a domain or a target and its state");
  }
}

} // namespace

core::result<timeline>
ParseTimeline(std::string_view aLines, std::string_view aSource)
{
  timeline result;
  std::istringstream stream{ std::string(aLines) };
  std::size_t number = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    try {
      if (!line.empty()) {
        AddLine(result, json::parse(line));
      }
    } catch (const std::exception& failure) {
      return core::error{ "read timeline, line " + std::to_string(number),
                          std::string(aSource),
                          failure.what() };
    }
  }
  return result;
}

bool
IsAbsent(const absences& aAbsences,
         std::string_view aName,
         std::int64_t aAtUs,
         std::int64_t aGraceUs)
{
  const auto it = aAbsences.find(aName);
  if (it == aAbsences.end()) {
    return false;
  }
  for (const absence& one : it->second) {
    if (aAtUs > one.mFromUs + aGraceUs && aAtUs < one.mUntilUs) {
      return true;
    }
  }
  return false;
}

} // namespace gooseberry::tools::load
