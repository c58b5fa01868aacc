#include "leased_world.h"

#include <algorithm>

/** Connections and cuts, and calls that only this world makes so. */
namespace gooseberry::leased_world {

using namespace std::chrono_literals;

namespace {

constexpr duration kCallDeadline = 300ms;
/** Probability that a call has a connection from before the cut. */
constexpr double kConnected = 0.5;

} // namespace

const cut*
world::FindCut(const process& aFrom, const process& aTo, channel aChannel)
{
  std::erase_if(mCuts, [&](const cut& aCut) { return aCut.mUntil <= mNow; });
  const auto found =
    std::find_if(mCuts.begin(), mCuts.end(), [&](const cut& aCut) {
      return (!aCut.mChannel || *aCut.mChannel == aChannel) &&
             aCut.mFromTo.contains({ aFrom.mName, aTo.mName });
    });
  return found == mCuts.end() ? nullptr : &*found;
}

bool
world::CanConnect(const process& aFrom, const process& aTo, channel aChannel)
{
  const cut* matched = FindCut(aFrom, aTo, aChannel);
  matched = matched == nullptr ? FindCut(aTo, aFrom, aChannel) : matched;
  // A cut of one direction prevents new connections; older ones remain.
  return matched == nullptr ||
         (aFrom.mStartedAt < matched->mFrom &&
          aTo.mStartedAt < matched->mFrom && Chance(kConnected));
}

world::arrival_time
world::DrawArrival(const process& aFrom, const process& aTo, channel aChannel)
{
  const cut* const matched = FindCut(aFrom, aTo, aChannel);
  if (matched == nullptr) {
    return mNow + Latency();
  }
  return matched->mIsHeld ? arrival_time(matched->mUntil + Milliseconds(0, 250))
                          : std::nullopt;
}

void
world::Call(outgoing_call aCall)
{
  // A frozen process sends nothing; a slow process sends late.
  process& from = *aCall.mFrom;
  const std::uint64_t sender = from.mIncarnation;
  At(mNow + duration(Draw(20, 300)), [this, call = std::move(aCall), sender] {
    Arrive(*call.mFrom, sender, [this, call] { Transmit(call); });
  });
}

void
world::Transmit(const outgoing_call& aCall)
{
  process& from = *aCall.mFrom;
  process* const to = aCall.mTo;
  const open_call_ptr call = Open(aCall);
  if (to == nullptr || !to->mAlive) {
    return FailAfter(Latency(), call, false); // The connection is refused.
  }
  if (!CanConnect(from, *to, aCall.mChannel)) {
    return FailAfter(kCallDeadline, call, false);
  }
  FailAfter(kCallDeadline, call, true);
  const auto arrivesAt = DrawArrival(from, *to, aCall.mChannel);
  if (!arrivesAt) {
    return;
  }
  At(*arrivesAt, [=, this, &from, receiver = to->mIncarnation] {
    Arrive(*to, receiver, [=, this, &from] {
      const action reply = call->mCall.mServe();
      if (const auto at = DrawArrival(*to, from, call->mCall.mChannel)) {
        ReplyAt(*at, call, reply);
      }
    });
  });
}

void
world::Do(entry_process& aFrom, const entry::send_cancel& aEffect)
{
  agent_process* const to = AgentAt(aEffect.mAddress);
  Call({ &aFrom,
         to,
         channel::Cancel,
         [this, to, &aFrom, aEffect]() -> action {
           WithAgent(*to, [&](agent::effects& aEffects) {
             agent::OnCancel(*to->mControl, aEffect.mBatch, mNow, aEffects);
           });
           return [&aFrom, aEffect] {
             entry::OnCancelAnswered(
               *aFrom.mControl, aEffect.mAddress, aEffect.mBatch.mJobs);
           };
         },
         [&aFrom, aEffect](bool) {
           entry::OnCancelFailed(
             *aFrom.mControl, aEffect.mAddress, aEffect.mBatch.mJobs);
         } });
}

void
world::Do(agent_process& aFrom, const agent::send_finish& aEffect)
{
  agent::send_finish sent = aEffect;
  if (mOptions.mOldAgents) {
    for (core::task_result& result : sent.mFinish.mResults) {
      result.mBallot = {};
    }
  }
  environment::Do(aFrom, sent);
}

} // namespace gooseberry::leased_world
