#include "world.h"

#include <algorithm>

/** Calls between the processes of the cluster, and to its store. */
namespace gooseberry::world {

void
cluster::Do(entry_process& aFrom, const entry::send_start& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call(
    aFrom,
    to,
    [this, to, &aFrom, aEffect]() -> action {
      core::start_reply reply;
      WithAgent(*to, [&](agent::effects& aEffects) {
        reply = agent::OnStart(*to->mControl, aEffect.mBatch, mNow, aEffects);
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
    });
}

void
cluster::Do(entry_process& aFrom, const entry::send_cancel& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call(aFrom,
       to,
       [this, to, aEffect]() -> action {
         WithAgent(*to, [&](agent::effects& aEffects) {
           agent::OnCancel(*to->mControl, aEffect.mBatch, mNow, aEffects);
         });
         return [] {};
       },
       {});
}

void
cluster::Do(entry_process& aFrom, const entry::send_fence& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call(
    aFrom,
    to,
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
    });
}

void
cluster::Do(entry_process& aFrom, const entry::send_locate& aEffect)
{
  entry_process* to = EntryAt(aEffect.mAddress);
  Call(
    aFrom,
    to,
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
    });
}

void
cluster::Do(entry_process& aFrom, const entry::send_heartbeat& aEffect)
{
  entry_process* to = EntryAt(aEffect.mAddress);
  const instant sentAt = mNow;
  Call(aFrom,
       to,
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
       {});
}

void
cluster::Do(entry_process& aFrom, const entry::send_deliver& aEffect)
{
  entry_process* to = EntryAt(aEffect.mAddress);
  Call(aFrom,
       to,
       [this, to, aEffect]() -> action {
         WithEntry(*to, [&](entry::effects& aEffects) {
           entry::OnDeliver(*to->mControl, aEffect.mRequest, mNow, aEffects);
         });
         return [] {};
       },
       {});
}

void
cluster::Do(entry_process& aFrom, const entry::copy_promises& aEffect)
{
  entry_process* to = EntryAt(aEffect.mAddress);
  Call(aFrom,
       to,
       [this, to, &aFrom]() -> action {
         const auto reply =
           entry::OnCopyPromises(*to->mControl, aFrom.mControl->mSelf);
         return [this, &aFrom, reply] {
           WithEntry(aFrom, [&](entry::effects& aEffects) {
             entry::OnPromisesCopied(*aFrom.mControl, reply, mNow, aEffects);
           });
         };
       },
       {});
}

void
cluster::Do(entry_process& aFrom, const entry::push_configuration& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call(aFrom,
       to,
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
       {});
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
cluster::Do(agent_process& aFrom, const agent::send_finish& aEffect)
{
  entry_process* to = EntryAt(aEffect.mEntryAddress);
  const instant sentAt = mNow;
  Call(
    aFrom,
    to,
    [this, to, &aFrom, aEffect, sentAt]() -> action {
      core::entry_reply reply;
      WithEntry(*to, [&](entry::effects& aEffects) {
        reply = entry::OnFinish(*to->mControl, aEffect.mFinish, mNow, aEffects);
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
        agent::OnFinishFailed(*aFrom.mControl, aEffect.mId, mNow, aEffects);
      });
    });
}

void
cluster::Do(agent_process& aFrom, const agent::send_load_report& aEffect)
{
  entry_process* to = EntryAt(aEffect.mEntryAddress);
  const instant sentAt = mNow;
  Call(
    aFrom,
    to,
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
    });
}

void
cluster::Do(agent_process& aFrom, const agent::copy_fences_from& aEffect)
{
  agent_process* to = AgentAt(aEffect.mAddress);
  Call(aFrom,
       to,
       [this, to, &aFrom, aEffect]() -> action {
         const auto reply = agent::OnCopyFences(*to->mControl);
         return [this, &aFrom, aEffect, reply] {
           WithAgent(aFrom, [&](agent::effects& aEffects) {
             agent::OnCopiedFences(
               *aFrom.mControl, aEffect.mAgent, reply, mNow, aEffects);
           });
         };
       },
       {});
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
