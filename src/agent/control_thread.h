#pragma once

#include "libgooseberry/agent/agent_control.h"
#include "libgooseberryio/strand.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <thread>

namespace gooseberry::agentd {

/** One event: changes the control state and appends effects. */
using control_event =
  std::function<void(agent::agent_control&, core::instant, agent::effects&)>;

/** Carries out one effect without blocking; what it gives is handled next. */
using effect_performer =
  std::function<std::optional<control_event>(agent::effect)>;

/**
 * Owns the control state and handles its events one at a time, in order of
 * arrival. A thread that posts an event handles it itself where no other event
 * is being handled; a thread of its own handles what is left, and the ticks.
 */
class control_thread
{
public:
  control_thread(agent::agent_control aControl, std::size_t aQueueCapacity);
  /** Stops. */
  ~control_thread();
  control_thread(const control_thread&) = delete;
  control_thread& operator=(const control_thread&) = delete;

  void Start(effect_performer aPerformer);

  /** Ends the thread after the events that are queued. */
  void Stop();

  /** Handles an event that must not be lost, or queues it: waits while the
   * queue is full. */
  void Post(const control_event& aEvent);

  /** Runs a question as an event and returns its answer. Throws where the queue
   * is full or closed. Not for use within an event. */
  template<typename Answer>
  Answer Ask(
    std::function<Answer(agent::agent_control&, core::instant, agent::effects&)>
      aQuestion)
  {
    const auto answer = std::make_shared<std::promise<Answer>>();
    auto future = answer->get_future();
    const bool isQueued =
      mEvents.Push([answer, question = std::move(aQuestion)](
                     auto& aControl, core::instant aNow, auto& aOut) {
        answer->set_value(question(aControl, aNow, aOut));
      });
    if (!isQueued) {
      throw std::runtime_error("control queue is full or closed");
    }
    HandleQueued();
    return future.get();
  }

private:
  void Run();
  void HandleQueued() noexcept;
  void HandleAll(const std::deque<control_event>& aEvents);
  void Handle(const control_event& aEvent);

  agent::agent_control mControl;
  io::strand<control_event> mEvents;
  effect_performer mPerformer;
  std::thread mThread;
};

} // namespace gooseberry::agentd
