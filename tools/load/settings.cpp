#include "load/settings.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

namespace gooseberry::tools::load {

namespace {

constexpr int kExitUsage = 2;
constexpr std::int64_t kDefaultRoundTripsUs = 1000;

/** All options; TCLAP adds each to the line as it is made. */
struct options
{
  TCLAP::CmdLine mLine{ "Open-loop load with the checks of every run.",
                        ' ',
                        "0.1.0" };
  TCLAP::MultiArg<std::string> mEntries{
    "e", "entry", "An entry's HTTP address.", true, "IP:PORT", mLine
  };
  TCLAP::ValueArg<std::string> mMix{
    "m", "mix", "tabcraft, qamar or single.", false, "qamar", "NAME", mLine
  };
  TCLAP::ValueArg<double> mLoad{ "",    "load", "Share of the slots.",
                                 false, 0.7,    "SHARE",
                                 mLine };
  TCLAP::ValueArg<std::uint32_t> mSlots{
    "", "slots", "Slots of all targets.", false, 80, "COUNT", mLine
  };
  TCLAP::ValueArg<double> mRate{
    "", "jobs-per-s", "In place of --load.", false, 0, "RATE", mLine
  };
  TCLAP::ValueArg<double> mSeconds{ "",    "seconds", "Length of the run.",
                                    false, 10,        "SECONDS",
                                    mLine };
  TCLAP::ValueArg<double> mWarmUp{ "",    "warm-up", "Part not measured.",
                                   false, 0,         "SECONDS",
                                   mLine };
  TCLAP::ValueArg<std::uint64_t> mSeed{ "", "seed",   "Of the jobs.", false,
                                        1,  "NUMBER", mLine };
  TCLAP::ValueArg<std::string> mRun{ "",    "run",  "First part of job names.",
                                     false, "load", "NAME",
                                     mLine };
  TCLAP::ValueArg<std::string> mBurst{ "",    "burst", "Rate times a factor.",
                                       false, "",      "FACTOR,FROM_S,TO_S",
                                       mLine };
  TCLAP::SwitchArg mResubmit{ "",
                              "resubmit-all",
                              "Send each job twice.",
                              mLine };
  TCLAP::ValueArg<double> mCancel{
    "", "cancel-share", "Of jobs, in waves.", false, 0, "SHARE", mLine
  };
  TCLAP::ValueArg<long> mDeadline{ "",     "deadline-ms", "Of each job.", false,
                                   30'000, "MS",          mLine };
  TCLAP::ValueArg<std::int64_t> mRoundTrips{
    "",    "round-trips-us",     "Of all legs, in the ideal.",
    false, kDefaultRoundTripsUs, "US",
    mLine
  };
  TCLAP::ValueArg<std::string> mDomainSlots{
    "", "domain-slots", "For the reference.", false, "", "NAME=COUNT,...", mLine
  };
  TCLAP::SwitchArg mAllowCuts{ "",
                               "allow-cuts",
                               "Lost answers don't fail the run.",
                               mLine };
  TCLAP::MultiArg<std::string> mRecords{ "",    "records", "Of a target.",
                                         false, "URL",     mLine };
  TCLAP::MultiArg<std::string> mMetrics{ "",    "metrics", "Of a process.",
                                         false, "URL",     mLine };
  TCLAP::ValueArg<std::string> mTimeline{
    "", "timeline", "Changes made meanwhile.", false, "", "FILE", mLine
  };
  TCLAP::ValueArg<std::string> mJson{ "",    "json", "Write the report there.",
                                      false, "",     "FILE",
                                      mLine };
};

[[noreturn]] void
Refuse(const core::error& aError)
{
  std::cerr << "gooseberry-load: " << core::ToString(aError) << std::endl;
  std::exit(kExitUsage);
}

void
ReadBurst(const std::string& aText, arrival_settings& aArrivals)
{
  std::istringstream stream(aText);
  char comma = 0;
  char other = 0;
  if (!(stream >> aArrivals.mBurstFactor >> comma >> aArrivals.mBurstStart >>
        other >> aArrivals.mBurstEnd) ||
      comma != ',' || other != ',') {
    Refuse({ "--burst", aText, "expected FACTOR,FROM_S,TO_S" });
  }
}

arrival_settings
ReadArrivals(options& aOptions)
{
  arrival_settings arrivals;
  const auto chosen = kMixNames.ValueOf(aOptions.mMix.getValue());
  if (!chosen) {
    Refuse({ "--mix", aOptions.mMix.getValue(), "no such mix" });
  }
  arrivals.mMix = *chosen;
  arrivals.mRun = aOptions.mRun.getValue();
  arrivals.mSeed = aOptions.mSeed.getValue();
  arrivals.mSeconds = aOptions.mSeconds.getValue();
  arrivals.mJobsPerSecond = aOptions.mRate.isSet()
                              ? aOptions.mRate.getValue()
                              : aOptions.mLoad.getValue() *
                                  aOptions.mSlots.getValue() /
                                  MeanWorkSeconds(*chosen);
  if (!(arrivals.mJobsPerSecond > 0)) {
    Refuse({ "--load, --jobs-per-s", "", "expected more than 0" });
  }
  if (aOptions.mBurst.isSet()) {
    ReadBurst(aOptions.mBurst.getValue(), arrivals);
  }
  return arrivals;
}

} // namespace

core::result<std::map<std::string, std::uint32_t>>
ParseSlots(const std::string& aText)
{
  std::map<std::string, std::uint32_t> slots;
  std::istringstream stream(aText);
  for (std::string field; std::getline(stream, field, ',');) {
    const std::size_t equals = field.find('=');
    const int count =
      equals == std::string::npos ? 0 : std::atoi(field.c_str() + equals + 1);
    if (count < 1) {
      return core::error{ "--domain-slots", aText, "expected NAME=COUNT,..." };
    }
    slots[field.substr(0, equals)] = static_cast<std::uint32_t>(count);
  }
  return slots;
}

settings
ParseCommandLine(int aCount, char** aWords)
{
  options line;
  line.mLine.parse(aCount, aWords);
  settings result;
  result.mArrivals = ReadArrivals(line);
  result.mClient.mEntries = line.mEntries.getValue();
  result.mClient.mDeadline =
    std::chrono::milliseconds(line.mDeadline.getValue());
  result.mClient.mResubmitAll = line.mResubmit.getValue();
  result.mClient.mCancelShare = line.mCancel.getValue();
  result.mSlots = line.mSlots.getValue();
  const auto slots = ParseSlots(line.mDomainSlots.getValue());
  if (const auto* wrong = std::get_if<core::error>(&slots)) {
    Refuse(*wrong);
  }
  result.mSlotsByDomain = std::get<0>(slots);
  result.mWarmUpSeconds = line.mWarmUp.getValue();
  result.mRoundTrips = microseconds(line.mRoundTrips.getValue());
  result.mAllowCuts = line.mAllowCuts.getValue();
  result.mRecordUrls = line.mRecords.getValue();
  result.mMetricsUrls = line.mMetrics.getValue();
  result.mTimelineFile = line.mTimeline.getValue();
  result.mJsonFile = line.mJson.getValue();
  return result;
}

} // namespace gooseberry::tools::load
