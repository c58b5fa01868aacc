#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberry::target {

/** Set of positions in a list, as bits; searched a word at a time. */
struct position_set
{
  std::vector<std::uint64_t> mWords;
  std::size_t mCount = 0; ///< Positions in the set.
};

/** Empties the set and makes room for positions below `aSize`. */
void
Reset(position_set& aSet, std::size_t aSize);

/** Puts a position in or takes it out; nothing changes where it is so. */
void
Assign(position_set& aSet, std::size_t aPosition, bool aIn);

bool
Contains(const position_set& aSet, std::size_t aPosition);

/** The first position at or after `aFrom`; `kNoPosition` if there is none. */
std::size_t
NextFrom(const position_set& aSet, std::size_t aFrom);

/** The position that has `aRank` others before it; the rank is in range. */
std::size_t
AtRank(const position_set& aSet, std::size_t aRank);

inline constexpr std::size_t kNoPosition = static_cast<std::size_t>(-1);

} // namespace gooseberry::target
