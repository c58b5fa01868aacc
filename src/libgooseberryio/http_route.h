#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::io {

/** The target of a request, taken apart and decoded. */
struct request_target
{
  std::vector<std::string> mSegments; ///< Of the path, without the slashes.
  std::map<std::string, std::string> mQuery;
};

/** Takes `/a/b?c=d` apart; nothing where an escape is not valid. */
std::optional<request_target>
ParseTarget(std::string_view aTarget);

/**
 * The values of the `:NAME` parts of a pattern like `/v1/jobs/:job`; nothing
 * where the path does not match.
 */
std::optional<std::map<std::string, std::string>>
MatchPath(std::string_view aPattern, const std::vector<std::string>& aSegments);

/** Decodes `%XX`, and `+` as a space where `aPlusIsSpace`. */
std::optional<std::string>
DecodeUrl(std::string_view aText, bool aPlusIsSpace);

} // namespace gooseberry::io
