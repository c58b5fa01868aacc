#pragma once

#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"

#include <array>
#include <cstdint>

namespace gooseberry::entry {

/** Counts since the entry's start, for metrics. */
struct entry_counters
{
  std::uint64_t mStarts = 0;         ///< Tasks sent, without resends.
  std::uint64_t mRepeatedStarts = 0; ///< Resends of unanswered tasks.
  std::uint64_t mFinishes = 0;       ///< Results applied.
  std::uint64_t mRepeatedFinishes = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mBacklogCalls = 0;  ///< Start calls without tasks.
  std::uint64_t mSubmissions = 0;   ///< With repeated, refused ones.
  std::uint64_t mAnnounces = 0;     ///< Load reports without results.
  std::uint64_t mFinishBatches = 0; ///< Calls with results.
  std::uint64_t mStartReplies = 0;
  std::uint64_t mHeartbeats = 0; ///< Received, and replies received.
  std::uint64_t mLocates = 0;
  std::uint64_t mFences = 0;
  std::uint64_t mCancels = 0;
  std::uint64_t mDelivers = 0;
  std::uint64_t mShed = 0; ///< Waiting jobs refused before their time was up.
  std::uint64_t mTrafficStateChanges = 0;
  std::uint64_t mRatesDropped = 0; ///< Implausible rates in heartbeats.
  std::array<std::uint64_t, 10> mRefusals{}; ///< By start_verdict.
  std::array<std::uint64_t, 3> mOutcomes{};  ///< By job_outcome.
};

/** Sample of one ended job, for the histograms. */
struct ended_sample
{
  core::duration mResponse{};
  core::duration mIdeal{};
  core::job_outcome mOutcome = core::job_outcome::Complete;
};

} // namespace gooseberry::entry
