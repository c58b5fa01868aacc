#include "libgooseberryio/program.h"

#include "libgooseberry/configuration/ini_document.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <malloc.h>
#include <tclap/CmdLine.h>
#include <vector>

namespace gooseberry::io {

namespace {

constexpr const char* kExitCodes =
  " Exit codes: 0 done or drained, 2 bad command line or settings, 3 cannot "
  "start, 4 stopped at once by a second SIGTERM or SIGINT.";

/** What the environment variable holds; empty where it is not set. */
std::string
FileOfVariable(const std::string& aName)
{
  const char* const file = std::getenv(aName.c_str());
  return file == nullptr ? std::string() : std::string(file);
}

/** Reads the named file, or says why not. */
std::variant<settings_file, exit_code>
LoadSettings(const program& aProgram, const std::string& aName, bool aCheckOnly)
{
  if (aName.empty()) {
    PrintError(aProgram,
               { "read command line",
                 "",
                 "expected --settings FILE, or --settings-variable NAME "
                 "with a variable that is set" });
    return exit_code::BadSettings;
  }
  auto text = ReadTextFile(aName);
  if (const auto* problem = std::get_if<core::error>(&text)) {
    PrintError(aProgram, *problem);
    return exit_code::BadSettings;
  }
  return settings_file{ aName,
                        std::get<std::string>(std::move(text)),
                        aCheckOnly };
}

} // namespace

void
LimitMallocArenas()
{
  // By default there are eight for each core, and each keeps what was freed in
  // it: 150 bodies of 256 KiB left 14 MB behind, and 7 MB with two arenas.
  constexpr int kArenas = 2;
  mallopt(M_ARENA_MAX, kArenas);
}

std::variant<settings_file, exit_code>
ReadCommandLine(const program& aProgram, int aCount, const char* const* aWords)
{
  try {
    TCLAP::CmdLine line(aProgram.mAbout + kExitCodes, ' ', GOOSEBERRY_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings(
      "s", "settings", "Settings of this process.", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> variable(
      "",
      "settings-variable",
      "Environment variable that names the settings file.",
      false,
      "",
      "NAME",
      line);
    TCLAP::SwitchArg check(
      "", "check-settings", "Check the settings and end.", line);
    TCLAP::SwitchArg reference("",
                               "print-settings-reference",
                               "Print a table of all settings and end.",
                               line);
    std::vector<std::string> words(aWords, aWords + aCount);
    line.parse(words);
    if (reference.getValue()) {
      std::cout << aProgram.mReference;
      return exit_code::Ok;
    }
    return LoadSettings(aProgram,
                        variable.isSet() ? FileOfVariable(variable.getValue())
                                         : settings.getValue(),
                        check.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? exit_code::Ok : exit_code::BadSettings;
  } catch (const TCLAP::ArgException& problem) {
    PrintError(aProgram,
               { "read command line",
                 "",
                 problem.error() + " " + problem.argId() + "; see --help" });
    return exit_code::BadSettings;
  }
}

core::result<std::string>
ReadTextFile(const std::string& aName)
{
  std::ifstream file(aName, std::ios::binary);
  std::string text;
  std::string part(65'536, '\0');
  while (file && text.size() <= configuration::kMaxFileBytes) {
    file.read(part.data(), static_cast<std::streamsize>(part.size()));
    text.append(part, 0, static_cast<std::size_t>(file.gcount()));
  }
  if (!file.eof() && text.size() <= configuration::kMaxFileBytes) {
    return core::error{ "read file", "", "cannot read " + aName };
  }
  return text;
}

void
PrintError(const program& aProgram, const core::error& aError)
{
  std::cerr << aProgram.mName << ": " << core::ToString(aError) << '\n';
}

void
PrintSettingsAreGood(const settings_file& aFile)
{
  std::cout << aFile.mName << ": settings are valid\n";
}

} // namespace gooseberry::io
