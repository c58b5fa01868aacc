#include "libgooseberryio/metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace gooseberry::io {
namespace {

/** Upper bounds of buckets, in seconds. */
constexpr std::array kSeconds{ 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                               0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0 };
constexpr std::array kOverIdeal{ 1.0, 1.02, 1.05, 1.1, 1.2,  1.3,  1.5,
                                 1.6, 2.0,  3.0,  5.0, 10.0, 100.0 };

/** A counter or gauge, with at most one label besides the process. */
struct family
{
  const char* mName;
  const char* mType;
  const char* mHelp;
  const char* mLabel = ""; ///< Empty: a single value.
  std::map<std::string, double, std::less<>> mValues{};
};

struct histogram
{
  histogram(const char* aName, const char* aHelp, std::vector<double> aBounds)
    : mName(aName)
    , mHelp(aHelp)
    , mBounds(std::move(aBounds))
    , mCounts(mBounds.size() + 1)
  {
  }

  const char* mName;
  const char* mHelp;
  std::vector<double> mBounds; ///< Upper ones; the last bucket has none.
  std::vector<std::uint64_t> mCounts;
  double mSum = 0;
};

void
Add(family& aFamily, std::string_view aLabel, double aCount)
{
  const auto found = aFamily.mValues.find(aLabel);
  if (found == aFamily.mValues.end()) {
    aFamily.mValues.emplace(aLabel, aCount);
  } else {
    found->second += aCount;
  }
}

void
Observe(histogram& aHistogram, double aValue)
{
  std::size_t bucket = 0;
  while (bucket < aHistogram.mBounds.size() &&
         aValue > aHistogram.mBounds[bucket]) {
    ++bucket;
  }
  ++aHistogram.mCounts[bucket];
  aHistogram.mSum += aValue;
}

void
WriteHead(std::ostream& aText,
          const char* aName,
          const char* aType,
          const char* aHelp)
{
  aText << "# HELP gooseberry_" << aName << ' ' << aHelp << '\n'
        << "# TYPE gooseberry_" << aName << ' ' << aType << '\n';
}

void
Write(std::ostream& aText, const family& aFamily, const std::string& aProcess)
{
  WriteHead(aText, aFamily.mName, aFamily.mType, aFamily.mHelp);
  for (const auto& [label, value] : aFamily.mValues) {
    aText << "gooseberry_" << aFamily.mName << "{process=\"" << aProcess << '"';
    if (*aFamily.mLabel != '\0') {
      aText << ',' << aFamily.mLabel << "=\"" << label << '"';
    }
    aText << "} " << value << '\n';
  }
}

void
Write(std::ostream& aText,
      const histogram& aHistogram,
      const std::string& aProcess)
{
  WriteHead(aText, aHistogram.mName, "histogram", aHistogram.mHelp);
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < aHistogram.mCounts.size(); ++i) {
    count += aHistogram.mCounts[i];
    aText << "gooseberry_" << aHistogram.mName << "_bucket{process=\""
          << aProcess << "\",le=\"";
    if (i < aHistogram.mBounds.size()) {
      aText << aHistogram.mBounds[i];
    } else {
      aText << "+Inf";
    }
    aText << "\"} " << count << '\n';
  }
  const std::string labels = "{process=\"" + aProcess + "\"} ";
  aText << "gooseberry_" << aHistogram.mName << "_sum" << labels
        << aHistogram.mSum << '\n'
        << "gooseberry_" << aHistogram.mName << "_count" << labels << count
        << '\n';
}

} // namespace

struct metrics::families
{
  explicit families(std::string aProcess)
    : mProcess(std::move(aProcess))
  {
  }

  const std::string mProcess;
  std::mutex mMutex;
  histogram mResponseTime{ "response_seconds",
                           "Response time of jobs, in seconds",
                           { kSeconds.begin(), kSeconds.end() } };
  histogram mOverIdeal{ "response_over_ideal_ratio",
                        "Response time of jobs over the ideal one",
                        { kOverIdeal.begin(), kOverIdeal.end() } };
  family mJobs{ "jobs_total", "counter", "Jobs by outcome", "outcome" };
  family mStarts{ "starts_total",
                  "counter",
                  "Tasks started",
                  "",
                  { { "", 0 } } };
  family mRefusals{ "refusals_total",
                    "counter",
                    "Refusals by reason",
                    "reason" };
  family mRetries{ "retries_total",
                   "counter",
                   "Tasks retried",
                   "",
                   { { "", 0 } } };
  family mWastedMessages{
    "wasted_messages_total",
    "counter",
    "Messages beyond one start and one finish for each task",
    "",
    { { "", 0 } }
  };
  family mMessages{ "messages_total",
                    "counter",
                    "Messages about tasks and jobs, by type",
                    "type" };
  family mTrafficStateChanges{ "traffic_state_changes_total",
                               "counter",
                               "Changes of whether the entry accepts callers",
                               "",
                               { { "", 0 } } };
  family mRatesDropped{ "heartbeat_rates_dropped_total",
                        "counter",
                        "Implausible rates in heartbeats of entries",
                        "",
                        { { "", 0 } } };
  family mDrops{ "requests_dropped_total",
                 "counter",
                 "Requests dropped before they were whole, by reason",
                 "reason" };
  family mQueueLength{ "queue_length",
                       "gauge",
                       "Tasks that wait",
                       "",
                       { { "", 0 } } };
  family mGeneration{ "configuration_generation",
                      "gauge",
                      "Generation of the configuration in force",
                      "",
                      { { "", 0 } } };
  family mConfigurationAge{ "configuration_age_seconds",
                            "gauge",
                            "Time since the configuration was last confirmed",
                            "",
                            { { "", 0 } } };

