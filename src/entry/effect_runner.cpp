#include "entry/effect_runner.h"

#include "libgooseberryio/clock.h"
#include "libgooseberryio/log.h"

namespace gooseberry::entry_program {

runner::runner(const io::peer_pool_settings& aPeers,
               std::unique_ptr<io::table_store> aStore,
               caller_waiters& aCallers,
               operator_waiters& aOperators)
  : mCallers(aCallers)
  , mOperators(aOperators)
  , mAgents(aPeers)
  , mEntries(aPeers)
  , mPlatform(std::move(aStore))
{
}

void
runner::Run(const entry::effects& aEffects)
{
  for (const entry::effect& effect : aEffects) {
    std::visit([this](const auto& aEffect) { Do(aEffect); }, effect);
  }
}

void
runner::Stop()
{
  mAgents.Stop();
  mEntries.Stop();
  mPlatform.Stop();
}

void
runner::Feed(input aInput)
{
  if (!mLoop->Post(std::move(aInput))) {
    io::log_event("input_dropped", io::log_level::Warning);
  }
}

void
runner::Do(const entry::send_start& aEffect)
{
  const std::uint64_t call = aEffect.mCall;
  const bool posted = mAgents.Post(
    aEffect.mAddress,
    io::lane::Bulk,
    [this, call, batch = aEffect.mBatch](io::agent_client& aClient) {
      const auto result = aClient.Start(batch);
      Feed([call, result](auto& aControl, auto aNow, auto& aEffects) {
        if (const auto* error = std::get_if<io::call_error>(&result)) {
          entry::OnStartFailed(
            aControl, call, error->mDelivered, aNow, aEffects);
        } else {
          entry::OnStartReply(aControl,
                              call,
                              std::get<core::start_reply>(result),
                              aNow,
                              aEffects);
        }
      });
    });
  if (!posted) {
    Feed([call](auto& aControl, auto aNow, auto& aEffects) {
      entry::OnStartFailed(aControl, call, false, aNow, aEffects);
    });
  }
}

void
runner::Do(const entry::send_cancel& aEffect)
{
  const auto failed = [address = aEffect.mAddress, jobs = aEffect.mBatch.mJobs](
                        auto& aControl, auto aNow, auto& aEffects) {
    static_cast<void>(aNow);
    static_cast<void>(aEffects);
    entry::OnCancelFailed(aControl, address, jobs);
  };
  const bool posted = mAgents.Post(
    aEffect.mAddress,
    io::lane::Control,
    [this, failed, address = aEffect.mAddress, batch = aEffect.mBatch](
      io::agent_client& aClient) {
      const auto result = aClient.Cancel(batch);
      if (std::holds_alternative<io::call_error>(result)) {
        return Feed(failed);
      }
      Feed([address,
            jobs = batch.mJobs](auto& aControl, auto aNow, auto& aEffects) {
        static_cast<void>(aNow);
        static_cast<void>(aEffects);
        entry::OnCancelAnswered(aControl, address, jobs);
      });
    });
  if (!posted) {
    Feed(failed);
  }
}

void
runner::Do(const entry::send_fence& aEffect)
{
  static_cast<void>(mAgents.Post(
    aEffect.mAddress,
    io::lane::Control,
    [this, effect = aEffect](io::agent_client& aClient) {
      const auto result = aClient.Fence(effect.mRequests);
      Feed([effect, result](auto& aControl, auto aNow, auto& aEffects) {
        if (std::holds_alternative<io::call_error>(result)) {
          entry::OnFenceFailed(
            aControl, effect.mAgent, effect.mRequests, aNow, aEffects);
        } else {
          entry::OnFenceReplies(
            aControl,
            effect.mAgent,
            std::get<std::vector<core::fence_reply>>(result),
            aNow,
            aEffects);
        }
      });
    }));
}

void
runner::Do(const entry::send_locate& aEffect)
{
  static_cast<void>(mEntries.Post(
    aEffect.mAddress,
    io::lane::Control,
    [this, effect = aEffect](io::entry_client& aClient) {
      const auto result = aClient.Locate(effect.mRequests);
      Feed([effect, result](auto& aControl, auto aNow, auto& aEffects) {
        if (std::holds_alternative<io::call_error>(result)) {
          entry::OnLocateFailed(
            aControl, effect.mEntry, effect.mRequests, aNow, aEffects);
        } else {
          entry::OnLocateReplies(
            aControl,
            effect.mEntry,
            std::get<std::vector<core::locate_reply>>(result),
            aNow,
            aEffects);
        }
      });
    }));
}

void
runner::Do(const entry::send_heartbeat& aEffect)
{
  static_cast<void>(mEntries.Post(
    aEffect.mAddress,
    io::lane::Control,
    [this, beat = aEffect.mBeat](io::entry_client& aClient) {
      const core::instant sentAt = io::Now();
      const auto result = aClient.Beat(beat);
      if (const auto* reply = std::get_if<core::heartbeat>(&result)) {
        Feed(
          [reply = *reply, sentAt](auto& aControl, auto aNow, auto& aEffects) {
            entry::OnHeartbeatReply(aControl, reply, sentAt, aNow, aEffects);
          });
      }
    }));
}

void
runner::Do(const entry::send_deliver& aEffect)
{
  static_cast<void>(
    mEntries.Post(aEffect.mAddress,
                  io::lane::Bulk,
                  [request = aEffect.mRequest](io::entry_client& aClient) {
                    static_cast<void>(aClient.Deliver(request));
                  }));
}

void
runner::Do(const entry::push_configuration& aEffect)
{
  static_cast<void>(mAgents.Post(
    aEffect.mAddress,
    io::lane::Control,
    [this, effect = aEffect](io::agent_client& aClient) {
      const auto result = aClient.Apply(effect.mConfiguration);
      if (const auto* known = std::get_if<core::generation>(&result)) {
        Feed([name = effect.mAgent,
              known = *known](auto& aControl, auto aNow, auto& aEffects) {
          entry::OnAgentGeneration(aControl, name, known, aNow, aEffects);
        });
      }
    }));
}

void
runner::Do(const entry::copy_promises& aEffect)
{
  static_cast<void>(mEntries.Post(
    aEffect.mAddress, io::lane::Control, [this](io::entry_client& aClient) {
      const auto result = aClient.CopyNotes({});
      if (const auto* reply = std::get_if<core::copy_notes_reply>(&result)) {
        Feed([reply = *reply](auto& aControl, auto aNow, auto& aEffects) {
          entry::OnPromisesCopied(aControl, reply, aNow, aEffects);
        });
      }
    }));
}

void
runner::Do(const entry::answer_caller& aEffect)
{
  mCallers.Resolve(aEffect.mToken, aEffect.mAnswer);
}

void
runner::Do(const entry::answer_operator& aEffect)
{
  mOperators.Resolve(aEffect.mToken, aEffect.mResult);
}

void
runner::Do(const entry::log_line& aEffect)
{
  io::log_event line(aEffect.mEvent);
  for (const entry::log_field& field : aEffect.mFields) {
    line.Add(field.mKey, field.mValue);
  }
}

void
runner::Do(const entry::drained& aEffect)
{
  static_cast<void>(aEffect);
  mDrained = true;
}

} // namespace gooseberry::entry_program
