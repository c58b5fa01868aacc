/**
 * Drives one entry and one agent in one thread, with no daemon, socket or
 * clock: the functions of the library are fed by hand, and what they ask for
 * is carried out by hand. Ends with status 0 if the job comes back whole.
 */

#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/entry/entry_control.h"

#include <cstdlib>
#include <iostream>
#include <utility>

namespace {

using namespace gooseberry;
using namespace std::chrono_literals;

constexpr const char* kConfiguration = "[state]\n"
                                       "format = 1\n"
                                       "name = example\n"
                                       "[failure_domain here]\n"
                                       "region = near\n"
                                       "state = in\n"
                                       "[service plans]\n"
                                       "targets = *\n";

/** The two control states, the fake clock and the effects to carry out. */
struct embedder
{
  core::instant mNow{ 1000s };
  entry::effects mFromEntry;
  agent::effects mFromAgent;
  entry::entry_control mEntry;
  agent::agent_control mAgent;
  bool mWhole = false;
};

entry::entry_options
EntryOptions()
{
  entry::entry_options options;
  options.mName = "entry";
  options.mAddress = "entry:1";
  return options;
}

agent::control_settings
AgentSettings()
{
  agent::control_settings settings;
  settings.mAgent = { "agent", 2 };
  settings.mAddress = "agent:1";
  settings.mFailureDomain = "here";
  return settings;
}

std::vector<membership::member_row>
Rows()
{
  return { { membership::role::Entry, { "entry", 1 }, "entry:1", "here" },
           { membership::role::Agent, { "agent", 2 }, "agent:1", "here" } };
}

/** Carries out one effect of the entry; most need nothing in this example. */
void
Do(embedder& aWorld, const entry::effect& aEffect)
{
  if (const auto* send = std::get_if<entry::send_start>(&aEffect)) {
    const auto reply = agent::OnStart(
      aWorld.mAgent, send->mBatch, aWorld.mNow, aWorld.mFromAgent);
    entry::OnStartReply(
      aWorld.mEntry, send->mCall, reply, aWorld.mNow, aWorld.mFromEntry);
  } else if (const auto* answer = std::get_if<entry::answer_caller>(&aEffect)) {
    aWorld.mWhole = answer->mAnswer.mOutcome == core::job_outcome::Complete;
    for (const std::string& result : answer->mAnswer.mResults) {
      std::cout << result << '\n';
    }
  }
}

/** Carries out one effect of the agent. */
void
Do(embedder& aWorld, const agent::effect& aEffect)
{
  if (const auto* run = std::get_if<agent::run_task>(&aEffect)) {
    aWorld.mNow += 50ms; // The target takes its time.
    agent::OnTaskEnded(aWorld.mAgent,
                       { run->mStart.mTask,
                         run->mStart.mTry,
                         core::task_end::Succeeded,
                         50ms,
                         "plan " + std::to_string(run->mStart.mTask.mIndex) },
                       aWorld.mNow,
                       aWorld.mFromAgent);
  } else if (const auto* finish = std::get_if<agent::send_finish>(&aEffect)) {
    const auto reply = entry::OnFinish(
      aWorld.mEntry, finish->mFinish, aWorld.mNow, aWorld.mFromEntry);
    agent::OnFinishAnswered(aWorld.mAgent,
                            finish->mId,
                            finish->mEntryAddress,
                            reply,
                            aWorld.mNow,
                            aWorld.mNow,
                            aWorld.mFromAgent);
  } else if (const auto* say = std::get_if<agent::send_load_report>(&aEffect)) {
    const auto reply = entry::OnAnnounce(
      aWorld.mEntry, say->mState, aWorld.mNow, aWorld.mFromEntry);
    agent::OnLoadReportAnswered(aWorld.mAgent,
                                say->mEntryAddress,
                                reply,
                                aWorld.mNow,
                                aWorld.mNow,
                                aWorld.mFromAgent);
  }
}

/** Lets time pass and carries out what is asked for, for a while. */
void
RunFor(embedder& aWorld, core::duration aTime)
{
  const core::instant end = aWorld.mNow + aTime;
  while (aWorld.mNow < end) {
    aWorld.mNow += 5ms;
    entry::Tick(aWorld.mEntry, aWorld.mNow, aWorld.mFromEntry);
    agent::Tick(aWorld.mAgent, aWorld.mNow, aWorld.mFromAgent);
    while (!aWorld.mFromEntry.empty() || !aWorld.mFromAgent.empty()) {
      for (const auto& effect : std::exchange(aWorld.mFromEntry, {})) {
        Do(aWorld, effect);
      }
      for (const auto& effect : std::exchange(aWorld.mFromAgent, {})) {
        Do(aWorld, effect);
      }
    }
  }
}

/** Registers both, and gives the entry its configuration. */
void
Join(embedder& aWorld)
{
  entry::OnMemberWritten(aWorld.mEntry, true, aWorld.mNow, aWorld.mFromEntry);
  entry::OnMembers(
    aWorld.mEntry, Rows(), aWorld.mNow, aWorld.mNow, aWorld.mFromEntry);
  entry::OnConfigurationRead(aWorld.mEntry,
                             { { 1, kConfiguration }, "request", "me", 1 },
                             aWorld.mNow,
                             aWorld.mNow,
                             aWorld.mFromEntry);
  agent::OnRowWritten(aWorld.mAgent, aWorld.mNow, aWorld.mFromAgent);
  agent::OnRows(aWorld.mAgent, Rows(), aWorld.mNow, aWorld.mFromAgent);
  agent::OnTargetRegistered(aWorld.mAgent,
                            { "press-1", "press-1:80", { "plans" }, 2, 60s },
                            aWorld.mNow,
                            aWorld.mFromAgent);
}

} // namespace

int
main()
{
  embedder world;
  world.mEntry =
    entry::MakeEntry(EntryOptions(), 1, 7, world.mNow, world.mFromEntry);
  world.mAgent = agent::MakeControl(AgentSettings());
  Join(world);
  RunFor(world, 100ms);

  job::submission submission;
  submission.mKey = "office/cover-tabs";
  submission.mService = "plans";
  submission.mTeam = "office";
  submission.mAttempt = job::kFirstAttempt;
  submission.mDeadline = 10s;
  submission.mTasks.assign(3, { "plan", 50ms, "payload" });
  constexpr std::uint64_t kToken = 1;
  entry::OnSubmit(
    world.mEntry, kToken, submission, world.mNow, world.mFromEntry);
  RunFor(world, 1s);
  return world.mWhole ? EXIT_SUCCESS : EXIT_FAILURE;
}
