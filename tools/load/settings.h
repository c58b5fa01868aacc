#pragma once

#include "libgooseberry/core/error.h"
#include "load/client.h"
#include "load/mix.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberry::tools::load {

/** The command line. */
struct settings
{
  arrival_settings mArrivals;
  client_settings mClient;
  std::uint32_t mSlots = 1;
  /** By failure domain; empty where the reference isn't wanted. */
  std::map<std::string, std::uint32_t> mSlotsByDomain;
  double mWarmUpSeconds = 0;  ///< Jobs that arrive earlier aren't measured.
  microseconds mRoundTrips{}; ///< Part of the ideal response.
  bool mAllowCuts = false;    ///< A process is killed: answers may be lost.
  std::vector<std::string> mRecordUrls;
  std::vector<std::string> mMetricsUrls;
  std::string mTimelineFile;
  std::string mJsonFile;
};

/** Reads `cluj=32,brasov=24`. */
core::result<std::map<std::string, std::uint32_t>>
ParseSlots(const std::string& aText);

/** Reads the command line; exits with a message where it is wrong. */
settings
ParseCommandLine(int aCount, char** aWords);

} // namespace gooseberry::tools::load
