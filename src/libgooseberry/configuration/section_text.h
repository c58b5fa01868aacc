#pragma once

#include "libgooseberry/configuration/desired_state.h"

#include <string>
#include <vector>

namespace gooseberry::configuration {

/** A key with its value as an operator file writes it. */
struct key_text
{
  std::string mKey;
  std::string mValue;

  bool operator==(const key_text&) const = default;
};

/** One section as an operator file writes it. */
struct section_text
{
  std::string mKind; ///< `state`, `failure_domain`, `service` or `team`.
  std::string mName; ///< Empty for `state`.
  std::vector<key_text> mKeys;

  bool operator==(const section_text&) const = default;
};

/**
 * The sections that declare a state, in the order of the file: `state`, then
 * failure domains, services and teams, each by name.
 */
std::vector<section_text>
ToSections(const desired_state& aState);

} // namespace gooseberry::configuration
