#pragma once

#include <cstdint>

namespace gooseberry::core {

/** Resources that a task needs or a target has. */
struct resources
{
  std::uint32_t mCpu = 0;          ///< Thousandths of a core.
  std::uint32_t mMemory = 0;       ///< MiB.
  std::uint32_t mAccelerators = 0; ///< Whole devices.

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& aOther);
  /** Subtracts each part; a part that would be negative becomes 0. */
  resources& operator-=(const resources& aOther);
};

resources
operator+(resources aLeft, const resources& aRight);

/** Returns whether every part of `aNeeds` is at most that of `aCapacity`. */
bool
Fits(const resources& aNeeds, const resources& aCapacity);

} // namespace gooseberry::core
