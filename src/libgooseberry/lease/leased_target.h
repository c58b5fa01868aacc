#pragma once

#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/core/time.h"
#include "libgooseberry/lease/call.h"
#include "libgooseberry/lease/settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Runs of tasks at one target that ends them when their lease lapses. Starts
 * may be carried out late or without an answer: a run counts as over only when
 * the target lists its end, says that it is not there and refuses it from now
 * on, or its lease has lapsed for certain.
 */
namespace gooseberry::lease {

enum class run_state : std::uint8_t
{
  Starting, ///< The start call is under way.
  InDoubt,  ///< It was not answered; the run may be there or still come.
  Running,
};

/** One run that this agent asked for and that is not known to be over. */
struct run
{
  core::task_ref mTask;
  std::uint32_t mTry = 0;
  std::uint32_t mRun = 1;
  std::string mPayload;
  run_state mState = run_state::Starting;
  /** Its entry is known to have wanted it then. */
  core::instant mConfirmedAt{};
  core::instant mSentAt{};
  std::optional<core::instant> mAnsweredAt;
  target_time mValidUntil{};
  std::uint32_t mRenumberings = 0;
  bool mStopRequested = false;
  core::instant mNextStop{};
  std::optional<core::instant> mStopAnsweredAt;
};

/** A clock reading with the times at which it was asked for and arrived. */
struct clock_reading
{
  target_time mClock{};
  core::instant mAskedAt{};
  core::instant mArrivedAt{};
};

/** How a run ended; `aVerdict` of a run that never started. */
struct run_end
{
  core::task_ref mTask;
  std::uint32_t mTry = 0;
  core::task_end mEnd = core::task_end::Failed;
  core::start_verdict mVerdict = core::start_verdict::Accepted;
  core::duration mRunTime{};
  std::string mDetail;
};

/** The target started anew, was lost, or answers again. */
struct target_change
{
  std::string mEventName;
  std::string mDetail;
};

using effect = std::variant<call, run_end, target_change>;
using effects = std::vector<effect>;

/** What a target says of itself when it registers. */
struct registration
{
  std::string mName;
  std::string mAddress;
  std::uint64_t mTargetIncarnation = 0; ///< Start of this life; zero: not told.
  std::uint64_t mSequence = 0; ///< Rises within a life; zero: not told.
};

/** A registration of another life, which the target has not confirmed yet. */
struct pending_registration
{
  registration mRegistration;
  core::instant mReceivedAt{};
};

/** All that an agent knows of the runs at one target. */
struct leased_target
{
  lease_settings mSettings;
  std::string mName;
  std::string mAddress;
  std::uint64_t mTargetIncarnation = 0;
  core::instant
    mIncarnationSince{}; ///< Answers to earlier calls are of another life.
  std::optional<pending_registration> mPendingRegistration;
  std::uint64_t mFencingToken = 0; ///< Zero: not chosen yet.
  core::instant mTokenSince{};     ///< Reports asked for since then have it.
  std::optional<clock_reading> mClock;
  target_time mLeaseUntil{}; ///< The latest that any call has asked for.
  std::uint64_t mLastEnd = 0;
  std::map<core::task_ref, run> mRuns;
  /** Nothing of an earlier agent was running at the last report. */
  bool mNoForeignRuns = false;
  bool mRenewing = false;
  core::instant mRenewalSentAt{}; ///< Of the latest.
  core::instant mNextRenewal{};
  std::optional<core::instant> mReportAskedAt; ///< Of the latest report.
  std::uint32_t mFailures = 0; ///< Renewals without a report, in a row.
};

/** Whether runs may be started there now. */
bool
IsReady(const leased_target& aTarget, core::instant aNow);

/**
 * Whether a run that its entry is known to have wanted at this time may start:
 * not where the lease that the target has been granted outlasts the run's hold.
 */
bool
MayStart(const leased_target& aTarget,
         core::instant aConfirmedAt,
         core::instant aNow);

/**
 * The target registers or renews its registration. One of another life may be
 * late or by another hand: what runs is over only once the target says so.
 */
void
OnRegistration(leased_target& aTarget,
               const registration& aRegistration,
               core::instant aNow,
               effects& aOut);

/** Starts a run of a task of which none is there; `aConfirmedAt` is when its
 * entry is known to have wanted it. */
void
StartRun(leased_target& aTarget,
         const core::task_start& aStart,
         core::instant aConfirmedAt,
         core::instant aNow,
         effects& aOut);

/** When the run's entry, which may be another now, is known to have wanted it;
 * a run that is being stopped is not wanted any more. */
void
ConfirmRun(run& aRun, core::instant aConfirmedAt);

/** Ends the run of a task, if there is one; `run_end` follows when it is over.
 */
void
StopRun(leased_target& aTarget,
        const core::task_ref& aTask,
        core::instant aNow,
        effects& aOut);

/** `aClock`: of the answer, where it has one. */
void
OnStartAnswer(leased_target& aTarget,
              const start_call& aCall,
              start_answer aAnswer,
              std::optional<target_time> aClock,
              core::instant aNow,
              effects& aOut);

/** A stop call was carried out; an unanswered one needs no report. */
void
OnStopAnswer(leased_target& aTarget,
             const stop_call& aCall,
             core::instant aNow);

void
OnReport(leased_target& aTarget,
         const target_report& aReport,
         core::instant aAskedAt,
         core::instant aNow,
         effects& aOut);

void
OnRenewalFailed(leased_target& aTarget,
                renewal_failure aFailure,
                std::optional<target_time> aClock,
                core::instant aAskedAt,
                core::instant aNow,
                effects& aOut);

/** Renewals, stops and lapses that are due. */
void
Tick(leased_target& aTarget, core::instant aNow, effects& aOut);

/** The target left or was replaced: what ran there is over. */
void
EndAll(leased_target& aTarget,
       const std::string& aReason,
       core::instant aNow,
       effects& aOut);

} // namespace gooseberry::lease
