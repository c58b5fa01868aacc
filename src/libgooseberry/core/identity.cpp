#include "libgooseberry/core/identity.h"

namespace gooseberry::core {

std::string
ToString(const peer_ref& aPeer)
{
  return aPeer.mName + '#' + std::to_string(aPeer.mIncarnation);
}

std::string
ToString(const task_ref& aTask)
{
  return aTask.mJob + ':' + std::to_string(aTask.mIndex);
}

} // namespace gooseberry::core
