#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/stop_signals.h"

#include <string>
#include <string_view>
#include <variant>

namespace gooseberry::io {

/** How a daemon ends. */
enum class exit_code : int
{
  Ok = 0,          ///< Done, or drained after a first SIGTERM or SIGINT.
  BadSettings = 2, ///< Bad command line or settings.
  CannotStart = 3, ///< An address, a log or a resource could not be had.
  Stopped = 4,     ///< Stopped at once by a second signal.
};

/** What a daemon says of itself. */
struct program
{
  std::string mName;
  std::string mAbout;
  std::string mReference; ///< Its settings as a Markdown table.
};

/** What the command line asks for. */
struct settings_file
{
  std::string mName;
  std::string mText;
  bool mCheckOnly = false; ///< Check the settings and end.
};

/**
 * Reads `--settings FILE`, `--settings-variable NAME`, `--check-settings`,
 * `--print-settings-reference`,
 * `--version` and `--help`. What can be answered at once is, on the standard
 * streams, and gives an exit code.
 */
std::variant<settings_file, exit_code>
ReadCommandLine(const program& aProgram, int aCount, const char* const* aWords);

/** Reads a whole file; an error where it is no file or above 1 MiB. */
core::result<std::string>
ReadTextFile(const std::string& aName);

/** `NAME: step: reason` on standard error. */
void
PrintError(const program& aProgram, const core::error& aError);

/** Keeps the memory that freed buffers leave behind small, though each
 * connection has a thread; before any other thread. */
void
LimitMallocArenas();

/** Answers `--check-settings`. */
void
PrintSettingsAreGood(const settings_file& aFile);

/**
 * The settings that the command line names, or how the program ends. `aParse`
 * is a function like `ParseEntrySettings`.
 */
template<typename Settings>
std::variant<Settings, exit_code>
ReadProgramSettings(const program& aProgram,
                    core::result<Settings> (*aParse)(std::string_view,
                                                     std::string_view),
                    int aCount,
                    const char* const* aWords)
{
  auto line = ReadCommandLine(aProgram, aCount, aWords);
  if (const auto* code = std::get_if<exit_code>(&line)) {
    return *code;
  }
  const auto& file = std::get<settings_file>(line);
  auto parsed = aParse(file.mText, file.mName);
  if (const auto* problem = std::get_if<core::error>(&parsed)) {
    PrintError(aProgram, *problem);
    return exit_code::BadSettings;
  }
  if (file.mCheckOnly) {
    PrintSettingsAreGood(file);
    return exit_code::Ok;
  }
  return std::get<Settings>(std::move(parsed));
}

/**
 * The whole of a daemon's `main`: reads the settings, sets up signals and log,
 * and gives what `aRun(settings, signals)` returns as the exit code.
 */
template<typename Settings, typename Run>
int
RunProgram(const program& aProgram,
           core::result<Settings> (*aParse)(std::string_view, std::string_view),
           int aCount,
           const char* const* aWords,
           Run aRun)
{
  const auto read = ReadProgramSettings(aProgram, aParse, aCount, aWords);
  if (const auto* code = std::get_if<exit_code>(&read)) {
    return static_cast<int>(*code);
  }
  const auto& settings = std::get<Settings>(read);
  LimitMallocArenas();
  stop_signals signals; // Before any other thread; the log has one.
  if (const auto error = SetUpLog(settings.mLog)) {
    PrintError(aProgram, *error);
    return static_cast<int>(exit_code::CannotStart);
  }
  const exit_code code = aRun(settings, signals);
  CloseLog();
  return static_cast<int>(code);
}

} // namespace gooseberry::io
