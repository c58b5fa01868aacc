#include "agent/control_thread.h"

#include "libgooseberryio/clock.h"

#include <utility>

namespace gooseberry::agentd {

namespace {

constexpr core::duration kTickInterval = std::chrono::milliseconds(20);
constexpr core::duration kPostPause = std::chrono::milliseconds(1);

} // namespace

control_thread::control_thread(agent::agent_control aControl,
                               std::size_t aQueueCapacity)
  : mControl(std::move(aControl))
  , mEvents(aQueueCapacity)
{
}

control_thread::~control_thread()
{
  Stop();
}

void
control_thread::Start(effect_performer aPerformer)
{
  mPerformer = std::move(aPerformer);
  mEvents.End();
  mThread = std::thread([this] { Run(); });
}

void
control_thread::Stop()
{
  mEvents.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
control_thread::Post(const control_event& aEvent)
{
  while (!mEvents.Push(aEvent) && !mEvents.IsClosed()) {
    std::this_thread::sleep_for(kPostPause);
  }
  HandleQueued();
}

/** An exception must end the process, whichever thread has posted the event:
 * the control state is incomplete after it. */
void
control_thread::HandleQueued() noexcept
{
  if (const auto events = mEvents.TryBegin(); !events.empty()) {
    HandleAll(events);
    mEvents.End();
  }
}

void
control_thread::HandleAll(const std::deque<control_event>& aEvents)
{
  for (const auto& event : aEvents) {
    Handle(event);
  }
}

void
control_thread::Run()
{
  core::instant lastTick{};
  bool isDone = false;
  while (!isDone) {
    const auto events = mEvents.Begin(kTickInterval);
    HandleAll(events);
    if (const auto now = io::Now(); now - lastTick >= kTickInterval) {
      lastTick = now;
      Handle(agent::Tick);
    }
    isDone = events.empty() && mEvents.IsClosed();
    mEvents.End();
  }
}

void
control_thread::Handle(const control_event& aEvent)
{
  std::deque<control_event> next{ aEvent };
  while (!next.empty()) {
    agent::effects made;
    next.front()(mControl, io::Now(), made);
    next.pop_front();
    for (auto& effect : made) {
      if (auto followUp = mPerformer(std::move(effect)); followUp) {
        next.push_back(std::move(*followUp));
      }
    }
  }
}

} // namespace gooseberry::agentd
