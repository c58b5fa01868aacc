#include "platform/target_client.h"

#include "agent/control_thread.h"
#include "libgooseberry/agent/leased_runs.h"
#include "libgooseberryio/clock.h"
#include "libgooseberryio/http_server.h"

#include <boost/test/unit_test.hpp>

#include <mutex>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr const char* kName = "i-1";
constexpr std::uint64_t kLife = 1'764'921'600'000;
constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr const char* kWhole = R"({"clockMs":1000,"born":1764921600000,)"
                               R"("running":[],"finished":[]})";

/** A target that answers each call with the same words. */
class fake_target
{
public:
  fake_target()
    : mServer({ .mAddress = "127.0.0.1:0" })
  {
    for (const char* const path : { "/run-start", "/run-stop", "/hold" }) {
      mServer.Route("POST", path, [this](const io::http_request&) {
        const std::lock_guard lock(mMutex);
        return mAnswer;
      });
    }
    BOOST_REQUIRE(!mServer.Start());
  }

  void Answer(unsigned aStatus, std::string aBody)
  {
    const std::lock_guard lock(mMutex);
    mAnswer.mStatus = aStatus;
    mAnswer.mBody = std::move(aBody);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

private:
  std::mutex mMutex;
  io::http_response mAnswer;
  io::http_server mServer;
};

agent::agent_control
MakeAgent()
{
  agent::control_settings settings;
  settings.mAgent = { "agent", 5 };
  settings.mFailureDomain = "north";
  settings.mLeasedRuns = true;
  // Renewals are sent by the tests only.
  settings.mLease.mRenewOverdue = 1h;
  settings.mLease.mRenewRetry = 1h;
  return agent::MakeControl(settings);
}

/** An agent that knows one target and calls it only when told to. */
struct client_fixture
{
  fake_target mTarget;
  agentd::control_thread mControl{ MakeAgent(), 1'024 };
  std::unique_ptr<platform::target_client> mClient;

  client_fixture()
  {
    mControl.Start([](const agent::effect&) {
      return std::optional<agentd::control_event>();
    });
    agent::target_registration announcement;
    announcement.mName = kName;
    announcement.mAddress = mTarget.Address();
    announcement.mServices = { "press" };
    announcement.mSlots = 8;
    announcement.mLease = 60s;
    BOOST_REQUIRE(Ask<bool>([&](auto& aState, auto aNow, auto& aOut) {
      return agent::OnLeasedTargetRegistered(
        aState,
        announcement,
        { kName, mTarget.Address(), kLife, 1 },
        false,
        aNow,
        aOut);
    }));
    mClient = std::make_unique<platform::target_client>(mControl);
    Hold(kWhole); // Brings the clock, from which the token is taken.
    Hold(kWhole);
  }

  ~client_fixture()
  {
    mClient->Stop();
    mControl.Stop();
  }

  template<typename Value, typename Question>
  Value Ask(Question aQuestion)
  {
    return mControl.Ask<Value>(
      [&](agent::agent_control& aState, core::instant aNow, auto& aOut) {
        return aQuestion(aState, aNow, aOut);
      });
  }

  lease::leased_target State()
  {
    return Ask<lease::leased_target>([](auto& aState, auto, auto&) {
      return *aState.mTargets.at(kName).mLeased;
    });
  }

  lease::call_header Header()
  {
    lease::call_header header;
    header.mTarget = kName;
    header.mAddress = mTarget.Address();
    header.mTargetIncarnation = kLife;
    header.mDeadline = 2s;
    return header;
  }

  /** Waits until the state is as wanted; false where it stays otherwise. */
  template<typename Predicate>
  bool Becomes(Predicate aWanted)
  {
    constexpr int kRounds = 400;
    for (int i = 0; i < kRounds; ++i) {
      if (aWanted(State())) {
        return true;
      }
      std::this_thread::sleep_for(5ms);
    }
    return false;
  }

  /** A renewal that is answered so; the state once that is dealt with. */
  lease::leased_target Hold(const std::string& aAnswer)
  {
    mTarget.Answer(200, aAnswer);
    const core::instant begin = io::Now();
    const auto failures = State().mFailures;
    Ask<bool>([&](auto& aState, auto, auto&) {
      auto& target = *aState.mTargets.at(kName).mLeased;
      // The agent sends none meanwhile, for which this one would be lost.
      target.mRenewing = true;
      target.mRenewalSentAt = begin;
      target.mNextRenewal = begin + 1h;
      return true;
    });
    mClient->Post(lease::renew_call{ Header(), 1'000ms, 0, 0ms });
    BOOST_TEST(Becomes([&](const lease::leased_target& aState) {
      return aState.mFailures > failures ||
             (aState.mClock && aState.mClock->mAskedAt >= begin);
    }));
    return State();
  }

  /** A run that the target is known to have taken long ago. */
  void AddRun(std::uint32_t aIndex)
  {
    Ask<bool>([&](auto& aState, core::instant aNow, auto&) {
      lease::run run;
      run.mTask = { kJob, aIndex };
      run.mState = lease::run_state::Running;
      run.mCallSentBy = aNow - 1s;
      run.mConfirmedAt = aNow + 1h;
      run.mNextResend = aNow + 1h;
      run.mSentAt = aNow - 1s;
      run.mAnsweredAt = aNow - 1s;
      auto& target = *aState.mTargets.at(kName).mLeased;
      target.mRuns[run.mTask] = run;
      target.mLeaseUntil = 1h;
      return true;
    });
  }

  /** A run whose start call is under way. */
  void AddStart(std::uint32_t aIndex)
  {
    AddRun(aIndex);
    Ask<bool>([&](auto& aState, auto, auto&) {
      auto& target = *aState.mTargets.at(kName).mLeased;
      target.mRuns.at({ kJob, aIndex }).mState = lease::run_state::Starting;
      return true;
    });
  }
};

std::string
Report(const std::string& aRunning, const std::string& aFinished)
{
  return R"({"clockMs":2000,"born":1764921600000,"running":[)" + aRunning +
         R"(],"finished":[)" + aFinished + "]}";
}

std::string
Task(int aIndex)
{
  return '"' + std::string(kJob) + ".0.0." + std::to_string(aIndex) + '"';
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(target_client, client_fixture)

BOOST_AUTO_TEST_CASE(a_report_is_taken_in)
{
  AddRun(1);
  AddRun(2);
  const auto state = Hold(Report("[" + Task(1) + R"(,1,"",5,0])",
                                 "[70," + Task(2) + R"(,1,"done",""])"));
  BOOST_TEST((state.mClock->mClock == 2'000ms));
  BOOST_TEST(state.mLastEnd == 70U);
  BOOST_TEST(state.mRuns.size() == 1U);
}

BOOST_AUTO_TEST_CASE(odd_rows_do_not_cost_the_report)
{
  for (const char* const row : { "7",
                                 "null",
                                 "{}",
                                 "[]",
                                 "[7]",
                                 "[7,1]",
                                 R"(["x.0.0.1"])",
                                 R"(["5c0e7a21d94b36f8.0.0.9",-1])",
                                 R"(["5c0e7a21d94b36f8.0.0.9",1.5])",
                                 R"(["5c0e7a21d94b36f8.0.0.9","1"])",
                                 R"(["5c0e7a21d94b36f8.0.0.9",4294967297])",
                                 R"(["5c0e7a21d94b36f8.0.0.9",1e300])",
                                 R"([-1,"x",1,"done",""])",
                                 R"([1e300,"x",1,"done",""])",
                                 R"(["1","x",1,"done",""])",
                                 R"([18446744073709551615,"x",1,"done",""])",
                                 R"([3,7,1,"done",""])",
                                 R"([3,"x",-1,"done",""])",
                                 R"([3,"x",1,7,""])" }) {
    BOOST_TEST_CONTEXT(row)
    {
      Ask<bool>([](auto& aState, auto, auto&) {
        auto& target = *aState.mTargets.at(kName).mLeased;
        target.mLastEnd = 0;
        target.mClock->mClock = 0ms;
        return true;
      });
      AddRun(1);
      AddRun(2);
      const std::string odd(row);
      const auto state =
        Hold(Report("[" + Task(1) + R"(,1,"",5,0],)" + odd,
                    odd + ",[70," + Task(2) + R"(,1,"done",""])"));
      BOOST_TEST((state.mClock->mClock == 2'000ms));
      BOOST_TEST(state.mFailures == 0U);
      BOOST_TEST(state.mLastEnd == 70U);
      BOOST_TEST(state.mRuns.contains({ kJob, 1 }));
      BOOST_TEST(!state.mRuns.contains({ kJob, 2 }));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_run_is_not_missing_where_a_row_cannot_be_read)
{
  AddRun(1);
  auto state = Hold(Report("[" + Task(1) + R"(,"one"])", ""));
  BOOST_TEST(state.mFailures == 0U);
  BOOST_TEST(state.mRuns.contains({ kJob, 1 }));
  state = Hold(Report("", ""));
  BOOST_TEST(!state.mRuns.contains({ kJob, 1 }));
}

BOOST_AUTO_TEST_CASE(an_odd_row_does_not_say_that_a_start_was_not_carried_out)
{
  AddRun(1);
  Ask<bool>([](auto& aState, auto, auto&) {
    auto& run = aState.mTargets.at(kName).mLeased->mRuns.at({ kJob, 1 });
    run.mState = lease::run_state::InDoubt;
    run.mStopRequested = true;
    run.mNextStop = io::Now() + 1h;
    return true;
  });
  auto state = Hold(Report("7", ""));
  BOOST_TEST(state.mFailures == 1U);
  BOOST_TEST((state.mRuns.at({ kJob, 1 }).mState == lease::run_state::InDoubt));
  state = Hold(Report("", ""));
  BOOST_TEST(!state.mRuns.contains({ kJob, 1 }));
}

// Double run: a start under way counted as carried out, so the next report,
// which could not list it yet, said that its run was lost.
BOOST_AUTO_TEST_CASE(an_odd_row_does_not_say_that_a_start_was_carried_out)
{
  AddRun(1);
  Ask<bool>([](auto& aState, core::instant aNow, auto&) {
    auto& run = aState.mTargets.at(kName).mLeased->mRuns.at({ kJob, 1 });
    run.mState = lease::run_state::Starting;
    run.mSentAt = aNow + 1h; // Not overdue.
    run.mAnsweredAt.reset();
    run.mCallSentBy.reset();
    return true;
  });
  auto state = Hold(Report("7", ""));
  BOOST_TEST(state.mFailures == 0U);
  state = Hold(Report("", ""));
  BOOST_REQUIRE(state.mRuns.contains({ kJob, 1 }));
  BOOST_TEST(
    (state.mRuns.at({ kJob, 1 }).mState == lease::run_state::Starting));
}

BOOST_AUTO_TEST_CASE(an_end_with_odd_words_is_acknowledged)
{
  const auto state = Hold(Report("", R"([9,{},"x",7,[]])"));
  BOOST_TEST(state.mLastEnd == 9U);
}

BOOST_AUTO_TEST_CASE(a_report_without_a_readable_clock_or_life_is_none)
{
  for (const char* const body :
       { "",
         "[]",
         "7",
         "\xff",
         R"({"running":[],"finished":[]})",
         R"({"clockMs":"1","running":[],"finished":[]})",
         R"({"clockMs":-1,"running":[],"finished":[]})",
         R"({"clockMs":1.5,"running":[],"finished":[]})",
         R"({"clockMs":1e300,"running":[],"finished":[]})",
         R"({"clockMs":18446744073709551615,"running":[],"finished":[]})",
         R"({"clockMs":9007199254740992,"running":[],"finished":[]})",
         R"({"clockMs":3000,"born":"1","running":[],"finished":[]})",
         R"({"clockMs":3000,"born":-1,"running":[],"finished":[]})",
         R"({"clockMs":3000,"born":1e300,"running":[],"finished":[]})",
         R"({"clockMs":3000,"running":{},"finished":[]})",
         R"({"clockMs":3000,"running":[],"finished":7})",
         R"({"clockMs":3000,"finished":[]})" }) {
    BOOST_TEST_CONTEXT(body)
    {
      AddRun(1);
      const auto failures = State().mFailures;
      const auto state = Hold(body);
      BOOST_TEST(state.mFailures > failures);
      BOOST_TEST((state.mClock->mClock == 1'000ms));
      BOOST_TEST(state.mTargetIncarnation == kLife);
      BOOST_TEST(state.mRuns.contains({ kJob, 1 }));
    }
  }
}

BOOST_AUTO_TEST_CASE(odd_answers_to_a_start_leave_it_uncertain)
{
  for (const char* const body : { R"({"clockMs":5,"reason":7})",
                                  R"({"clockMs":5,"reason":null})",
                                  R"({"clockMs":5,"reason":["room"]})",
                                  R"({"clockMs":-5,"reason":"unheard of"})",
                                  R"({"reason":{}})",
                                  "[]",
                                  "\xff",
                                  "" }) {
    BOOST_TEST_CONTEXT(body)
    {
      AddStart(1);
      mTarget.Answer(409, body);
      mClient->Post(lease::start_call{
        Header(), 0, { kJob, 1 }, 1, "cut", 9'000ms, io::Now() + 1s });
      BOOST_TEST(Becomes([](const lease::leased_target& aState) {
        const auto run = aState.mRuns.find({ kJob, 1 });
        return run != aState.mRuns.end() &&
               run->second.mState == lease::run_state::InDoubt;
      }));
    }
  }
}

// A start that was dropped without an answer occupied its target for good.
BOOST_AUTO_TEST_CASE(a_start_that_is_not_sent_is_answered_so)
{
  AddStart(1);
  mClient->Stop();
  mClient->Post(lease::start_call{
    Header(), 0, { kJob, 1 }, 1, "cut", 9'000ms, io::Now() + 1s });
  BOOST_TEST(Becomes([](const lease::leased_target& aState) {
    return !aState.mRuns.contains({ kJob, 1 });
  }));
}

// Double run: an agent that had stood still sent a waiting start to the next
// process of its target.
BOOST_AUTO_TEST_CASE(a_start_that_has_waited_too_long_is_not_sent)
{
  AddStart(1);
  mTarget.Answer(200, R"({"clockMs":1000})");
  mClient->Post(lease::start_call{
    Header(), 0, { kJob, 1 }, 1, "cut", 9'000ms, io::Now() });
  BOOST_TEST(Becomes([](const lease::leased_target& aState) {
    return !aState.mRuns.contains({ kJob, 1 });
  }));
}

// Leases lapsed for good: renewals that had waited for seconds behind those to
// a silent target were sent, and asked for leases that were over.
BOOST_AUTO_TEST_CASE(a_renewal_that_has_waited_too_long_is_not_sent)
{
  mTarget.Answer(200, kWhole);
  const auto before = State().mClock;
  mClient->Post(lease::renew_call{ Header(), 1'000ms, 0, 0ms, io::Now() });
  mClient->Stop(); // Serves what waits.
  BOOST_TEST((State().mClock->mAskedAt == before->mAskedAt));
}

BOOST_AUTO_TEST_SUITE_END()
