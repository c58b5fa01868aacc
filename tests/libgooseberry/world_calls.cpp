#include "world.h"

/** Calls that the processes of the cluster alone make. */
namespace gooseberry::world {

void
cluster::Do(entry_process& aFrom, const entry::send_cancel& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call({ &aFrom,
         to,
         channel::Cancel,
         [this, to, aEffect]() -> action {
           WithAgent(*to, [&](agent::effects& aEffects) {
             agent::OnCancel(*to->mControl, aEffect.mBatch, mNow, aEffects);
           });
           return [] {};
         },
         {} });
}

void
cluster::Do(entry_process& aFrom, const entry::send_fence& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call(
    { &aFrom,
      to,
      channel::Other,
      [this, to, &aFrom, aEffect]() -> action {
        std::vector<core::fence_reply> replies;
        WithAgent(*to, [&](agent::effects& aEffects) {
          for (const core::fence_request& request : aEffect.mRequests) {
            replies.push_back(
              agent::OnFence(*to->mControl, request, mNow, aEffects));
          }
        });
        return [this, &aFrom, aEffect, replies] {
          WithEntry(aFrom, [&](entry::effects& aEffects) {
            entry::OnFenceReplies(
              *aFrom.mControl, aEffect.mAgent, replies, mNow, aEffects);
          });
        };
      },
      [this, &aFrom, aEffect](bool) {
        WithEntry(aFrom, [&](entry::effects& aEffects) {
          entry::OnFenceFailed(
            *aFrom.mControl, aEffect.mAgent, aEffect.mRequests, mNow, aEffects);
        });
      } });
}

void
cluster::Do(entry_process& aFrom, const entry::send_locate& aEffect)
{
  entry_process* to = EntryAt(aEffect.mAddress);
  Call(
    { &aFrom,
      to,
      channel::Other,
      [this, to, &aFrom, aEffect]() -> action {
        std::vector<core::locate_reply> replies;
        WithEntry(*to, [&](entry::effects& aEffects) {
          replies =
            entry::OnLocate(*to->mControl, aEffect.mRequests, mNow, aEffects);
        });
        return [this, &aFrom, aEffect, replies] {
          WithEntry(aFrom, [&](entry::effects& aEffects) {
            entry::OnLocateReplies(
              *aFrom.mControl, aEffect.mEntry, replies, mNow, aEffects);
          });
        };
      },
      [this, &aFrom, aEffect](bool) {
        WithEntry(aFrom, [&](entry::effects& aEffects) {
          entry::OnLocateFailed(
            *aFrom.mControl, aEffect.mEntry, aEffect.mRequests, mNow, aEffects);
        });
      } });
}

void
cluster::Do(entry_process& aFrom, const entry::send_deliver& aEffect)
{
  entry_process* to = EntryAt(aEffect.mAddress);
  Call({ &aFrom,
         to,
         channel::Other,
         [this, to, aEffect]() -> action {
           WithEntry(*to, [&](entry::effects& aEffects) {
             entry::OnDeliver(*to->mControl, aEffect.mRequest, mNow, aEffects);
           });
           return [] {};
         },
         {} });
}

void
cluster::Do(entry_process& aFrom, const entry::copy_promises& aEffect)
{
  entry_process* to = EntryAt(aEffect.mAddress);
  Call({ &aFrom,
         to,
         channel::Other,
         [this, to, &aFrom]() -> action {
           const auto reply =
             entry::OnCopyPromises(*to->mControl, aFrom.mControl->mSelf);
           return [this, &aFrom, reply] {
             WithEntry(aFrom, [&](entry::effects& aEffects) {
               entry::OnPromisesCopied(*aFrom.mControl, reply, mNow, aEffects);
             });
           };
         },
         {} });
}

void
cluster::Do(entry_process& aFrom, const entry::push_configuration& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call({ &aFrom,
         to,
         channel::Other,
         [this, to, &aFrom, aEffect]() -> action {
           core::generation known = 0;
           WithAgent(*to, [&](agent::effects& aEffects) {
             known = agent::OnConfiguration(
               *to->mControl, aEffect.mConfiguration, mNow, aEffects);
           });
           return [this, &aFrom, aEffect, known] {
             WithEntry(aFrom, [&](entry::effects& aEffects) {
               entry::OnAgentGeneration(
                 *aFrom.mControl, aEffect.mAgent, known, mNow, aEffects);
             });
           };
         },
         {} });
}

void
cluster::Do(entry_process& aFrom, const entry::write_configuration& aEffect)
{
  const auto answer = [this, &aFrom, request = aEffect.mRow.mRequest](
                        const entry::write_result& aResult) -> action {
    return [this, &aFrom, request, aResult] {
      WithEntry(aFrom, [&](entry::effects& aEffects) {
        entry::OnConfigurationWritten(
          *aFrom.mControl, request, aResult, mNow, aEffects);
      });
    };
  };
  CallStore(
    aFrom,
    [this, aEffect, answer]() {
      if (mStored.mRowVersion != aEffect.mRow.mRowVersion) {
        return answer({ entry::apply_status::Conflict, mStored, {} });
      }
      mStored = aEffect.mRow;
      ++mStored.mRowVersion;
      RecordStoredDomains();
      return answer({ entry::apply_status::Applied, mStored, {} });
    },
    answer({ entry::apply_status::Unsettled, {}, {} }));
}

void
cluster::Do(agent_process& aFrom, const agent::copy_fences_from& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call({ &aFrom,
         to,
         channel::Other,
         [this, to, &aFrom, aEffect]() -> action {
           const auto reply = agent::OnCopyFences(*to->mControl);
           return [this, &aFrom, aEffect, reply] {
             WithAgent(aFrom, [&](agent::effects& aEffects) {
               agent::OnCopiedFences(
                 *aFrom.mControl, aEffect.mAgent, reply, mNow, aEffects);
             });
           };
         },
         {} });
}

void
cluster::Do(agent_process& aFrom, const agent::write_row&)
{
  const membership::member_row row{ membership::role::Agent,
                                    { aFrom.mName, aFrom.mIncarnation },
                                    "agent:" + aFrom.mName,
                                    DomainOf(aFrom) };
  CallStore(
    aFrom,
    [this, &aFrom, row]() -> action {
      mRows[membership::RowKey(row)] = row;
      return [this, &aFrom] {
        WithAgent(aFrom, [&](agent::effects& aEffects) {
          agent::OnRowWritten(*aFrom.mControl, mNow, aEffects);
        });
      };
    },
    [] {});
}

} // namespace gooseberry::world
