#include "libgooseberry/configuration/value.h"
#include "libgooseberryio/operator_commands.h"

#include <iostream>
#include <limits>
#include <tclap/CmdLine.h>

namespace {

using namespace gooseberry;

constexpr int kMaxWords = 2; // A command and its argument.

core::generation
ReadGeneration(const std::string& aText)
{
  const auto number = configuration::ReadNumber(
    aText, 0, std::numeric_limits<core::generation>::max());
  if (!number) {
    throw TCLAP::CmdLineParseException("Expected a whole number",
                                       "--expect-generation");
  }
  return *number;
}

io::operator_command
ReadCommand(int aCount, char** aWords)
{
  TCLAP::CmdLine line(io::OperatorHelp(), ' ', GOOSEBERRY_VERSION);
  line.setExceptionHandling(false);
  TCLAP::MultiArg<std::string> entries(
    "e",
    "entry",
    "An entry; of several, the next is tried when one does not answer.",
    false,
    "IP:PORT",
    line);
  TCLAP::ValueArg<std::string> expected(
    "",
    "expect-generation",
    "Apply only where this generation is in force.",
    false,
    "",
    "N",
    line);
  TCLAP::SwitchArg json("", "json", "Answer in JSON.", line);
  TCLAP::UnlabeledMultiArg<std::string> words(
    "command", "A command and its argument.", true, "COMMAND [ARGUMENT]", line);
  line.parse(aCount, aWords);
  const auto& given = words.getValue();
  if (given.size() > kMaxWords) {
    throw TCLAP::CmdLineParseException("Too many words", given.back());
  }
  io::operator_command command;
  command.mName = given.front();
  command.mArgument = given.size() == kMaxWords ? given.back() : "";
  command.mEntries = entries.getValue();
  if (expected.isSet()) {
    command.mExpected = ReadGeneration(expected.getValue());
  }
  command.mIsJson = json.getValue();
  return command;
}

int
Run(int aCount, char** aWords)
{
  try {
    const auto command = ReadCommand(aCount, aWords);
    return static_cast<int>(
      io::RunOperatorCommand(command, {}, std::cout, std::cerr));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << "gooseberryctl: " << problem.error() << " " << problem.argId()
              << "; see --help\n";
  }
  return static_cast<int>(io::operator_exit::Usage);
}

} // namespace

int
main(int aCount, char** aWords)
{
  return Run(aCount, aWords);
}
