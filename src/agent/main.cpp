#include "agent/agent_daemon.h"
#include "libgooseberryio/agent_settings.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/program.h"
#include "libgooseberryio/stop_signals.h"

#include <variant>

namespace {

using namespace gooseberry;

io::exit_code
Run(int aCount, const char* const* aWords)
{
  const io::program program{ "gooseberry-agent",
                             "Runs tasks on the targets of one worker.",
                             io::AgentSettingsReference() };
  const auto read =
    io::ReadProgramSettings(program, io::ParseAgentSettings, aCount, aWords);
  if (const auto* code = std::get_if<io::exit_code>(&read)) {
    return *code;
  }
  const auto& settings = std::get<io::agent_settings>(read);
  io::stop_signals signals;
  if (const auto error = io::SetUpLog(settings.mLog); error) {
    io::PrintError(program, *error);
    return io::exit_code::CannotStart;
  }
  agentd::agent_daemon daemon(agentd::MakeDaemonSettings(settings));
  if (const auto error = daemon.Start(); error) {
    io::PrintError(program, *error);
    return io::exit_code::CannotStart;
  }
  agentd::Serve(daemon, signals);
  io::CloseLog();
  return io::exit_code::Ok;
}

} // namespace

int
main(int aCount, char** aWords)
{
  return static_cast<int>(Run(aCount, aWords));
}
