#include "entry_fixture.h"
#include "libgooseberry/agent/agent_control.h"
#include "libgooseberry/agent/leased_runs.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>

/**
 * Messages whose fields each have a value that the wire allows, but that make
 * no sense together. Each is handled, and the process works afterwards.
 */
namespace {

using namespace gooseberry;
using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 60;
constexpr int kMessages = 80;
constexpr core::instant kStart{ 1000s };
constexpr std::uint32_t kMaxCount = std::numeric_limits<std::int32_t>::max();
/** Bound of times on the wire. */
constexpr core::duration kLongest{ std::int64_t{ 1 } << 53 };

/** Draws field values, mostly such as are known to the receiver. */
class odd_values
{
public:
  explicit odd_values(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  template<typename Value>
  Value Any(std::initializer_list<Value> aValues)
  {
    return aValues.begin()[mRandom() % aValues.size()];
  }

  bool Chance() { return mRandom() % 2 == 0; }

  std::string Name() { return Any<std::string>({ "a", "w", "t", "", "\xff" }); }
  std::string Job() { return Any<std::string>({ "job", "job2", "", "x" }); }
  std::uint32_t Count()
  {
    return Any<std::uint32_t>({ 0, 1, 2, 9, kMaxCount - 1, kMaxCount });
  }
  core::instant Time()
  {
    return Any<core::instant>({ kStart,
                                kStart - 50ms,
                                kStart + 1h,
                                core::instant{},
                                core::instant(-kLongest),
                                core::instant(kLongest) });
  }
  core::duration Duration()
  {
    return Any<core::duration>({ 0us, 1us, 100ms, 24h, kLongest });
  }
  core::peer_ref Peer()
  {
    return { Name(), Any<std::uint64_t>({ 0, 1, 5, ~std::uint64_t{} }) };
  }
  core::ballot Ballot() { return { Count(), Peer().mIncarnation }; }
  core::resources Resources() { return { Count(), Count(), Count() }; }
  template<typename Enum, std::size_t Size>
  Enum One(const core::enum_names<Enum, Size>& /* aNames */)
  {
    return static_cast<Enum>(mRandom() % Size);
  }

  core::agent_state State()
  {
    core::agent_state state;
    state.mAgent = Peer();
    state.mAddress = Any<std::string>({ "w:1", "", "no address" });
    state.mFailureDomain = Any<std::string>({ "d", "", "unheard of" });
    state.mGeneration = Any<core::generation>({ 0, 1, kMaxCount });
    state.mTimestamp = Time();
    state.mOpen = Chance();
    state.mLeaving = Chance();
    for (std::uint32_t i = mRandom() % 3; i > 0; --i) {
      state.mTargets.push_back({ Name(),
                                 { entry::test::kService, Name() },
                                 Count(),
                                 Count(),
                                 Count(),
                                 Count(),
                                 Chance(),
                                 Resources(),
                                 Resources() });
    }
    return state;
  }

  core::task_result Result()
  {
    core::task_result result;
    result.mTask = { Job(), Count() };
    result.mTry = Count();
    result.mBallot = Ballot();
    result.mPlacement = Count();
    result.mEnd = One(core::kTaskEndNames);
    result.mReturnReason = One(core::kStartVerdictNames);
    result.mTarget = Name();
    result.mKind = Name();
    result.mRunTime = Duration();
    return result;
  }

  core::start_batch Starts()
  {
    core::start_batch batch;
    batch.mEntry = Peer();
    batch.mEntryAddress = Name();
    batch.mAgentIncarnation = 5;
    batch.mAgentTimestamp = Time();
    batch.mBacklog = Chance();
    batch.mBacklogPriority =
      Any<std::int64_t>({ 0,
                          std::numeric_limits<std::int64_t>::min(),
                          std::numeric_limits<std::int64_t>::max() });
    core::task_start start;
    start.mTask = { Job(), Count() };
    start.mTry = Count();
    start.mBallot = Ballot();
    start.mPlacement = Count();
    start.mService = Any<std::string>({ entry::test::kService, "" });
    start.mTarget = Any<std::string>({ "t", "", "x" });
    start.mPriority = batch.mBacklogPriority;
    start.mMayQueue = Chance();
    start.mNeeds = Chance() ? core::resources{ 1, 1, 0 } : Resources();
    batch.mStarts = { start, start };
    return batch;
  }

private:
  std::mt19937_64 mRandom;
};

void
SendToEntry(entry::test::leased_entry& aEntry, odd_values& aOdd)
{
  auto& [now, effects, control] = aEntry;
  core::finish_batch finish;
  finish.mState = aOdd.State();
  finish.mResults = { aOdd.Result(), aOdd.Result() };
  entry::OnAnnounce(control, aOdd.State(), now, effects);
  entry::OnFinish(control, finish, now, effects);
  core::heartbeat beat;
  beat.mEntry = aOdd.Peer();
  beat.mAddress = aOdd.Name();
  beat.mGeneration = aOdd.Any<core::generation>({ 0, 1, kMaxCount });
  beat.mTeams = { { aOdd.Name(), { aOdd.Count(), aOdd.Count() } } };
  beat.mAgents = { { aOdd.Name(), kMaxCount } };
  beat.mMillicores = aOdd.Count();
  if (aOdd.Chance()) {
    beat.mConfiguration = core::versioned_configuration{ 2, "[no state" };
  }
  entry::OnHeartbeat(control, beat, now, effects);
  entry::OnLocate(
    control,
    { { aOdd.Peer(), aOdd.Name(), aOdd.Job(), 1, aOdd.Ballot() } },
    now,
    effects);
  core::job_answer answer;
  answer.mJob = aOdd.Job();
  answer.mOutcome = aOdd.One(core::kJobOutcomeNames);
  answer.mRetryAfter = aOdd.Duration();
  entry::OnDeliver(control, { aOdd.Peer(), { answer } }, now, effects);
  core::start_reply reply;
  reply.mState = aOdd.State();
  reply.mVerdicts = { aOdd.One(core::kStartVerdictNames) };
  entry::OnStartReply(
    control, aOdd.Any<std::uint64_t>({ 0, 1, 2 }), reply, now, effects);
}

core::agent_state
SoundAgent(core::instant aNow)
{
  core::agent_state state;
  state.mAgent = { "sound", 1 };
  state.mAddress = "sound:1";
  state.mFailureDomain = "d";
  state.mTimestamp = aNow;
  state.mOpen = true;
  core::target_load load;
  load.mName = "sound-target";
  load.mServices = { entry::test::kService };
  load.mSlots = 4;
  state.mTargets = { load };
  return state;
}

agent::agent_control
MakeAgent(core::instant aNow, agent::effects& aEffects)
{
  agent::control_settings settings;
  settings.mAgent = { "agent", 5 };
  settings.mFailureDomain = "d";
  settings.mLeasedRuns = true;
  auto control = agent::MakeControl(settings);
  agent::OnConfiguration(
    control, entry::test::MakeConfiguration().mConfiguration, aNow, aEffects);
  agent::target_registration registration;
  registration.mName = "t";
  registration.mAddress = "127.0.0.1:1";
  registration.mServices = { entry::test::kService };
  registration.mSlots = 8;
  registration.mLease = 1h;
  registration.mCapacity = { 4'000, 1'024, 0 };
  agent::OnLeasedTargetRegistered(
    control, registration, { "t", "127.0.0.1:1", 7, 1 }, false, aNow, aEffects);
  for (int i = 0; i < 2; ++i) { // The first report brings the clock.
    agent::OnTargetReport(
      control, "t", { 1'000ms, 7, {}, {} }, aNow, aNow, aEffects);
  }
  return control;
}

void
SendToAgent(agent::agent_control& aAgent,
            odd_values& aOdd,
            core::instant aNow,
            agent::effects& aEffects)
{
  agent::OnStart(aAgent, aOdd.Starts(), aNow, aEffects);
  agent::OnCancel(
    aAgent, { aOdd.Peer(), { aOdd.Job() }, aOdd.Name() }, aNow, aEffects);
  agent::OnFence(aAgent,
                 { aOdd.Peer(), aOdd.Name(), aOdd.Job(), aOdd.Ballot() },
                 aNow,
                 aEffects);
  core::entry_reply reply;
  reply.mEntry = aOdd.Peer();
  reply.mLastContactAge = aOdd.Duration();
  reply.mEntries = { { aOdd.Name(), aOdd.Name() } };
  reply.mCancelled = { aOdd.Job() };
  agent::OnLoadReportAnswered(
    aAgent, aOdd.Name(), reply, aNow - 10ms, aNow, aEffects);
  agent::OnConfiguration(
    aAgent, { aOdd.Any<core::generation>({ 0, 2 }), "[x" }, aNow, aEffects);
  agent::OnTargetReport(aAgent,
                        aOdd.Name(),
                        { lease::target_time(aOdd.Count()),
                          aOdd.Any<std::uint64_t>({ 0, 7 }),
                          { { { aOdd.Job(), aOdd.Count() }, aOdd.Count() } },
                          { { aOdd.Count(),
                              { aOdd.Job(), aOdd.Count() },
                              aOdd.Count(),
                              aOdd.One(core::kTaskEndNames),
                              aOdd.Name() } } },
                        aNow - 1ms,
                        aNow,
                        aEffects);
  agent::Tick(aAgent, aNow, aEffects);
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_messages)

BOOST_AUTO_TEST_CASE(an_entry_outlives_them_and_starts_jobs)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      odd_values odd(seed);
      entry::test::leased_entry entry;
      entry::OnSubmit(entry.mControl,
                      1,
                      entry::test::MakeSubmission("job", 500ms),
                      entry.mNow,
                      entry.mEffects);
      for (int i = 0; i < kMessages; ++i) {
        SendToEntry(entry, odd);
        entry.mNow += 10ms;
        entry::Tick(entry.mControl, entry.mNow, entry.mEffects);
      }
      entry.mEffects.clear();
      entry::OnAnnounce(
        entry.mControl, SoundAgent(entry.mNow), entry.mNow, entry.mEffects);
      entry::OnSubmit(entry.mControl,
                      2,
                      entry::test::MakeSubmission("sound", 5s),
                      entry.mNow,
                      entry.mEffects);
      BOOST_TEST(job::Find(entry.mControl.mLedger, "sound") != nullptr);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_agent_outlives_them)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      odd_values odd(seed);
      agent::effects effects;
      core::instant now = kStart;
      auto control = MakeAgent(now, effects);
      for (int i = 0; i < kMessages; ++i) {
        SendToAgent(control, odd, now, effects);
        now += 10ms;
      }
      BOOST_TEST(control.mConfiguration.mGeneration == 1U);
      BOOST_TEST(control.mTargets.size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
