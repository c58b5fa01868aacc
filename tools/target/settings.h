#pragma once

#include "target/target.h"

#include <string>
#include <vector>

namespace gooseberry::tools::target {

/** The command line. */
struct settings
{
  std::vector<target_settings> mTargets;
  faults mFaults;
  std::uint64_t mSeed = 1;
  std::string mRecordsFile; ///< Written at the end; empty: none.
};

/** Reads `name,ip:port,agent-ip:port,slots,domain`. */
core::result<target_settings>
ParseTarget(const std::string& aText);

/** Reads the command line; exits with a message where it is wrong. */
settings
ParseCommandLine(int aCount, char** aWords);

} // namespace gooseberry::tools::target
