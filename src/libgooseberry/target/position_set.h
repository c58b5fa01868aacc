#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberry::target {

/** Bit set of positions in a list; searched a word at a time. */
struct position_set
{
  std::vector<std::uint64_t> mWords;
  std::size_t mCount = 0; ///< Positions in the set.
};

/** Clears the set and resizes it for positions below `aSize`. */
void
Reset(position_set& aSet, std::size_t aSize);

/** Adds or removes a position. */
void
Assign(position_set& aSet, std::size_t aPosition, bool aIn);

bool
Contains(const position_set& aSet, std::size_t aPosition);

/** Returns the first position at or after `aFrom`, or `kNoPosition`. */
std::size_t
NextFrom(const position_set& aSet, std::size_t aFrom);

/** Returns the position that has `aRank` others before it. The rank must be
 * below `mCount`. */
std::size_t
AtRank(const position_set& aSet, std::size_t aRank);

inline constexpr std::size_t kNoPosition = static_cast<std::size_t>(-1);

} // namespace gooseberry::target
