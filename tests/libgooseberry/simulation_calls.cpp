#include "simulation.h"

#include <utility>

/** Calls between processes and to the store, as both worlds make them. */
namespace gooseberry::simulation {

using namespace std::chrono_literals;

environment::open_call_ptr
environment::Open(outgoing_call aCall)
{
  const std::uint64_t caller = aCall.mFrom->mIncarnation;
  return std::make_shared<open_call>(
    open_call{ std::move(aCall), caller, false });
}

void
environment::ReplyAt(instant aWhen,
                     const open_call_ptr& aCall,
                     const action& aReply)
{
  At(aWhen, [this, aCall, aReply] {
    Arrive(*aCall->mCall.mFrom, aCall->mCaller, [aCall, aReply] {
      if (!std::exchange(aCall->mIsSettled, true)) {
        aReply();
      }
    });
  });
}

void
environment::FailAfter(duration aTime,
                       const open_call_ptr& aCall,
                       bool aDelivered)
{
  At(mNow + aTime, [this, aCall, aDelivered] {
    Deliver(*aCall->mCall.mFrom, aCall->mCaller, [aCall, aDelivered] {
      if (!std::exchange(aCall->mIsSettled, true) && aCall->mCall.mFailed) {
        aCall->mCall.mFailed(aDelivered);
      }
    });
  });
}

void
environment::Do(entry_process& aFrom, const entry::send_start& aEffect)
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
environment::Do(entry_process& aFrom, const entry::send_heartbeat& aEffect)
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
environment::Do(agent_process& aFrom, const agent::send_finish& aEffect)
{
  entry_process* const to = EntryAt(aEffect.mEntryAddress);
  const instant sentAt = mNow;
  Call({ &aFrom,
         to,
         channel::Finish,
         [this, to, &aFrom, aEffect, sentAt]() -> action {
           core::entry_reply reply;
           WithEntry(*to, [&](entry::effects& aEffects) {
             reply =
               entry::OnFinish(*to->mControl, aEffect.mFinish, mNow, aEffects);
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
environment::Do(agent_process& aFrom, const agent::send_load_report& aEffect)
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

void
environment::CallStore(process& aFrom,
                       const std::function<action()>& aServe,
                       const action& aFailed)
{
  const std::uint64_t caller = aFrom.mIncarnation;
  const bool reached = ReachesStore(aFrom);
  At(mNow + 1ms + Latency(), [=, this, &aFrom] {
    const action reply = reached ? aServe() : aFailed;
    At(mNow + Latency(), [=, this, &aFrom] { Arrive(aFrom, caller, reply); });
  });
}

std::vector<membership::member_row>
environment::StoredRows() const
{
  std::vector<membership::member_row> rows;
  for (const auto& [key, row] : mRows) {
    rows.push_back(row);
  }
  return rows;
}

void
environment::Do(entry_process& aFrom, const entry::read_members&)
{
  const instant sentAt = mNow;
  CallStore(
    aFrom,
    [this, &aFrom, sentAt]() -> action {
      return [this, &aFrom, rows = StoredRows(), sentAt] {
        WithEntry(aFrom, [&](entry::effects& aEffects) {
          entry::OnMembers(*aFrom.mControl, rows, sentAt, mNow, aEffects);
        });
      };
    },
    [this, &aFrom] {
      WithEntry(aFrom, [&](entry::effects& aEffects) {
        entry::OnMembersFailed(*aFrom.mControl, mNow, aEffects);
      });
    });
}

void
environment::Do(entry_process& aFrom, const entry::write_member& aEffect)
{
  const auto answer = [this, &aFrom](bool aStands) -> action {
    return [this, &aFrom, aStands] {
      WithEntry(aFrom, [&](entry::effects& aEffects) {
        entry::OnMemberWritten(*aFrom.mControl, aStands, mNow, aEffects);
      });
    };
  };
  CallStore(
    aFrom,
    [this, aEffect, answer]() {
      mRows[membership::RowKey(aEffect.mRow)] = aEffect.mRow;
      return answer(true);
    },
    answer(false));
}

void
environment::Do(entry_process& aFrom, const entry::delete_member& aEffect)
{
  CallStore(
    aFrom,
    [this, aEffect]() -> action {
      mRows.erase(membership::RowKey(aEffect.mRow));
      return [] {};
    },
    [] {});
}

void
environment::Do(entry_process& aFrom, const entry::read_configuration&)
{
  const instant sentAt = mNow;
  CallStore(
    aFrom,
    [this, &aFrom, sentAt]() -> action {
      return [this, &aFrom, row = mStored, sentAt] {
        WithEntry(aFrom, [&](entry::effects& aEffects) {
          entry::OnConfigurationRead(
            *aFrom.mControl, row, sentAt, mNow, aEffects);
        });
      };
    },
    [] {});
}

void
environment::Do(agent_process& aFrom, const agent::read_rows&)
{
  CallStore(
    aFrom,
    [this, &aFrom]() -> action {
      return [this, &aFrom, rows = StoredRows()] {
        WithAgent(aFrom, [&](agent::effects& aEffects) {
          agent::OnRows(*aFrom.mControl, rows, mNow, aEffects);
        });
      };
    },
    [] {});
}

void
environment::Do(agent_process& aFrom, const agent::read_configuration&)
{
  const instant sentAt = mNow;
  CallStore(
    aFrom,
    [this, &aFrom, sentAt]() -> action {
      return [this, &aFrom, row = mStored, sentAt] {
        WithAgent(aFrom, [&](agent::effects& aEffects) {
          agent::OnConfigurationRead(*aFrom.mControl,
                                     row.mConfiguration,
                                     row.mNumbering,
                                     sentAt,
                                     mNow,
                                     aEffects);
        });
      };
    },
    [] {});
}

} // namespace gooseberry::simulation
