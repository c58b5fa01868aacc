#include "entry/entry_process.h"

#include "libgooseberryio/entry_settings.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/program.h"
#include "libgooseberryio/stop_signals.h"

int
main(int aCount, char** aWords)
{
  using namespace gooseberry;
  const io::program program{ "gooseberry-entry",
                             "Takes jobs from callers and dispatches their "
                             "tasks",
                             io::EntrySettingsReference() };
  const auto read =
    io::ReadProgramSettings(program, &io::ParseEntrySettings, aCount, aWords);
  if (const auto* code = std::get_if<io::exit_code>(&read)) {
    return static_cast<int>(*code);
  }
  const auto& settings = std::get<io::entry_settings>(read);
  io::stop_signals signals; // Before any thread: see there.
  if (const auto error = io::SetUpLog(settings.mLog)) {
    io::PrintError(program, *error);
    return static_cast<int>(io::exit_code::CannotStart);
  }
  entry_program::entry_process process(
    entry_program::MakeProcessOptions(settings));
  if (const auto error = process.Start()) {
    io::PrintError(program, *error);
    return static_cast<int>(io::exit_code::CannotStart);
  }
  entry_program::Serve(process, signals);
  io::CloseLog();
  return static_cast<int>(io::exit_code::Ok);
}
