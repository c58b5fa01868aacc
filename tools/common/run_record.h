#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::tools::common {

/** How one run of one task stands, as the target itself saw it. */
enum class run_state : std::uint8_t
{
  Running,
  Succeeded,
  Failed,
};
inline constexpr core::enum_names<run_state, 3> kRunStateNames{
  { "running", "succeeded", "failed" }
};

/** One start of one task on a target, with its end once it ended. */
struct run_record
{
  std::string mTask; ///< `team/job:index`
  std::uint32_t mTry = 0;
  std::string mKind;
  std::string mTarget;
  std::string mFailureDomain;
  std::int64_t mStartUs = 0; ///< Wall clock, microseconds.
  std::int64_t mEndUs = 0;   ///< 0 while it runs.
  run_state mState = run_state::Running;
  std::uint32_t mRunning = 0; ///< Tasks on the target, this one included.

  bool operator==(const run_record&) const = default;
};

/** The record as one line of JSON, without the newline. */
std::string
Format(const run_record& aRecord);

/** Reads lines as `Format` writes them; blank lines are skipped. */
core::result<std::vector<run_record>>
ParseRecords(std::string_view aLines, std::string_view aSource);

/** Key of the job of a task `team/job:index`; all of it if there is none. */
std::string_view
JobOf(std::string_view aTask);

/** The wall clock, in microseconds since 1970. */
std::int64_t
WallClockUs();

} // namespace gooseberry::tools::common
