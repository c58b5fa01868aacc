#include "libgooseberry/agent/target_queue.h"

#include <algorithm>
#include <utility>

namespace gooseberry::agent {

void
Push(target_queue& aQueue, queued_task aTask)
{
  const queue_position position{ aTask.mStart.mPriority, aQueue.mArrivals++ };
  aQueue.mTasks.emplace(position, std::move(aTask));
}

std::optional<queued_task>
PopFirst(target_queue& aQueue)
{
  if (aQueue.mTasks.empty()) {
    return std::nullopt;
  }
  return std::move(aQueue.mTasks.extract(aQueue.mTasks.begin()).mapped());
}

const queued_task*
Find(const target_queue& aQueue, const core::task_ref& aTask)
{
  const auto found = std::find_if(
    aQueue.mTasks.begin(), aQueue.mTasks.end(), [&](const auto& aEntry) {
      return aEntry.second.mStart.mTask == aTask;
    });
  return found == aQueue.mTasks.end() ? nullptr : &found->second;
}

std::vector<queued_task>
RemoveIf(target_queue& aQueue, const queued_predicate& aPredicate)
{
  std::vector<queued_task> taken;
  for (auto at = aQueue.mTasks.begin(); at != aQueue.mTasks.end();) {
    const auto next = std::next(at);
    if (aPredicate(at->second)) {
      taken.push_back(std::move(aQueue.mTasks.extract(at).mapped()));
    }
    at = next;
  }
  return taken;
}

} // namespace gooseberry::agent
