#include "libgooseberry/core/resources.h"

#include <algorithm>

namespace gooseberry::core {

resources&
resources::operator+=(const resources& aOther)
{
  mCpu += aOther.mCpu;
  mMemory += aOther.mMemory;
  mAccelerators += aOther.mAccelerators;
  return *this;
}

resources&
resources::operator-=(const resources& aOther)
{
  mCpu -= std::min(mCpu, aOther.mCpu);
  mMemory -= std::min(mMemory, aOther.mMemory);
  mAccelerators -= std::min(mAccelerators, aOther.mAccelerators);
  return *this;
}

resources
operator+(resources aLeft, const resources& aRight)
{
  return aLeft += aRight;
}

bool
Fits(const resources& aNeeds, const resources& aCapacity)
{
  return aNeeds.mCpu <= aCapacity.mCpu && aNeeds.mMemory <= aCapacity.mMemory &&
         aNeeds.mAccelerators <= aCapacity.mAccelerators;
}

} // namespace gooseberry::core
