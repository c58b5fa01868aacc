#include "libgooseberry/configuration/adoption.h"

#include <algorithm>

namespace gooseberry::configuration {

relation
CompareSent(const in_force& aInForce,
            const core::versioned_configuration& aSent)
{
  if (aSent.mGeneration <= aInForce.mCurrent.mGeneration) {
    return relation::Same;
  }
  const bool isReplaced = aSent.mGeneration <= aInForce.mConfirmed &&
                          aSent.mText != aInForce.mCurrent.mText;
  return isReplaced ? relation::Outdated : relation::Newer;
}

relation
CompareRead(const in_force& aInForce,
            const core::versioned_configuration& aRead)
{
  const core::generation known =
    std::max(aInForce.mCurrent.mGeneration, aInForce.mConfirmed);
  if (aRead.mGeneration < known) {
    return relation::Outdated;
  }
  const bool isSame = aRead.mGeneration == aInForce.mCurrent.mGeneration ||
                      aRead.mText == aInForce.mCurrent.mText;
  return isSame ? relation::Same : relation::Newer;
}

} // namespace gooseberry::configuration
