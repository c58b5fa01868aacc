#include "load/report.h"

#include "load/reference.h"
#include "load/work.h"

#include <algorithm>
#include <set>

namespace gooseberry::tools::load {

using common::run_record;

namespace {

constexpr double kUsPerSecond = 1e6;
constexpr const char* kAllKinds = "all";

bool
IsMeasured(const settings& aSettings, const job_plan& aJob)
{
  return static_cast<double>(aJob.mArrival.count()) >=
         aSettings.mWarmUpSeconds * kUsPerSecond;
}

struct samples
{
  std::vector<double> mOverIdeal;
  std::vector<double> mMilliseconds;
};

void
SummariseResponses(const report_input& aInput, report& aReport)
{
  std::map<std::string, samples> byKind;
  for (std::size_t i = 0; i < aInput.mJobs.size(); ++i) {
    const job_plan& job = aInput.mJobs[i];
    const job_run& run = aInput.mResult.mRuns[i];
    if (!run.mResponse || !IsMeasured(aInput.mSettings, job)) {
      continue;
    }
    const auto ideal =
      IdealResponse(job, aInput.mSettings.mSlots, aInput.mSettings.mRoundTrips);
    const auto response = static_cast<double>(run.mResponse->count());
    for (const std::string& kind : { job.mKind, std::string(kAllKinds) }) {
      byKind[kind].mOverIdeal.push_back(response /
                                        static_cast<double>(ideal.count()));
      byKind[kind].mMilliseconds.push_back(response / 1000);
    }
  }
  for (auto& [kind, values] : byKind) {
    aReport.mResponses[kind] = { PercentilesOf(std::move(values.mOverIdeal)),
                                 PercentilesOf(
                                   std::move(values.mMilliseconds)) };
  }
}

void
MeasureOverhead(const report_input& aInput, report& aReport)
{
  std::map<std::string, std::int64_t, std::less<>> runTimes;
  for (const run_record& record : aInput.mRecords) {
    runTimes[record.mTask] += record.mEndUs - record.mStartUs;
  }
  std::vector<double> overheads;
  for (std::size_t i = 0; i < aInput.mJobs.size(); ++i) {
    const job_plan& job = aInput.mJobs[i];
    const job_run& run = aInput.mResult.mRuns[i];
    const auto found = runTimes.find(KeyOf(job) + ":0");
    if (run.mResponse && job.mTasks.size() == 1 && found != runTimes.end() &&
        IsMeasured(aInput.mSettings, job)) {
      overheads.push_back(
        static_cast<double>(run.mResponse->count() - found->second) / 1000);
    }
  }
  aReport.mOverheadMs = PercentilesOf(std::move(overheads));
}

std::string
OutcomeText(const job_plan& aJob, const answer* aAnswer)
{
  if (aAnswer == nullptr) {
    return "unanswered";
  }
  if (aAnswer->mOutcome == core::job_outcome::Complete) {
    return "complete";
  }
  const std::string outcome =
    aAnswer->mOutcome
      ? std::string(core::kJobOutcomeNames.NameOf(*aAnswer->mOutcome))
      : "no outcome";
  return outcome + (aJob.mIdempotent ? " " : " (non-idempotent) ") +
         std::to_string(aAnswer->mStatus) + ": " + aAnswer->mReason;
}

void
CountOutcomes(const report_input& aInput, report& aReport)
{
  std::vector<double> refusals;
  for (std::size_t i = 0; i < aInput.mJobs.size(); ++i) {
    const job_run& run = aInput.mResult.mRuns[i];
    ++aReport.mOutcomes[OutcomeText(aInput.mJobs[i], FinalAnswer(run))];
    aReport.mSubmissions += run.mSubmissions;
    for (const answer& one : run.mAnswers) {
      if (one.mOutcome == core::job_outcome::NotRun) {
        refusals.push_back(static_cast<double>(one.mAnsweredUs - one.mSentUs) /
                           1000);
      }
    }
  }
  aReport.mRefusalMs = PercentilesOf(std::move(refusals));
}

/** Work of complete jobs between the warm-up and the end of arrivals. */
void
MeasureGoodput(const report_input& aInput, report& aReport)
{
  std::set<std::string_view> complete;
  std::vector<std::string> keys;
  keys.reserve(aInput.mJobs.size());
  for (std::size_t i = 0; i < aInput.mJobs.size(); ++i) {
    keys.push_back(KeyOf(aInput.mJobs[i]));
    if (aInput.mResult.mRuns[i].mResponse) {
      complete.insert(keys.back());
    }
  }
  const std::int64_t origin = aInput.mResult.mOriginUs;
  const double seconds = aInput.mSettings.mArrivals.mSeconds;
  const auto from = static_cast<std::size_t>(aInput.mSettings.mWarmUpSeconds);
  const auto until = static_cast<std::size_t>(seconds);
  std::vector<work_span> work;
  std::size_t starts = 0;
  for (const run_record& record : aInput.mRecords) {
    if (record.mState == common::run_state::Succeeded &&
        complete.count(common::JobOf(record.mTask)) > 0) {
      work.push_back({ record.mStartUs, record.mEndUs });
    }
    starts += record.mStartUs >= origin ? 1 : 0;
  }
  const auto perSecond = WorkPerSecond(work, origin, until);
  double sum = 0;
  for (std::size_t i = from; i < until; ++i) {
    sum += perSecond[i];
  }
  if (until > from) {
    aReport.mGoodputShare =
      sum / static_cast<double>(until - from) / aInput.mSettings.mSlots;
  }
  aReport.mStartsPerSecond = static_cast<double>(starts) / seconds;
}

void
MeasureWork(const report_input& aInput, report& aReport)
{
  const auto seconds =
    static_cast<std::size_t>(aInput.mSettings.mArrivals.mSeconds);
  const std::int64_t origin = aInput.mResult.mOriginUs;
  aReport.mWorkPerSecond =
    WorkPerSecond(SucceededWork(aInput.mRecords), origin, seconds);
  aReport.mReferencePerSecond =
    WorkPerSecond(ReferenceSchedule(aInput.mJobs,
                                    aInput.mSettings.mSlotsByDomain,
                                    aInput.mTimeline.mDomains,
                                    origin),
                  origin,
                  seconds);
  aReport.mOfferedPerSecond.assign(seconds, 0.0);
  double total = 0;
  for (const job_plan& job : aInput.mJobs) {
    const auto second = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(job.mArrival).count());
    total += WorkSeconds(job);
    if (second < seconds) {
      aReport.mOfferedPerSecond[second] += WorkSeconds(job);
    }
  }
  aReport.mOfferedShare =
    total / aInput.mSettings.mArrivals.mSeconds / aInput.mSettings.mSlots;
}

bool
HasPassed(const report& aReport)
{
  return std::all_of(aReport.mFindings.begin(),
                     aReport.mFindings.end(),
                     [&](const finding& aFinding) {
                       return aFinding.mCount == 0 ||
                              (aReport.mSettings.mAllowCuts &&
                               aFinding.mCheck == check::RequestCut);
                     });
}

} // namespace

report
MakeReport(const report_input& aInput)
{
  report made;
  made.mSettings = aInput.mSettings;
  made.mJobs = aInput.mJobs.size();
  for (const job_plan& job : aInput.mJobs) {
    made.mTasks += job.mTasks.size();
  }
  made.mMessages = aInput.mMessages;
  made.mRecords = aInput.mRecords.size();
  SummariseResponses(aInput, made);
  MeasureOverhead(aInput, made);
  CountOutcomes(aInput, made);
  MeasureGoodput(aInput, made);
  MeasureWork(aInput, made);
  made.mChecked = !aInput.mSettings.mRecordUrls.empty();
  if (made.mChecked) {
    made.mFindings = CheckRun({ aInput.mJobs,
                                aInput.mResult.mRuns,
                                aInput.mRecords,
                                aInput.mTimeline });
  }
  made.mPassed = made.mChecked && HasPassed(made);
  return made;
}

} // namespace gooseberry::tools::load
