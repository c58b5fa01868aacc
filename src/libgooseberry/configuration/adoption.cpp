#include "libgooseberry/configuration/adoption.h"

#include <algorithm>

namespace gooseberry::configuration {

std::uint64_t
Digest(std::string_view aText)
{
  // FNV-1a.
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t digest = kOffset;
  for (const char byte : aText) {
    digest = (digest ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  return std::max<std::uint64_t>(digest, 1);
}

version
VersionOf(const core::versioned_configuration& aConfiguration)
{
  return { aConfiguration.mGeneration, Digest(aConfiguration.mText) };
}

void
TakeConfirmation(in_force& aInForce,
                 std::uint64_t aDigest,
                 core::generation aConfirmed)
{
  if (aDigest != 0 && aDigest == aInForce.mCurrent.mDigest) {
    aInForce.mConfirmed = std::max(aInForce.mConfirmed, aConfirmed);
  }
}

relation
CompareSent(const in_force& aInForce, const version& aSent)
{
  if (aSent.mGeneration <= aInForce.mCurrent.mGeneration) {
    return relation::Same;
  }
  if (aSent.mDigest != 0 && aSent.mDigest == aInForce.mCurrent.mDigest) {
    return relation::Renumbered;
  }
  return aSent.mGeneration <= aInForce.mConfirmed ? relation::Outdated
                                                  : relation::Newer;
}

relation
CompareRead(const in_force& aInForce, const version& aRead)
{
  const core::generation known =
    std::max(aInForce.mCurrent.mGeneration, aInForce.mConfirmed);
  if (aRead.mGeneration < known) {
    return relation::Outdated;
  }
  const bool isSame =
    aRead.mGeneration == aInForce.mCurrent.mGeneration ||
    (aRead.mDigest != 0 && aRead.mDigest == aInForce.mCurrent.mDigest);
  return isSame ? relation::Same : relation::Newer;
}

} // namespace gooseberry::configuration
