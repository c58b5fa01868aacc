#include "entry/entry_process.h"

#include "libgooseberryio/entry_settings.h"
#include "libgooseberryio/program.h"

int
main(int aCount, char** aWords)
{
  using namespace gooseberry;
  const io::program program{ "gooseberry-entry",
                             "Takes jobs from callers and dispatches their "
                             "tasks",
                             io::EntrySettingsReference() };
  return io::RunProgram(
    program,
    &io::ParseEntrySettings,
    aCount,
    aWords,
    [&](const io::entry_settings& aSettings, io::stop_signals& aSignals) {
      entry_program::entry_process process(
        entry_program::MakeProcessOptions(aSettings));
      if (const auto error = process.Start()) {
        io::PrintError(program, *error);
        return io::exit_code::CannotStart;
      }
      entry_program::Serve(process, aSignals);
      return io::exit_code::Ok;
    });
}
