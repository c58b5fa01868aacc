#pragma once

#include "libgooseberry/core/message.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry::agent {

/** An accepted start that waits for a slot of its target. */
struct queued_task
{
  core::task_start mStart;
  std::string mEntryAddress; ///< Of the sending entry.
};

/** Orders by priority, smallest first, then by arrival. */
struct queue_position
{
  std::int64_t mPriority = 0;
  std::uint64_t mArrival = 0;

  auto operator<=>(const queue_position&) const = default;
};

/** Tasks of all entries that wait for one target. */
struct target_queue
{
  std::map<queue_position, queued_task> mTasks;
  std::uint64_t mArrivals = 0;
};

void
Push(target_queue& aQueue, queued_task aTask);

std::optional<queued_task>
PopFirst(target_queue& aQueue);

/** Returns the queued start of a task, or null. */
const queued_task*
Find(const target_queue& aQueue, const core::task_ref& aTask);

using queued_predicate = std::function<bool(const queued_task&)>;

/** Removes and returns all tasks for which `aPredicate` holds. */
std::vector<queued_task>
RemoveIf(target_queue& aQueue, const queued_predicate& aPredicate);

} // namespace gooseberry::agent
