#include "leased_world.h"

#include <algorithm>

/** Calls between entries and agents. */
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
  const std::uint64_t sender = from.mIncarnation;
  auto settled = std::make_shared<bool>(false);
  const auto fail = [=, this, &from](duration aAfter, bool aDelivered) {
    At(mNow + aAfter, [=, this, &from] {
      Deliver(from, sender, [=] {
        if (!std::exchange(*settled, true) && aCall.mFailed) {
          aCall.mFailed(aDelivered);
        }
      });
    });
  };
  if (to == nullptr || !to->mAlive) {
    return fail(Latency(), false); // The connection is refused.
  }
  if (!CanConnect(from, *to, aCall.mChannel)) {
    return fail(kCallDeadline, false);
  }
  fail(kCallDeadline, true);
  const auto arrivesAt = DrawArrival(from, *to, aCall.mChannel);
  if (!arrivesAt) {
    return;
  }
  const std::uint64_t receiver = to->mIncarnation;
  const auto answer = [=, this, &from](const action& aReply) {
    if (const auto repliedAt = DrawArrival(*to, from, aCall.mChannel)) {
      At(*repliedAt, [=, this, &from] {
        Arrive(from, sender, [=] {
          if (!std::exchange(*settled, true)) {
            aReply();
          }
        });
      });
    }
  };
  At(*arrivesAt,
     [=, this] { Arrive(*to, receiver, [=] { answer(aCall.mServe()); }); });
}

void
world::Do(entry_process& aFrom, const entry::send_start& aEffect)
{
  agent_process* const to = AgentAt(aEffect.mAddress);
  Call({ &aFrom,
         to,
         channel::Start,
         [this, to, &aFrom, aEffect]() -> action {
           core::start_reply reply;
           WithAgent(*to, [&](agent::effects& aEffects) {
             reply =
               agent::OnStart(*to->mControl, aEffect.mBatch, mNow, aEffects);
           });
           return [this, &aFrom, aEffect, reply] {
             WithEntry(aFrom, [&](entry::effects& aEffects) {
               entry::OnStartReply(
                 *aFrom.mControl, aEffect.mCall, reply, mNow, aEffects);
             });
           };
         },
         [this, &aFrom, aEffect](bool aDelivered) {
           WithEntry(aFrom, [&](entry::effects& aEffects) {
             entry::OnStartFailed(
               *aFrom.mControl, aEffect.mCall, aDelivered, mNow, aEffects);
           });
         } });
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
world::Do(entry_process& aFrom, const entry::send_heartbeat& aEffect)
{
  entry_process* const to = EntryAt(aEffect.mAddress);
  const instant sentAt = mNow;
  Call({ &aFrom,
         to,
         channel::Other,
         [this, to, &aFrom, aEffect, sentAt]() -> action {
           core::heartbeat reply;
           WithEntry(*to, [&](entry::effects& aEffects) {
             reply =
               entry::OnHeartbeat(*to->mControl, aEffect.mBeat, mNow, aEffects);
           });
           return [this, &aFrom, reply, sentAt] {
             WithEntry(aFrom, [&](entry::effects& aEffects) {
               entry::OnHeartbeatReply(
                 *aFrom.mControl, reply, sentAt, mNow, aEffects);
             });
           };
         },
         {} });
}

void
world::Do(agent_process& aFrom, const agent::send_finish& aEffect)
{
  entry_process* const to = EntryAt(aEffect.mEntryAddress);
  const instant sentAt = mNow;
  core::finish_batch batch = aEffect.mFinish;
  if (mOptions.mOldAgents) {
    for (core::task_result& result : batch.mResults) {
      result.mBallot = {};
    }
  }
  Call({ &aFrom,
         to,
         channel::Finish,
         [this, to, &aFrom, aEffect, batch, sentAt]() -> action {
           core::entry_reply reply;
           WithEntry(*to, [&](entry::effects& aEffects) {
             reply = entry::OnFinish(*to->mControl, batch, mNow, aEffects);
           });
           return [this, &aFrom, aEffect, reply, sentAt] {
             WithAgent(aFrom, [&](agent::effects& aEffects) {
               agent::OnFinishAnswered(*aFrom.mControl,
                                       aEffect.mId,
                                       aEffect.mEntryAddress,
                                       reply,
                                       sentAt,
                                       mNow,
                                       aEffects);
             });
           };
         },
         [this, &aFrom, aEffect](bool) {
           WithAgent(aFrom, [&](agent::effects& aEffects) {
             agent::OnFinishFailed(
               *aFrom.mControl, aEffect.mId, mNow, aEffects);
           });
         } });
}

void
world::Do(agent_process& aFrom, const agent::send_load_report& aEffect)
{
  entry_process* const to = EntryAt(aEffect.mEntryAddress);
  const instant sentAt = mNow;
  Call({ &aFrom,
         to,
         channel::Announce,
         [this, to, &aFrom, aEffect, sentAt]() -> action {
           core::entry_reply reply;
           WithEntry(*to, [&](entry::effects& aEffects) {
             reply =
               entry::OnAnnounce(*to->mControl, aEffect.mState, mNow, aEffects);
           });
           return [this, &aFrom, aEffect, reply, sentAt] {
             WithAgent(aFrom, [&](agent::effects& aEffects) {
               agent::OnLoadReportAnswered(*aFrom.mControl,
                                           aEffect.mEntryAddress,
                                           reply,
                                           sentAt,
                                           mNow,
                                           aEffects);
             });
           };
         },
         [this, &aFrom, aEffect](bool) {
           WithAgent(aFrom, [&](agent::effects& aEffects) {
             agent::OnLoadReportFailed(
               *aFrom.mControl, aEffect.mEntryAddress, mNow, aEffects);
           });
         } });
}

} // namespace gooseberry::leased_world
