#include "agent/event_line.h"

#include "libgooseberryio/log.h"

namespace gooseberry::agentd {

namespace {

using agent::agent_event;

void
AddTask(io::log_event& aLine, const agent::log_event& aEvent)
{
  aLine.Add("job", aEvent.mTask.mJob)
    .Add("task", aEvent.mTask.mIndex)
    .Add("try", aEvent.mTry)
    .Add("target", aEvent.mTarget);
}

void
AddAdmission(io::log_event& aLine, const agent::log_event& aEvent)
{
  AddTask(aLine, aEvent);
  aLine.Add("placement", aEvent.mPlacement)
    .Add("verdict", core::kStartVerdictNames.NameOf(aEvent.mVerdict))
    .Add("queued", aEvent.mQueued)
    .Add("repeat", aEvent.mRepeat)
    .Add("entry", aEvent.mPeer)
    .Add("entry_generation", aEvent.mGeneration);
}

void
AddEnd(io::log_event& aLine, const agent::log_event& aEvent)
{
  AddTask(aLine, aEvent);
  aLine.Add("end", core::kTaskEndNames.NameOf(aEvent.mEnd))
    .Add("run_ms", core::ToMilliseconds(aEvent.mRunTime));
  if (!aEvent.mDetail.empty()) {
    aLine.Add("why", aEvent.mDetail);
  }
}

io::log_level
LevelOf(agent_event aEvent)
{
  switch (aEvent) {
    case agent_event::ConfigurationRefused:
      return io::log_level::Error;
    case agent_event::TaskStarted:
    case agent_event::ResultsAcknowledged:
      return io::log_level::Debug;
    default:
      return io::log_level::Info;
  }
}

} // namespace

bool
IsPerTask(agent_event aEvent)
{
  return aEvent == agent_event::Admission ||
         aEvent == agent_event::TaskStarted ||
         aEvent == agent_event::TaskEnded ||
         aEvent == agent_event::TaskReturned;
}

void
WriteLine(const agent::log_event& aEvent)
{
  const auto level = LevelOf(aEvent.mEvent);
  if (!io::IsLogged(level)) {
    return;
  }
  io::log_event line(agent::kAgentEventNames.NameOf(aEvent.mEvent), level);
  switch (aEvent.mEvent) {
    case agent_event::Admission:
      return AddAdmission(line, aEvent);
    case agent_event::TaskStarted:
      return AddTask(line, aEvent);
    case agent_event::TaskEnded:
      return AddEnd(line, aEvent);
    case agent_event::TaskStopped:
      AddTask(line, aEvent);
      line.Add("why", aEvent.mDetail)
        .Add("entry", aEvent.mPeer)
        .Add("evidence_age_ms", core::ToMilliseconds(aEvent.mLastContactAge));
      return;
    case agent_event::TaskReturned:
      AddTask(line, aEvent);
      line.Add("placement", aEvent.mPlacement)
        .Add("why", core::kStartVerdictNames.NameOf(aEvent.mVerdict))
        .Add("entry", aEvent.mPeer);
      return;
    case agent_event::ResultsAcknowledged:
      line.Add("entry", aEvent.mPeer).Add("results", aEvent.mCount);
      return;
    case agent_event::Fence:
    case agent_event::Cancel:
      line.Add("job", aEvent.mTask.mJob).Add("entry", aEvent.mPeer);
      return;
    case agent_event::TargetJoined:
    case agent_event::TargetLeaving:
    case agent_event::TargetGone:
    case agent_event::TargetChanged:
      line.Add("target", aEvent.mPeer).Add("detail", aEvent.mDetail);
      return;
    case agent_event::Configuration:
    case agent_event::ConfigurationRefused:
      line.Add("generation", aEvent.mGeneration).Add("detail", aEvent.mDetail);
      return;
    case agent_event::Joining:
    case agent_event::Open:
    case agent_event::Leaving:
      return;
  }
}

} // namespace gooseberry::agentd
