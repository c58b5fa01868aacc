#include "entry/entry_metrics.h"

#include <algorithm>
#include <utility>

namespace gooseberry::entry_program {

measurements
TakeMeasurements(entry::entry_control& aControl, core::instant aNow)
{
  measurements taken;
  taken.mCounters = aControl.mCounters;
  taken.mSamples = std::exchange(aControl.mSamples, {});
  taken.mGeneration = aControl.mRow.mConfiguration.mGeneration;
  taken.mConfigurationAge = entry::ConfigurationAge(aControl, aNow);
  for (const auto& [team, use] : aControl.mTeams) {
    taken.mWaitingTasks += use.mWaiting;
  }
  return taken;
}

namespace {

void
PublishSamples(io::metrics& aMetrics,
               const std::vector<entry::ended_sample>& aSamples)
{
  for (const entry::ended_sample& sample : aSamples) {
    if (sample.mIdeal > core::duration::zero()) {
      aMetrics.ObserveResponse(sample.mResponse,
                               core::ToMilliseconds(sample.mResponse) /
                                 core::ToMilliseconds(sample.mIdeal));
    } else {
      aMetrics.ObserveResponseTime(sample.mResponse);
    }
  }
}

} // namespace

void
metrics_publisher::Publish(io::metrics& aMetrics, const measurements& aTaken)
{
  const std::lock_guard lock(mMutex);
  const entry::entry_counters& now = aTaken.mCounters;
  const entry::entry_counters before = std::exchange(mPublished, now);
  aMetrics.CountStarts(now.mStarts - before.mStarts);
  aMetrics.CountMessages("start", now.mStarts - before.mStarts);
  aMetrics.CountMessages("finish", now.mFinishes - before.mFinishes);
  aMetrics.CountMessages("demand", now.mBacklogCalls - before.mBacklogCalls);
  aMetrics.CountMessages("locate", now.mLocates - before.mLocates);
  aMetrics.CountMessages("fence", now.mFences - before.mFences);
  aMetrics.CountMessages("cancel", now.mCancels - before.mCancels);
  aMetrics.CountMessages("deliver", now.mDelivers - before.mDelivers);
  std::uint64_t wasted = now.mRepeatedStarts - before.mRepeatedStarts +
                         now.mRepeatedFinishes - before.mRepeatedFinishes;
  aMetrics.CountMessages("repeat", wasted);
  for (std::size_t i = 0; i < now.mRefusals.size(); ++i) {
    const auto reason =
      core::kStartVerdictNames.NameOf(static_cast<core::start_verdict>(i));
    for (auto n = before.mRefusals[i]; n < now.mRefusals[i]; ++n) {
      aMetrics.CountRefusal(reason);
      ++wasted;
    }
  }
  aMetrics.CountWastedMessages(wasted);
  for (auto n = before.mRetries; n < now.mRetries; ++n) {
    aMetrics.CountRetry();
  }
  for (std::size_t i = 0; i < now.mOutcomes.size(); ++i) {
    for (auto n = before.mOutcomes[i]; n < now.mOutcomes[i]; ++n) {
      aMetrics.CountJob(
        core::kJobOutcomeNames.NameOf(static_cast<core::job_outcome>(i)));
    }
  }
  aMetrics.CountTrafficStateChanges(now.mTrafficStateChanges -
                                    before.mTrafficStateChanges);
  aMetrics.CountRatesDropped(now.mRatesDropped - before.mRatesDropped);
  aMetrics.SetQueueLength(aTaken.mWaitingTasks);
  aMetrics.SetGeneration(aTaken.mGeneration);
  aMetrics.SetConfigurationAge(aTaken.mConfigurationAge);
  PublishSamples(aMetrics, aTaken.mSamples);
}

} // namespace gooseberry::entry_program
