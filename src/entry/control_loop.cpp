#include "entry/control_loop.h"

#include "libgooseberryio/clock.h"

#include <algorithm>
#include <utility>

namespace gooseberry::entry_program {

namespace {

constexpr std::size_t kQueueLimit = 65536;
constexpr core::duration kTickPeriod = std::chrono::milliseconds(20);

} // namespace

control_loop::control_loop(entry::entry_control aControl, effect_runner aRunner)
  : mControl(std::move(aControl))
  , mRunner(std::move(aRunner))
  , mInputs(kQueueLimit)
{
}

control_loop::~control_loop()
{
  Stop();
}

void
control_loop::Start(const entry::effects& aFirstEffects)
{
  mRunner(aFirstEffects);
  mInputs.End();
  mThread = std::thread([this] { Run(); });
}

void
control_loop::Stop()
{
  mStopping = true;
  mInputs.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
control_loop::Post(input aInput)
{
  if (!mInputs.Push(std::move(aInput))) {
    return false;
  }
  RunQueued();
  return true;
}

/** An exception must end the process, whichever thread has posted the input:
 * the control state is incomplete after it. */
void
control_loop::RunQueued() noexcept
{
  if (const auto inputs = mInputs.TryBegin(); !inputs.empty()) {
    RunAll(inputs);
    mInputs.End();
  }
}

void
control_loop::RunAll(const std::deque<input>& aInputs)
{
  for (const input& each : aInputs) {
    RunInput(each);
  }
}

void
control_loop::RunInput(const input& aInput)
{
  entry::effects effects;
  const core::instant now = io::Now();
  aInput(mControl, now, effects);
  mRunner(effects);
  RecordInput(mLoad, io::Now() - now);
}

/**
 * Records the delay of a tick, which shows how long threads of this process
 * wait for its processor; an input that runs at once does not. A tick that is
 * late without any submission since the last one is no overload by callers: the
 * host has stalled, and to refuse callers would not help.
 */
void
control_loop::RecordTickDelay(core::duration aDelay, core::instant aNow)
{
  const std::uint64_t submissions = mControl.mCounters.mSubmissions;
  const bool hasSubmissions =
    std::exchange(mSubmissionsAtTick, submissions) != submissions;
  quota::RecordDelay(mControl.mQueueDelay,
                     hasSubmissions ? aDelay : core::duration::zero(),
                     aNow);
  RecordTick(mLoad, aDelay);
}

void
control_loop::RunTick(core::instant aDue)
{
  const core::instant now = io::Now();
  RecordTickDelay(now - aDue, now);
  mControl.mJobMeter.mProcessorTime = io::ProcessorTime();
  RunInput(
    [](entry::entry_control& aControl,
       core::instant aNow,
       entry::effects& aEffects) { entry::Tick(aControl, aNow, aEffects); });
  WriteLoadLine(mLoad, mControl, now);
}

void
control_loop::Run()
{
  core::instant nextTick = io::Now();
  mLoad.mSince = nextTick;
  while (!mStopping) {
    RunAll(
      mInputs.Begin(std::max(nextTick - io::Now(), core::duration::zero())));
    if (const core::instant now = io::Now(); now >= nextTick) {
      RunTick(nextTick);
      nextTick = now + kTickPeriod;
    }
    mInputs.End();
  }
  // Whoever still waits for an answer must get one.
  RunAll(mInputs.Begin(core::duration::zero()));
  mInputs.End();
}

} // namespace gooseberry::entry_program