  void Count(family& aFamily, std::string_view aLabel, std::size_t aCount)
  {
    const std::lock_guard lock(mMutex);
    Add(aFamily, aLabel, static_cast<double>(aCount));
  }

  void Set(family& aFamily, double aValue)
  {
    const std::lock_guard lock(mMutex);
    aFamily.mValues[""] = aValue;
  }
};

metrics::metrics(const std::string& aProcess)
  : mFamilies(std::make_unique<families>(aProcess))
{
}

metrics::~metrics() = default;

void
metrics::ObserveResponse(core::duration aResponseTime, double aOverIdeal)
{
  ObserveResponseTime(aResponseTime);
  const std::lock_guard lock(mFamilies->mMutex);
  Observe(mFamilies->mOverIdeal, aOverIdeal);
}

void
metrics::ObserveResponseTime(core::duration aResponseTime)
{
  const std::lock_guard lock(mFamilies->mMutex);
  Observe(mFamilies->mResponseTime,
          std::chrono::duration<double>(aResponseTime).count());
}

void
metrics::CountJob(std::string_view aOutcome)
{
  mFamilies->Count(mFamilies->mJobs, aOutcome, 1);
}

void
metrics::CountStarts(std::size_t aCount)
{
  mFamilies->Count(mFamilies->mStarts, "", aCount);
}

void
metrics::CountRefusal(std::string_view aReason)
{
  mFamilies->Count(mFamilies->mRefusals, aReason, 1);
}

void
metrics::CountRetry()
{
  mFamilies->Count(mFamilies->mRetries, "", 1);
}

void
metrics::CountWastedMessages(std::size_t aCount)
{
  mFamilies->Count(mFamilies->mWastedMessages, "", aCount);
}

void
metrics::CountMessages(std::string_view aType, std::size_t aCount)
{
  mFamilies->Count(mFamilies->mMessages, aType, aCount);
}

void
metrics::CountTrafficStateChanges(std::size_t aCount)
{
  mFamilies->Count(mFamilies->mTrafficStateChanges, "", aCount);
}

void
metrics::CountRatesDropped(std::size_t aCount)
{
  mFamilies->Count(mFamilies->mRatesDropped, "", aCount);
}

void
metrics::SetQueueLength(std::size_t aTasks)
{
  mFamilies->Set(mFamilies->mQueueLength, static_cast<double>(aTasks));
}

void
metrics::SetDrops(const drop_counts& aCounts)
{
  const std::lock_guard lock(mFamilies->mMutex);
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    const auto reason = kDropReasonNames.NameOf(static_cast<drop_reason>(i));
    mFamilies->mDrops.mValues[std::string(reason)] =
      static_cast<double>(aCounts.at(i));
  }
}

void
metrics::SetGeneration(core::generation aGeneration)
{
  mFamilies->Set(mFamilies->mGeneration, static_cast<double>(aGeneration));
}

void
metrics::SetConfigurationAge(core::duration aAge)
{
  mFamilies->Set(mFamilies->mConfigurationAge,
                 std::chrono::duration<double>(aAge).count());
}

std::string
metrics::Text() const
{
  const families& all = *mFamilies;
  const std::lock_guard lock(mFamilies->mMutex);
  std::ostringstream text;
  Write(text, all.mResponseTime, all.mProcess);
  Write(text, all.mOverIdeal, all.mProcess);
  for (const family* const one : { &all.mJobs,
                                   &all.mStarts,
                                   &all.mRefusals,
                                   &all.mRetries,
                                   &all.mWastedMessages,
                                   &all.mMessages,
                                   &all.mTrafficStateChanges,
                                   &all.mRatesDropped,
                                   &all.mDrops,
                                   &all.mQueueLength,
                                   &all.mGeneration,
                                   &all.mConfigurationAge }) {
    Write(text, *one, all.mProcess);
  }
  return text.str();
}

} // namespace gooseberry::io
