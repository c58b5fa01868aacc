#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace gooseberry::core {

/** Number of an accepted configuration; 0: none accepted yet. */
using generation = std::uint64_t;

/**
 * Identifies one run of a process: its configured name and a random number that
 * is drawn at the start. A restarted process has the same name and a different
 * incarnation.
 */
struct peer_ref
{
  std::string mName;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const peer_ref&) const = default;
};

/** One task of one job. */
struct task_ref
{
  std::string mJob; ///< Key of the job: team, '/', name.
  std::uint32_t mIndex = 0;

  auto operator<=>(const task_ref&) const = default;
};

/**
 * Precedence of the entries that claim the same job. The greater round wins,
 * then the greater incarnation.
 */
struct ballot
{
  std::uint32_t mRound = 0;
  std::uint64_t mEntry = 0; ///< Incarnation of the entry that claims the job.

  auto operator<=>(const ballot&) const = default;
};

/** Formats `name#incarnation`, for logs. */
std::string
ToString(const peer_ref& aPeer);

/** Formats `job:index`, for logs. */
std::string
ToString(const task_ref& aTask);

} // namespace gooseberry::core

template<>
struct std::hash<gooseberry::core::peer_ref>
{
  std::size_t operator()(const gooseberry::core::peer_ref& aPeer) const noexcept
  {
    return std::hash<std::string>{}(aPeer.mName) ^
           (aPeer.mIncarnation * 0x9e3779b97f4a7c15ULL);
  }
};

template<>
struct std::hash<gooseberry::core::task_ref>
{
  std::size_t operator()(const gooseberry::core::task_ref& aTask) const noexcept
  {
    return std::hash<std::string>{}(aTask.mJob) ^
           (aTask.mIndex * 0x9e3779b97f4a7c15ULL);
  }
};
