#include "agent/agent_daemon.h"
#include "libgooseberryio/agent_settings.h"
#include "libgooseberryio/program.h"

int
main(int aCount, char** aWords)
{
  using namespace gooseberry;
  const io::program program{ "gooseberry-agent",
                             "Runs tasks on the targets of one worker.",
                             io::AgentSettingsReference() };
  return io::RunProgram(
    program,
    &io::ParseAgentSettings,
    aCount,
    aWords,
    [&](const io::agent_settings& aSettings, io::stop_signals& aSignals) {
      agentd::agent_daemon daemon(agentd::MakeDaemonSettings(aSettings));
      if (const auto error = daemon.Start()) {
        io::PrintError(program, *error);
        return io::exit_code::CannotStart;
      }
      agentd::Serve(daemon, aSignals);
      return io::exit_code::Ok;
    });
}
