#include "agent/effect_performer.h"

#include "agent/event_line.h"

#include <memory>
#include <utility>

namespace gooseberry::agentd {

namespace {

using followup = std::optional<control_event>;
using agent::agent_control;
using agent::effects;

void
Count(effect_parts& aParts, const agent::log_event& aEvent)
{
  auto& metrics = aParts.mMetrics;
  switch (aEvent.mEvent) {
    case agent::agent_event::Admission:
      if (aEvent.mRepeat) {
        metrics.CountMessages("repeat");
        aParts.mMetrics.CountWastedMessages();
      } else if (aEvent.mVerdict == core::start_verdict::Accepted) {
        metrics.CountMessages("start");
      } else {
        metrics.CountMessages("refused");
        aParts.mMetrics.CountRefusal(
          core::kStartVerdictNames.NameOf(aEvent.mVerdict));
        aParts.mMetrics.CountWastedMessages();
      }
      return;
    case agent::agent_event::TaskStarted:
      return aParts.mMetrics.CountStarts();
    case agent::agent_event::Fence:
      return metrics.CountMessages("fence");
    case agent::agent_event::Cancel:
      return metrics.CountMessages("cancel");
    case agent::agent_event::Configuration:
      return aParts.mMetrics.SetGeneration(aEvent.mGeneration);
    default:
      return;
  }
}

/** Carries out each kind of effect. */
struct performer
{
  effect_parts& mParts;

  followup operator()(agent::run_task& aEffect) const
  {
    mParts.mRunner.Post(std::move(aEffect));
    return std::nullopt;
  }

  followup operator()(agent::call_target& aEffect) const
  {
    if (mParts.mLink != nullptr) {
      mParts.mLink->Post(std::move(aEffect.mCall));
    }
    return std::nullopt;
  }

  followup operator()(agent::send_finish& aEffect) const
  {
    mParts.mMetrics.CountMessages("finish", aEffect.mFinish.mResults.size());
    const auto id = aEffect.mId;
    const auto address = aEffect.mEntryAddress;
    const auto fail = [id](agent_control& aState, auto aNow, effects& aOut) {
      agent::OnFinishFailed(aState, id, aNow, aOut);
    };
    const auto finish =
      std::make_shared<core::finish_batch>(std::move(aEffect.mFinish));
    const auto call = [&control = mParts.mControl, id, address, fail, finish](
                        io::entry_client& aClient) {
      const auto result = aClient.Finish(*finish);
      if (const auto* reply = std::get_if<core::entry_reply>(&result)) {
        control.Post([=, answer = *reply](agent_control& aState,
                                          core::instant aNow,
                                          effects& aOut) {
          agent::OnFinishAnswered(
            aState, id, address, answer, finish->mState.mTimestamp, aNow, aOut);
        });
      } else {
        control.Post(fail);
      }
    };
    return mParts.mEntries.Post(address, io::lane::Bulk, call) ? followup()
                                                               : fail;
  }

  followup operator()(agent::send_load_report& aEffect) const
  {
    mParts.mMetrics.CountMessages("announce");
    const auto address = aEffect.mEntryAddress;
    const auto fail =
      [address](agent_control& aState, auto aNow, effects& aOut) {
        agent::OnLoadReportFailed(aState, address, aNow, aOut);
      };
    const auto state =
      std::make_shared<core::agent_state>(std::move(aEffect.mState));
    const auto call = [&control = mParts.mControl, address, fail, state](
                        io::entry_client& aClient) {
      const auto result = aClient.Announce(*state);
      if (const auto* reply = std::get_if<core::entry_reply>(&result)) {
        control.Post([=, answer = *reply](agent_control& aState,
                                          core::instant aNow,
                                          effects& aOut) {
          agent::OnLoadReportAnswered(
            aState, address, answer, state->mTimestamp, aNow, aOut);
        });
      } else {
        control.Post(fail);
      }
    };
    return mParts.mEntries.Post(address, io::lane::Control, call) ? followup()
                                                                  : fail;
  }

  followup operator()(agent::copy_fences_from& aEffect) const
  {
    const auto self = mParts.mSettings.mControl.mAgent;
    const auto call = [&control = mParts.mControl,
                       self,
                       asked = aEffect.mAgent](io::agent_client& aClient) {
      const auto result = aClient.CopyFences(self);
      if (const auto* reply = std::get_if<core::copy_fences_reply>(&result)) {
        control.Post([asked, answer = *reply](agent_control& aState,
                                              core::instant aNow,
                                              effects& aOut) {
          agent::OnCopiedFences(aState, asked, answer, aNow, aOut);
        });
      }
    };
    // A question that finds no room is asked again at the next tick.
    static_cast<void>(
      mParts.mAgents.Post(aEffect.mAddress, io::lane::Control, call));
    return std::nullopt;
  }

  followup operator()(agent::read_rows&) const
  {
    mParts.mStore.Post(read_members{});
    return std::nullopt;
  }

  followup operator()(agent::read_configuration&) const
  {
    mParts.mStore.Post(read_configuration{});
    return std::nullopt;
  }

  followup operator()(agent::write_row&) const
  {
    const auto& control = mParts.mSettings.mControl;
    mParts.mStore.Post(write_member{ { membership::role::Agent,
                                       control.mAgent,
                                       control.mAddress,
                                       control.mFailureDomain } });
    return std::nullopt;
  }

  followup operator()(agent::left&) const
  {
    mParts.mOnLeft();
    return std::nullopt;
  }

  followup operator()(agent::log_event& aEffect) const
  {
    Count(mParts, aEffect);
    if (mParts.mSettings.mLogDecisions || !IsPerTask(aEffect.mEvent)) {
      WriteLine(aEffect);
    }
    return std::nullopt;
  }
};

} // namespace

std::optional<control_event>
Perform(effect_parts& aParts, agent::effect aEffect)
{
  return std::visit(performer{ aParts }, aEffect);
}

} // namespace gooseberry::agentd
