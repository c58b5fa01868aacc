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
 * Runs of tasks at one target, which ends them when their lease expires. A
 * start may be carried out late or without an answer, also by the target's next
 * process, whatever an earlier one has answered. So a start without an answer
 * is sent again to the same target under the same run number, which has no
 * effect where the run is there or has ended, and its task is started nowhere
 * else. Any other run has ended when the target lists its end, when the target
 * does not list it, or when its lease has certainly expired.
 */
namespace gooseberry::lease {

enum class run_state : std::uint8_t
{
  Starting, ///< A start call is in flight.
  InDoubt,  ///< No answer; the run may have started or may yet start.
  Running,
};

/** A start call that has had no answer. */
struct open_call
{
  std::uint64_t mId = 0;
  core::instant mSentAt{};
};

/** One run that this agent requested and that is not known to have ended. */
struct run
{
  core::task_ref mTask;
  std::uint32_t mTry = 0;
  std::uint32_t mRun = 1;
  std::string mPayload;
  run_state mState = run_state::Starting;
  std::uint64_t mCall = 0; ///< Id of the latest start call.
  /**
   * Start calls without an answer. Each may be carried out until its lifetime
   * is over, by whatever process the target then has, so the task is started
   * nowhere else until then.
   */
  std::vector<open_call> mOpenCalls;
  std::uint32_t mCallsMade = 0;
  bool mHasStarted = false;   ///< At any process of the target.
  std::uint32_t mResends = 0; ///< Since the target last listed the run.
  core::instant mNextResend{};
  /** The target's process will not start it again: it has ended there. */
  bool mIsOverAtProcess = false;
  /** Since when that call is known to be sent or to have ended. Before, it may
   * reach the process that listens when it is sent. */
  std::optional<core::instant> mCallSentBy;
  /** The run is known to be at the current incarnation. Any other run may have
   * been started by the next one, which a start call may have reached. */
  bool mIsConfirmed = false;
  /** A process that no report has shown yet has accepted one of the calls. */
  bool mMayBeAtNextProcess = false;
  /** Latest time at which its entry is known to have required the run. */
  core::instant mConfirmedAt{};
  core::instant mSentAt{};
  std::optional<core::instant> mAnsweredAt;
  target_time mValidUntil{};
  std::uint32_t mRenumberings = 0;
  bool mStopRequested = false;
  core::instant mNextStop{};
  std::optional<core::instant> mStopAnsweredAt;
};

/** A clock reading with the times of its request and arrival. */
struct clock_reading
{
  target_time mClock{};
  core::instant mAskedAt{};
  core::instant mArrivedAt{};
};

/** How a run ended; `mVerdict` says why a run never started. */
struct run_end
{
  core::task_ref mTask;
  std::uint32_t mTry = 0;
  core::task_end mEnd = core::task_end::Failed;
  core::start_verdict mVerdict = core::start_verdict::Accepted;
  core::duration mRunTime{};
  std::string mDetail;
};

/** A change of the target to log: restarted, silent or answering again. */
struct target_change
{
  std::string mEventName;
  std::string mDetail;
};

using effect = std::variant<call, run_end, target_change>;
using effects = std::vector<effect>;

/** Data that a target sends when it registers. */
struct registration
{
  std::string mName;
  std::string mAddress;
  std::uint64_t mTargetIncarnation = 0; ///< Its start time; zero: unknown.
  std::uint64_t mSequence = 0; ///< Rises within an incarnation; zero: unknown.
};

/** A registration of another incarnation that no report has confirmed yet. */
struct pending_registration
{
  registration mRegistration;
  core::instant mReceivedAt{};
};

/** State of the runs at one target as the agent knows it. */
struct leased_target
{
  lease_settings mSettings;
  std::string mName;
  std::string mAddress;
  /** Answers to earlier calls are of another incarnation. */
  std::uint64_t mTargetIncarnation = 0;
  core::instant mIncarnationSince{};
  std::optional<pending_registration> mPendingRegistration;
  std::uint64_t mFencingToken = 0; ///< Never falls; zero: no call made.
  core::instant mTokenSince{};     ///< Reports requested since then carry it.
  bool mHasSeenToken = false;      ///< Such a report has arrived.
  std::optional<clock_reading> mClock;
  target_time mLeaseUntil{}; ///< Latest end of a lease that may be granted.
  std::uint64_t mLastEnd = 0;
  std::map<core::task_ref, run> mRuns;
  /** Tasks of ended runs of which a start call may yet be carried out, and
   * until when. */
  std::map<core::task_ref, core::instant> mLateStarts;
  std::uint64_t mLastCall = 0; ///< Id of the latest start call.
  /** The last report listed no runs that this agent did not start. */
  bool mNoForeignRuns = false;
  bool mRenewing = false;
  core::instant mRenewalSentAt{}; ///< Of the latest renewal.
  core::instant mNextRenewal{};
  std::optional<core::instant> mReportAskedAt; ///< Of the latest report.
  std::uint32_t mFailures = 0;   ///< Consecutive renewals without a report.
  core::duration mRenewalWait{}; ///< Of the latest renewal.
  /** A report has arrived since a renewal last extended the lease. */
  bool mIsExtensionAnswered = true;
  /** It has left a call unanswered; until then, it is taken to do so again. */
  core::instant mLosesCallsUntil{};
  bool mIsRefusing = false; ///< A connection was refused since the last report.
};

/** Returns whether a start call of the run may yet be carried out. */
bool
HasOpenCalls(const run& aRun);

/** Returns whether the run is known to be at the target's present process, and
 * no start call of it may reach the next one. */
bool
IsKnownToBeThere(const run& aRun);

/** Returns whether runs may be started at the target now. */
bool
IsReady(const leased_target& aTarget, core::instant aNow);

/**
 * Returns whether a run that its entry required at `aConfirmedAt` may start. It
 * may not if the lease granted to the target outlasts the run's hold.
 */
bool
MayStart(const leased_target& aTarget,
         core::instant aConfirmedAt,
         core::instant aNow);

/**
 * Handles a registration or its renewal. A registration of another incarnation
 * may be late or forged, so runs end only once a report confirms it.
 */
void
OnRegistration(leased_target& aTarget,
               const registration& aRegistration,
               core::instant aNow,
               effects& aOut);

/** Starts a run of a task that has none; `aConfirmedAt` is when its entry is
 * known to have required it. */
void
StartRun(leased_target& aTarget,
         const core::task_start& aStart,
         core::instant aConfirmedAt,
         core::instant aNow,
         effects& aOut);

/** Records when the run's entry, which may have changed, is known to have
 * required the run. Ignored for a run that is being stopped. */
void
ConfirmRun(run& aRun, core::instant aConfirmedAt);

/** Stops the run of a task, if there is one; `run_end` follows when it ends. */
void
StopRun(leased_target& aTarget,
        const core::task_ref& aTask,
        core::instant aNow,
        effects& aOut);

/** Handles the answer to a start call; `aClock` is the target's clock in the
 * answer, if given. */
void
OnStartAnswer(leased_target& aTarget,
              const start_call& aCall,
              start_answer aAnswer,
              std::optional<target_time> aClock,
              core::instant aNow,
              effects& aOut);

/** Handles that a start call had been sent when it was to be withdrawn. */
void
OnStartSent(leased_target& aTarget, std::uint64_t aStartId, core::instant aNow);

/** Handles the answer to a stop call; unanswered calls are not reported. */
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

/** Sends the renewals and stops that are due; ends runs whose lease expired. */
void
Tick(leased_target& aTarget, core::instant aNow, effects& aOut);

} // namespace gooseberry::lease
