#include "libgooseberryio/protocol/convert.h"

#include <boost/test/unit_test.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <limits>
#include <memory>

using namespace gooseberry;

namespace {

/** Both directions give what went in, compared in the wire's terms. */
template<typename Message>
void
CheckRoundTrip(const Message& aMessage)
{
  const auto wire = io::ToWire(aMessage);
  BOOST_TEST((io::ToWire(io::FromWire(wire)) == wire));
}

core::agent_state
SampleState()
{
  core::agent_state state;
  state.mAgent = { .mName = "agent-1", .mIncarnation = ~0ULL };
  state.mAddress = "127.0.0.1:1";
  state.mFailureDomain = "Brasov";
  state.mRack = "r1";
  state.mGeneration = 7;
  state.mTimestamp = core::instant(core::duration(-5));
  state.mOpen = true;
  state.mTargets = { { .mName = "t",
                       .mServices = { "tab-order", "almanac" },
                       .mSlots = 8,
                       .mRunning = 3,
                       .mQueued = 2,
                       .mConsecutiveFailures = 1,
                       .mLeaving = true } };
  state.mJobsInDoubt = { "team/job", "team/other" };
  return state;
}

core::task_result
SampleResult()
{
  return { .mTask = { .mJob = "team/job", .mIndex = 4 },
           .mTry = 2,
           .mBallot = { .mRound = 3, .mEntry = ~0ULL },
           .mPlacement = 9,
           .mEnd = core::task_end::Returned,
           .mReturnReason = core::start_verdict::NotOpen,
           .mTarget = "t",
           .mKind = "proof",
           .mRunTime = core::duration(123456),
           .mPayload = std::string("a\0\xff", 3) };
}

core::start_batch
SampleBatch()
{
  core::start_batch batch;
  batch.mEntry = { .mName = "entry-1", .mIncarnation = 1ULL << 63U };
  batch.mEntryAddress = "127.0.0.1:2";
  batch.mAgentIncarnation = 42;
  batch.mAgentTimestamp = core::instant(core::duration(77));
  batch.mGeneration = 3;
  batch.mBacklog = true;
  core::task_start start;
  start.mTask = { .mJob = "team/job", .mIndex = 869 };
  start.mTry = 3;
  start.mBallot = { .mRound = 2, .mEntry = ~0ULL };
  start.mPlacement = 5;
  start.mService = "tab-order";
  start.mKind = "proof";
  start.mTarget = "t";
  start.mPayload = std::string(1000, '\0');
  start.mPriority = -1;
  batch.mStarts = { start };
  return batch;
}

} // namespace

BOOST_AUTO_TEST_SUITE(convert)

BOOST_AUTO_TEST_CASE(messages_to_agents_survive_the_wire)
{
  CheckRoundTrip(SampleBatch());
  core::start_reply reply{ .mState = SampleState(), .mVerdicts = {} };
  for (std::size_t i = 0; i < core::kStartVerdictNames.mNames.size(); ++i) {
    reply.mVerdicts.push_back(static_cast<core::start_verdict>(i));
  }
  CheckRoundTrip(reply);
  CheckRoundTrip(
    core::cancel_batch{ { "entry-1", 1 }, { "team/job" }, "127.0.0.1:1" });
  CheckRoundTrip(core::fence_request{
    { "entry-1", 1 }, "127.0.0.1:2", "team/job", { 2, 1 } });
  CheckRoundTrip(core::fence_reply{
    { "agent-1", 1 },
    "team/job",
    { 2, 1 },
    "127.0.0.1:2",
    { { core::record_state::ResultDropped, SampleResult() } } });
  const core::copy_fences_reply copy{
    { "agent-1", 1 }, true, { { "team/job", { 2, 1 }, "127.0.0.1:2" } }
  };
  const auto wire = io::ToWire(copy);
  BOOST_TEST((io::ToWire(io::CopyFencesFromWire(wire)) == wire));
}

BOOST_AUTO_TEST_CASE(messages_to_entries_survive_the_wire)
{
  CheckRoundTrip(SampleState());
  CheckRoundTrip(core::finish_batch{ SampleState(), { SampleResult() } });
  CheckRoundTrip(core::entry_reply{});
  CheckRoundTrip(core::entry_reply{ { "entry-1", 1 },
                                    8,
                                    ~0ULL,
                                    core::duration(0),
                                    core::versioned_configuration{ 8, "[x]" },
                                    { { "entry-2", "127.0.0.1:3" } },
                                    { "team/job" },
                                    11 });
  CheckRoundTrip(core::locate_request{
    { "entry-1", 1 }, "127.0.0.1:2", "team/job", ~0ULL, { 2, 1 } });
  CheckRoundTrip(core::locate_reply{ { "entry-1", 1 },
                                     "team/job",
                                     core::locate_verdict::ContentMismatch,
                                     { 2, 1 },
                                     "entry-2" });
  core::heartbeat beat;
  beat.mEntry = { "entry-1", 1 };
  beat.mTeams = { { "a", { 1, 2 } } };
  beat.mConfiguration = core::versioned_configuration{ 4, "text" };
  beat.mAgents = { { "agent-1", 4 } };
  beat.mBusy = true;
  beat.mFailureDomain = "cluj";
  beat.mMillicores = 120;
  CheckRoundTrip(beat);
  beat.mJobsPerSecond = 51.5;
  CheckRoundTrip(beat);
  beat.mEvidenceAge = core::duration(40);
  beat.mConfirmedGeneration = 9;
  CheckRoundTrip(beat);
  core::job_answer answer;
  answer.mJob = "team/job";
  answer.mOutcome = core::job_outcome::NotRun;
  answer.mResults = { "", std::string(1, '\0') };
  answer.mRetryAfter = core::duration(1);
  answer.mStatus = 503;
  CheckRoundTrip(core::deliver_request{ { "entry-1", 1 }, { answer } });
}

