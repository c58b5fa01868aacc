#include "libgooseberry/target/position_set.h"

#include <bit>

namespace gooseberry::target {

namespace {

constexpr std::size_t kWordBits = 64;

std::uint64_t
BitOf(std::size_t aPosition)
{
  return std::uint64_t{ 1 } << (aPosition % kWordBits);
}

} // namespace

void
Reset(position_set& aSet, std::size_t aSize)
{
  aSet.mWords.assign((aSize + kWordBits - 1) / kWordBits, 0);
  aSet.mCount = 0;
}

void
Assign(position_set& aSet, std::size_t aPosition, bool aIn)
{
  if (Contains(aSet, aPosition) == aIn) {
    return;
  }
  aSet.mWords[aPosition / kWordBits] ^= BitOf(aPosition);
  aSet.mCount += aIn ? 1 : std::size_t(-1);
}

bool
Contains(const position_set& aSet, std::size_t aPosition)
{
  return (aSet.mWords[aPosition / kWordBits] & BitOf(aPosition)) != 0;
}

std::size_t
NextFrom(const position_set& aSet, std::size_t aFrom)
{
  std::size_t word = aFrom / kWordBits;
  if (word >= aSet.mWords.size()) {
    return kNoPosition;
  }
  std::uint64_t bits = aSet.mWords[word] & ~(BitOf(aFrom) - 1);
  while (bits == 0) {
    if (++word == aSet.mWords.size()) {
      return kNoPosition;
    }
    bits = aSet.mWords[word];
  }
  return word * kWordBits + static_cast<std::size_t>(std::countr_zero(bits));
}

std::size_t
AtRank(const position_set& aSet, std::size_t aRank)
{
  std::size_t word = 0;
  std::size_t rank = aRank;
  for (;; ++word) {
    const auto here =
      static_cast<std::size_t>(std::popcount(aSet.mWords[word]));
    if (rank < here) {
      break;
    }
    rank -= here;
  }
  std::uint64_t bits = aSet.mWords[word];
  for (; rank > 0; --rank) {
    bits &= bits - 1;
  }
  return word * kWordBits + static_cast<std::size_t>(std::countr_zero(bits));
}

} // namespace gooseberry::target
