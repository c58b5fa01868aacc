#pragma once

#include "libgooseberryio/operator_client.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace gooseberry::io {

/** How `gooseberryctl` ends. */
enum class operator_exit : int
{
  Ok = 0,
  Refused = 1,     ///< Not known, or an answer that was not expected.
  Usage = 2,       ///< Bad command line.
  Invalid = 3,     ///< The file, or what it says, is wrong.
  Conflict = 4,    ///< Another change came first.
  Unreachable = 5, ///< No entry answered, or none reached the store.
  Unsettled = 6,   ///< Whether the change was accepted cannot be known now.
};

/** A command line, taken apart. */
struct operator_command
{
  std::string mName;
  std::string mArgument; ///< File, failure domain or job; may be empty.
  std::vector<std::string> mEntries;
  std::optional<core::generation> mExpected;
  bool mIsJson = false;
};

/** Runs one command; answers go to `aOut`, problems to `aError`. */
operator_exit
RunOperatorCommand(const operator_command& aCommand,
                   const operator_client_settings& aSettings,
                   std::ostream& aOut,
                   std::ostream& aError);

/** What the commands do, for `--help`. */
std::string
OperatorHelp();

} // namespace gooseberry::io
