#pragma once

#include "libgooseberry/configuration/desired_state.h"

#include <string>
#include <vector>

namespace gooseberry::configuration {

enum class change_kind : std::uint8_t
{
  Added,   ///< A section that was not there.
  Removed, ///< A section that is gone.
  Changed, ///< One key of a section that is in both.
};
inline constexpr core::enum_names<change_kind, 3> kChangeKindNames{
  { "added", "removed", "changed" }
};

/** One difference between two desired states. */
struct change
{
  change_kind mKind = change_kind::Changed;
  std::string mSection; ///< Heading without brackets, e.g. `service orders`.
  std::string mKey;     ///< Of a changed section, else empty.
  std::string mBefore;  ///< As the file writes it; empty where absent.
  std::string mAfter;

  bool operator==(const change&) const = default;
};

/**
 * What leads from one state to the other, in the order of the file; empty where
 * they are equal.
 */
std::vector<change>
Compare(const desired_state& aBefore, const desired_state& aAfter);

/** One line: `added [team a]` or `changed [team a] quota_slots: 1 -> 2`. */
std::string
ToString(const change& aChange);

} // namespace gooseberry::configuration
