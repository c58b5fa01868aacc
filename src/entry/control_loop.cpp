#include "entry/control_loop.h"

#include "libgooseberryio/clock.h"

#include <algorithm>

namespace gooseberry::entry_program {

namespace {

constexpr std::size_t kQueueLimit = 65536;
constexpr core::duration kTickPeriod = std::chrono::milliseconds(20);

} // namespace

control_loop::control_loop(entry::entry_control aControl, effect_runner aRunner)
  : mControl(std::move(aControl))
  , mRunner(std::move(aRunner))
  , mQueue(kQueueLimit)
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
  mThread = std::thread([this] { Run(); });
}

void
control_loop::Stop()
{
  mStopping = true;
  mQueue.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
control_loop::Post(input aInput)
{
  return mQueue.Push({ std::move(aInput), io::Now() });
}

void
control_loop::RunInput(const input& aInput, core::instant aArrived)
{
  entry::effects effects;
  const core::instant now = io::Now();
  quota::RecordDelay(mControl.mQueueDelay, now - aArrived, now);
  aInput(mControl, now, effects);
  mRunner(effects);
  RecordInput(mLoad, now - aArrived, io::Now() - now);
}

void
control_loop::Run()
{
  core::instant nextTick = io::Now();
  mLoad.mSince = nextTick;
  while (!mStopping) {
    const auto untilTick =
      std::max(nextTick - io::Now(), core::duration::zero());
    for (const waiting_input& event : mQueue.PopAll(untilTick)) {
      RunInput(event.mInput, event.mArrived);
    }
    if (const core::instant now = io::Now(); now >= nextTick) {
      RunInput(
        [](entry::entry_control& aControl,
           core::instant aNow,
           entry::effects& aEffects) { entry::Tick(aControl, aNow, aEffects); },
        nextTick);
      nextTick = now + kTickPeriod;
      WriteLoadLine(mLoad, mControl, now);
    }
  }
  // Whoever still waits for an answer must get one.
  for (const waiting_input& event : mQueue.PopAll(core::duration::zero())) {
    RunInput(event.mInput, event.mArrived);
  }
}

} // namespace gooseberry::entry_program
