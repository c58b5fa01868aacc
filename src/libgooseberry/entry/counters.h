#pragma once

#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"

#include <array>
#include <cstdint>

namespace gooseberry::entry {

/** Counts since the start, for metrics. */
struct entry_counters
{
  std::uint64_t mStarts = 0;         ///< Tasks sent, first copy each.
  std::uint64_t mRepeatedStarts = 0; ///< Tasks sent again unanswered.
  std::uint64_t mFinishes = 0;       ///< Results taken in.
  std::uint64_t mRepeatedFinishes = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mBacklogCalls = 0;  ///< Calls that only tell of a backlog.
  std::uint64_t mSubmissions = 0;   ///< Repeated and refused ones too.
  std::uint64_t mAnnounces = 0;     ///< Calls of agents without a result.
  std::uint64_t mFinishBatches = 0; ///< Calls of agents with results.
  std::uint64_t mStartReplies = 0;
  std::uint64_t mHeartbeats = 0; ///< Of other entries, and replies of theirs.
  std::uint64_t mLocates = 0;
  std::uint64_t mFences = 0;
  std::uint64_t mCancels = 0;
  std::uint64_t mDelivers = 0;
  std::array<std::uint64_t, 10> mRefusals{}; ///< By start_verdict.
  std::array<std::uint64_t, 3> mOutcomes{};  ///< By job_outcome.
};

/** One ended job, for the histograms. */
struct ended_sample
{
  core::duration mResponse{};
  core::duration mIdeal{};
  core::job_outcome mOutcome = core::job_outcome::Complete;
};

} // namespace gooseberry::entry
