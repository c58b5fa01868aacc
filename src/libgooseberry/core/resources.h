#pragma once

#include <cstdint>

namespace gooseberry::core {

/** What a task needs, or what a target has. */
struct resources
{
  std::uint32_t mCpu = 0;          ///< Thousandths of a core.
  std::uint32_t mMemory = 0;       ///< MiB.
  std::uint32_t mAccelerators = 0; ///< Whole devices.

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& aOther);
  /** Takes away what is there at most; no part goes below zero. */
  resources& operator-=(const resources& aOther);
};

resources
operator+(resources aLeft, const resources& aRight);

/** Whether every part of `aNeeds` is at most that of `aRoom`. */
bool
Fits(const resources& aNeeds, const resources& aCapacity);

} // namespace gooseberry::core
