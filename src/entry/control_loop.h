#pragma once

#include "entry/load_line.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberryio/event_queue.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>

namespace gooseberry::entry_program {

/** One input to the entry's decisions, run on the control thread. */
using input =
  std::function<void(entry::entry_control&, core::instant, entry::effects&)>;

/** Carries out effects; called on the control thread; must not block. */
using effect_runner = std::function<void(const entry::effects&)>;

/**
 * The one thread that owns the control state. Other threads hand it inputs
 * over a bounded queue.
 */
class control_loop
{
public:
  control_loop(entry::entry_control aControl, effect_runner aRunner);
  ~control_loop();
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  void Start(const entry::effects& aFirstEffects);
  void Stop();

  /** False where the queue is full; the input is dropped then. */
  [[nodiscard]] bool Post(input aInput);

  /**
   * Runs a function on the control thread and waits for what it returns.
   * Throws where the queue is full or closed.
   */
  template<typename Function>
  auto Ask(Function aFunction)
  {
    using answer = std::invoke_result_t<Function,
                                        entry::entry_control&,
                                        core::instant,
                                        entry::effects&>;
    auto promise = std::make_shared<std::promise<answer>>();
    std::future<answer> future = promise->get_future();
    const bool posted =
      Post([promise, aFunction](entry::entry_control& aControl,
                                core::instant aNow,
                                entry::effects& aEffects) {
        promise->set_value(aFunction(aControl, aNow, aEffects));
      });
    if (!posted) {
      throw std::runtime_error("control queue is full");
    }
    return future.get();
  }

private:
  void Run();
  void RunInput(const input& aInput, core::instant aArrived);

  /** An input, and since when it waits. */
  struct waiting_input
  {
    input mInput;
    core::instant mArrived{};
  };

  entry::entry_control mControl;
  effect_runner mRunner;
  load_meter mLoad;
  io::event_queue<waiting_input> mQueue;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace gooseberry::entry_program
