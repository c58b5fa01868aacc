#include "libgooseberry/lease/internal.h"

#include <algorithm>
#include <utility>
#include <vector>

/** The end of runs and of incarnations of the target. */
namespace gooseberry::lease {

call_header
HeaderFor(const leased_target& aTarget, core::duration aWait)
{
  return { aTarget.mName,
           aTarget.mAddress,
           aTarget.mFencingToken,
           aTarget.mTargetIncarnation,
           aTarget.mSettings.mCallDeadline + aWait };
}

void
SendStop(leased_target& aTarget,
         const core::task_ref& aTask,
         std::uint32_t aRun,
         effects& aOut)
{
  aOut.emplace_back(call(stop_call{ HeaderFor(aTarget), aTask, aRun }));
}

void
EndRun(leased_target& aTarget,
       const core::task_ref& aTask,
       core::task_end aEnd,
       core::start_verdict aVerdict,
       std::string aDetail,
       core::instant aNow,
       effects& aOut)
{
  const auto found = aTarget.mRuns.find(aTask);
  const run ended = std::move(found->second);
  aTarget.mRuns.erase(found);
  if (HasOpenCalls(ended) && aEnd != core::task_end::Succeeded) {
    aTarget.mLateStarts[ended.mTask] =
      CallExpiry(aTarget, ended.mOpenCalls.back());
    // The task may yet be started here, so its entry must not place it again.
    aEnd = aEnd == core::task_end::Failed ? aEnd : core::task_end::Unknown;
  }
  aOut.emplace_back(run_end{ ended.mTask,
                             ended.mTry,
                             aEnd,
                             aVerdict,
                             aNow - ended.mSentAt,
                             std::move(aDetail) });
}

void
ReturnRun(leased_target& aTarget,
          const core::task_ref& aTask,
          core::start_verdict aVerdict,
          std::string aDetail,
          core::instant aNow,
          effects& aOut)
{
  const bool hasStarted = aTarget.mRuns.at(aTask).mHasStarted;
  EndRun(aTarget,
         aTask,
         hasStarted ? core::task_end::Lost : core::task_end::Returned,
         hasStarted ? core::start_verdict::Accepted : aVerdict,
         std::move(aDetail),
         aNow,
         aOut);
}

void
EndRuns(leased_target& aTarget,
        const std::string& aReason,
        core::instant aNow,
        effects& aOut,
        const run_predicate& aPredicate)
{
  std::vector<core::task_ref> ended;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (aPredicate(run)) {
      ended.push_back(task);
    }
  }
  for (const core::task_ref& task : ended) {
    EndRun(aTarget,
           task,
           core::task_end::Lost,
           core::start_verdict::Accepted,
           aReason,
           aNow,
           aOut);
  }
}

run*
FindRun(leased_target& aTarget, const core::task_ref& aTask, std::uint32_t aRun)
{
  const auto found = aTarget.mRuns.find(aTask);
  return found != aTarget.mRuns.end() && found->second.mRun == aRun
           ? &found->second
           : nullptr;
}

bool
IsCurrentIncarnation(const leased_target& aTarget, const call_header& aHeader)
{
  return aHeader.mTarget == aTarget.mName &&
         aHeader.mTargetIncarnation == aTarget.mTargetIncarnation;
}

namespace {

/**
 * Takes runs along to the new incarnation of which a start call may reach it.
 * Their starts are sent again there, as they may be started nowhere else.
 */
void
CarryOverRuns(leased_target& aTarget, core::instant aNow, effects& aOut)
{
  EndRuns(aTarget, "target restarted", aNow, aOut, IsKnownToBeThere);
  for (auto& [task, run] : aTarget.mRuns) {
    run.mState = run_state::InDoubt;
    run.mIsConfirmed = false;
    run.mMayBeAtNextProcess = false;
    run.mIsOverAtProcess = false;
    run.mResends = 0;
    run.mNextResend = aNow;
    run.mStopAnsweredAt.reset();
    run.mNextStop = aNow;
  }
}

} // namespace

void
AdoptRegistration(leased_target& aTarget,
                  const registration& aRegistration,
                  core::instant aNow,
                  effects& aOut)
{
  BeginIncarnation(aTarget, aRegistration.mTargetIncarnation, aNow, aOut);
  aTarget.mName = aRegistration.mName;
  aTarget.mAddress = aRegistration.mAddress;
}

void
AdoptPendingRegistration(leased_target& aTarget,
                         core::instant aNow,
                         effects& aOut)
{
  if (aTarget.mPendingRegistration) {
    const registration next = aTarget.mPendingRegistration->mRegistration;
    AdoptRegistration(aTarget, next, aNow, aOut);
  }
}

void
BeginIncarnation(leased_target& aTarget,
                 std::uint64_t aIncarnation,
                 core::instant aNow,
                 effects& aOut)
{
  if (aTarget.mTargetIncarnation != 0) {
    aOut.emplace_back(target_change{ "target_restarted", aTarget.mName });
  }
  CarryOverRuns(aTarget, aNow, aOut);
  aTarget.mTargetIncarnation = aIncarnation;
  aTarget.mIncarnationSince = aNow;
  aTarget.mPendingRegistration.reset();
  aTarget.mRenewing = false;
  aTarget.mLastEnd = 0;
  aTarget.mLeaseUntil = {};
  aTarget.mClock.reset();
  aTarget.mReportAskedAt.reset();
  aTarget.mNextRenewal = aNow;
  RaiseToken(aTarget, target_time::zero(), aNow);
}

namespace {

/**
 * Returns the lowest token for a call that is made at this clock. The clock of
 * each process starts at any value, so the start time has the greater weight:
 * one that is a second later outweighs a clock that is 4.5 hours behind.
 */
std::uint64_t
TokenAt(const leased_target& aTarget, target_time aClock)
{
  constexpr std::uint64_t kPerStartMs = 1'024; // Tokens for each millisecond.
  constexpr std::uint64_t kClockMsPerToken = 16;
  return aTarget.mTargetIncarnation * kPerStartMs +
         static_cast<std::uint64_t>(aClock.count()) / kClockMsPerToken;
}

void
SetToken(leased_target& aTarget, std::uint64_t aToken, core::instant aNow)
{
  aTarget.mFencingToken = std::max(aTarget.mFencingToken + 1, aToken);
  aTarget.mTokenSince = aNow;
  aTarget.mHasSeenToken = false;
  aTarget.mNoForeignRuns = false;
}

} // namespace

void
RaiseToken(leased_target& aTarget, target_time aClock, core::instant aNow)
{
  SetToken(aTarget, TokenAt(aTarget, aClock), aNow);
}

void
OutrankToken(leased_target& aTarget, target_time aClock, core::instant aNow)
{
  constexpr std::uint64_t kFirstLead = 1'000;
  const std::uint64_t least = TokenAt(aTarget, aClock);
  const std::uint64_t lead = std::max(aTarget.mFencingToken, least) - least;
  SetToken(aTarget,
           std::min(least + std::max(2 * lead, kFirstLead), kMaxFencingToken),
           aNow);
}

} // namespace gooseberry::lease
