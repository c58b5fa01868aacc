#pragma once

#include "libgooseberry/configuration/desired_state.h"

#include <string>
#include <vector>

namespace gooseberry::configuration {

enum class change_kind : std::uint8_t
{
  Added,   ///< A new section.
  Removed, ///< A section that no longer exists.
  Changed, ///< One key of a section that exists in both states.
};
inline constexpr core::enum_names<change_kind, 3> kChangeKindNames{
  { "added", "removed", "changed" }
};

/** One difference between two desired states. */
struct change
{
  change_kind mKind = change_kind::Changed;
  std::string mSection; ///< Heading without brackets, e.g. `service orders`.
  std::string mKey;     ///< Key of a changed section; otherwise empty.
  std::string mBefore;  ///< Value as written in the file; empty where absent.
  std::string mAfter;

  bool operator==(const change&) const = default;
};

/**
 * Returns the changes that lead from one state to the other, in the order of
 * the file. Returns nothing where the states are equal.
 */
std::vector<change>
Compare(const desired_state& aBefore, const desired_state& aAfter);

/**
 * Formats one line: `added [team a]` or `changed [team a] quota_slots: 1 -> 2`.
 */
std::string
ToString(const change& aChange);

} // namespace gooseberry::configuration
