#pragma once

#include "common/run_record.h"
#include "load/answer.h"
#include "load/timeline.h"

namespace gooseberry::tools::load {

/** What must hold in every run. */
enum class check : std::uint8_t
{
  StartedTwice,         ///< Without a definite failure in between.
  NonIdempotentTwice,   ///< Even after a failure.
  PartialAnswer,        ///< Complete with results missing, or failed with some.
  WrongResult,          ///< Of another task, or of a task that never ended.
  FalseNotRun,          ///< Answered "not run", yet a task started.
  RivalOutcomes,        ///< Two answers to one job that contradict each other.
  StartInOutDomain,     ///< Later than `kBoundUs` after it was taken out.
  StartOnLeavingTarget, ///< Later than `kBoundUs` after it left.
  RequestCut,           ///< Sent, but no answer came.
};
inline constexpr core::enum_names<check, 9> kCheckNames{
  { "tasks started twice",
    "non-idempotent tasks started twice",
    "partial answers",
    "wrong or foreign results",
    "false \"not run\"",
    "rival outcomes",
    "starts in an out domain",
    "starts on a leaving target",
    "requests cut" }
};

/** Time that a change of domain or target has to be in force, microseconds. */
inline constexpr std::int64_t kBoundUs = 2'000'000;

struct finding
{
  check mCheck = check::StartedTwice;
  std::uint64_t mCount = 0;
  std::vector<std::string> mExamples; ///< A few, to look at.
};

struct check_input
{
  const std::vector<job_plan>& mJobs;
  const std::vector<job_run>& mRuns; ///< One for each job, in order.
  const std::vector<common::run_record>& mRecords;
  const timeline& mTimeline;
};

/** One finding for each check, in order, also where nothing was found. */
std::vector<finding>
CheckRun(const check_input& aInput);

} // namespace gooseberry::tools::load
