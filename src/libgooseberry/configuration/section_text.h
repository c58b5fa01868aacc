#pragma once

#include "libgooseberry/configuration/desired_state.h"

#include <string>
#include <vector>

namespace gooseberry::configuration {

/** A key and its value as written in an operator file. */
struct key_text
{
  std::string mKey;
  std::string mValue;

  bool operator==(const key_text&) const = default;
};

/** One section as written in an operator file. */
struct section_text
{
  /** `state`, `failure_domain`, `service`, `team` or `queue`. */
  std::string mKind;
  std::string mName; ///< As in the heading; empty for `state`.
  std::vector<key_text> mKeys;

  bool operator==(const section_text&) const = default;
};

/**
 * Returns the sections that declare a state in the order of the file: `state`,
 * then failure domains, services, teams and queues, each ordered by name.
 */
std::vector<section_text>
ToSections(const desired_state& aState);

} // namespace gooseberry::configuration
