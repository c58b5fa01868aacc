#pragma once

#include "entry/load_line.h"
#include "libgooseberry/entry/entry_control.h"
#include "libgooseberryio/strand.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <thread>

namespace gooseberry::entry_program {

/** One input to the entry's decisions. */
using input =
  std::function<void(entry::entry_control&, core::instant, entry::effects&)>;

/** Carries out effects; must not block. */
using effect_runner = std::function<void(const entry::effects&)>;

/**
 * Owns the control state and runs its inputs one at a time, in order of
 * arrival. A thread that posts an input runs it itself where no other input is
 * running; a thread of the loop runs what is left, and the ticks.
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

  /** False where the queue is full or closed; the input is dropped then. */
  [[nodiscard]] bool Post(input aInput);

  /**
   * Runs a function as an input and returns what it returns. Throws where the
   * queue is full or closed. Not for use within an input.
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
  void RunQueued() noexcept;
  void RunAll(const std::deque<input>& aInputs);
  void RunInput(const input& aInput);
  void RunTick(core::instant aDue);
  void RecordTickDelay(core::duration aDelay, core::instant aNow);

  entry::entry_control mControl;
  effect_runner mRunner;
  load_meter mLoad;
  std::uint64_t mSubmissionsAtTick = 0; ///< Counted until the last tick.
  io::strand<input> mInputs;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace gooseberry::entry_program