BOOST_AUTO_TEST_CASE(optional_fields_stay_unset)
{
  const auto reply = io::FromWire(io::ToWire(core::entry_reply{}));
  BOOST_TEST(!reply.mLastContactAge.has_value());
  BOOST_TEST(!reply.mConfiguration.has_value());
  const auto answer = io::FromWire(io::ToWire(core::job_answer{}));
  BOOST_TEST(!answer.mRetryAfter.has_value());
}

// Agents of the version before do not set the field.
BOOST_AUTO_TEST_CASE(a_result_without_a_ballot_names_no_start)
{
  auto wire = io::ToWire(SampleResult());
  BOOST_TEST(bool(wire.__isset.ballot));
  wire.__isset.ballot = false;
  BOOST_TEST((io::FromWire(wire).mBallot == core::ballot{}));
}

// The version before reads messages of this one.
BOOST_AUTO_TEST_CASE(fields_of_a_later_version_are_skipped)
{
  namespace protocol = apache::thrift::protocol;
  constexpr std::int16_t kUnknownField = 1'000;
  const auto memory =
    std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  protocol::TCompactProtocol compact(memory);
  const auto sent = io::ToWire(SampleResult());
  compact.writeStructBegin("TaskResult");
  compact.writeFieldBegin("later", protocol::T_STRUCT, kUnknownField);
  sent.ballot.write(&compact);
  compact.writeFieldEnd();
  compact.writeFieldBegin("job", protocol::T_STRING, 1);
  compact.writeString(sent.job);
  compact.writeFieldEnd();
  compact.writeFieldStop();
  compact.writeStructEnd();
  wire::TaskResult received;
  received.read(&compact);
  BOOST_TEST(received.job == sent.job);
  BOOST_TEST(!bool(received.__isset.ballot));
}

BOOST_AUTO_TEST_CASE(values_out_of_range_are_refused)
{
  constexpr auto kVerdicts =
    static_cast<std::int8_t>(core::kStartVerdictNames.mNames.size());
  auto result = io::ToWire(SampleResult());
  constexpr int kEnds = core::kTaskEndNames.mNames.size();
  for (const int value : { -1, kEnds, 127 }) {
    result.ending = static_cast<std::int8_t>(value);
    BOOST_CHECK_THROW(io::FromWire(result), io::wire_value_error);
  }
  result = io::ToWire(SampleResult());
  result.why = kVerdicts;
  BOOST_CHECK_THROW(io::FromWire(result), io::wire_value_error);
  auto reply = io::ToWire(core::start_reply{ SampleState(), {} });
  reply.verdicts = { kVerdicts };
  BOOST_CHECK_THROW(io::FromWire(reply), io::wire_value_error);
  wire::LocateReply locate;
  locate.verdict =
    static_cast<std::int8_t>(core::kLocateVerdictNames.mNames.size());
  BOOST_CHECK_THROW(io::FromWire(locate), io::wire_value_error);
  wire::StartedTask started;
  started.state = 3;
  BOOST_CHECK_THROW(io::FromWire(started), io::wire_value_error);
  wire::JobAnswer answer;
  answer.outcome = 3;
  BOOST_CHECK_THROW(io::FromWire(answer), io::wire_value_error);
}

// Differences of such times overflow.
BOOST_AUTO_TEST_CASE(times_beyond_all_bounds_are_refused)
{
  for (const std::int64_t value : { std::numeric_limits<std::int64_t>::min(),
                                    std::numeric_limits<std::int64_t>::max(),
                                    (std::int64_t{ 1 } << 53) + 1 }) {
    auto state = io::ToWire(SampleState());
    state.stamp = value;
    BOOST_CHECK_THROW(io::FromWire(state), io::wire_value_error);
    auto batch = io::ToWire(SampleBatch());
    batch.agentStamp = value;
    BOOST_CHECK_THROW(io::FromWire(batch), io::wire_value_error);
    auto result = io::ToWire(SampleResult());
    result.runTime = value;
    BOOST_CHECK_THROW(io::FromWire(result), io::wire_value_error);
  }
}

BOOST_AUTO_TEST_CASE(negative_counts_are_refused)
{
  auto state = io::ToWire(SampleState());
  state.targets.front().slots = -1;
  BOOST_CHECK_THROW(io::FromWire(state), io::wire_value_error);
  state = io::ToWire(SampleState());
  state.generation = -1;
  BOOST_CHECK_THROW(io::FromWire(state), io::wire_value_error);
  wire::EntryReply reply;
  reply.__set_evidenceAge(-1);
  BOOST_CHECK_THROW(io::FromWire(reply), io::wire_value_error);
}

BOOST_AUTO_TEST_SUITE_END()
