#pragma once

#include "load/checks.h"
#include "load/client.h"
#include "load/metrics.h"
#include "load/percentile.h"
#include "load/settings.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberry::tools::load {

/** Response of one kind of job. */
struct response_summary
{
  percentiles mOverIdeal;
  percentiles mMilliseconds;
};

/** Everything that a run showed. */
struct report
{
  settings mSettings;
  std::size_t mJobs = 0;
  std::size_t mTasks = 0;
  std::size_t mSubmissions = 0;
  double mOfferedShare = 0; ///< Work sent, as a share of the slots.
  std::map<std::string, response_summary> mResponses; ///< By kind; `all` too.
  std::map<std::string, std::size_t> mOutcomes; ///< By outcome and reason.
  /** Response of jobs of one task less the target's own run time. */
  percentiles mOverheadMs;
  percentiles mRefusalMs; ///< From sending to an answer "not run".
  /** Work of complete jobs during the run, as a share of the slots. */
  double mGoodputShare = 0;
  double mStartsPerSecond = 0;
  std::vector<double> mWorkPerSecond; ///< Slot-seconds, completed.
  std::vector<double> mReferencePerSecond;
  std::vector<double> mOfferedPerSecond;
  counts_by_label mMessages; ///< During the run, by type.
  std::vector<finding> mFindings;
  std::size_t mRecords = 0;
  bool mChecked = false; ///< Records of the targets were there.
  bool mPassed = false;
};

/** What a report is made of. */
struct report_input
{
  const settings& mSettings;
  const std::vector<job_plan>& mJobs;
  const load_result& mResult;
  const std::vector<common::run_record>& mRecords;
  const timeline& mTimeline;
  counts_by_label mMessages;
};

report
MakeReport(const report_input& aInput);

/** The report as a table for people. */
std::string
FormatText(const report& aReport);

/** The report as JSON. */
std::string
FormatJson(const report& aReport);

} // namespace gooseberry::tools::load
