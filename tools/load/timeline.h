#pragma once

#include "libgooseberry/core/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::tools::load {

/** Wall-clock bounds, in microseconds, of one absence from service. */
struct absence
{
  std::int64_t mFromUs = 0;
  std::int64_t mUntilUs = 0;
};

using absences = std::map<std::string, std::vector<absence>, std::less<>>;

/** When failure domains were out and targets were leaving. */
struct timeline
{
  absences mDomains;
  absences mTargets;
};

/**
 * Reads lines such as `{"at_us":1,"domain":"brasov","state":"out"}` (then `in`)
 * and `{"at_us":1,"target":"t1","state":"leaving"}` (then `back`), where
 * `at_us` is when the change was accepted.
 */
core::result<timeline>
ParseTimeline(std::string_view aLines, std::string_view aSource);

/** Whether `aName` was absent at `aAtUs`, for longer than `aGraceUs` already.
 */
bool
IsAbsent(const absences& aAbsences,
         std::string_view aName,
         std::int64_t aAtUs,
         std::int64_t aGraceUs);

} // namespace gooseberry::tools::load
