#include "target/target.h"

#include <nlohmann/json.hpp>

namespace gooseberry::tools::target {

using nlohmann::json;

namespace {

using lock = std::unique_lock<std::mutex>;

task_answer
Hang(target_state& aTarget, lock& aLock)
{
  aTarget.mWake.wait(aLock, [&] { return aTarget.mStopping; });
  return { 503, "stopping" };
}

std::size_t
RecordStart(target_state& aTarget, const task_request& aRequest)
{
  ++aTarget.mRunning;
  aTarget.mRecords.push_back({ aRequest.mTask,
                               aRequest.mTry,
                               aRequest.mKind,
                               aTarget.mSettings.mName,
                               aTarget.mSettings.mFailureDomain,
                               common::WallClockUs(),
                               0,
                               common::run_state::Running,
                               aTarget.mRunning });
  return aTarget.mRecords.size() - 1;
}

void
RecordEnd(target_state& aTarget, std::size_t aRecord, bool aFailed)
{
  --aTarget.mRunning;
  common::run_record& record = aTarget.mRecords[aRecord];
  record.mEndUs = common::WallClockUs();
  record.mState =
    aFailed ? common::run_state::Failed : common::run_state::Succeeded;
}

std::string
ResultOf(const target_state& aTarget,
         const task_request& aRequest,
         const json& aPayload)
{
  return json{
    { "task", aRequest.mTask },
    { "try", aRequest.mTry },
    { "target", aTarget.mSettings.mName },
    { "echo", aPayload.value("echo", "") }
  }.dump();
}

bool
IsSilenced(const target_state& aTarget, std::uint16_t aConnection)
{
  return aTarget.mSilenced.count(aConnection) > 0;
}

/** A copy of a call gets the result of the run that the first one began. */
task_answer
AnswerOfRun(target_state& aTarget,
            const task_request& aRequest,
            const std::string& aKey,
            lock& aLock)
{
  aTarget.mWake.wait(aLock, [&] {
    return aTarget.mStopping || aTarget.mRuns.at(aKey).has_value();
  });
  if (!aTarget.mRuns.at(aKey) || aTarget.mFaults.mSilent ||
      IsSilenced(aTarget, aRequest.mConnection)) {
    return Hang(aTarget, aLock);
  }
  return *aTarget.mRuns.at(aKey);
}

} // namespace

task_answer
Run(target_state& aTarget, const task_request& aRequest)
{
  const auto begin = std::chrono::steady_clock::now();
  const json payload = json::parse(aRequest.mPayload, nullptr, false);
  if (!payload.is_object() || !payload.value("run_ms", json()).is_number()) {
    return { 400, "payload: expected {\"run_ms\":NUMBER,\"echo\":TEXT}" };
  }
  const std::chrono::duration<double, std::milli> nominal(
    payload["run_ms"].get<double>());
  lock guard(aTarget.mMutex);
  if (IsSilenced(aTarget, aRequest.mConnection)) {
    return Hang(aTarget, guard);
  }
  aTarget.mConnections.insert(aRequest.mConnection);
  const std::string key = aRequest.mTask + '#' + std::to_string(aRequest.mTry);
  if (aRequest.mIsCopy && aTarget.mRuns.count(key) > 0) {
    return AnswerOfRun(aTarget, aRequest, key, guard);
  }
  aTarget.mRuns[key] = std::nullopt;
  const run_plan plan =
    PlanRun(aTarget.mFaults,
            aRequest.mKind,
            std::chrono::duration_cast<std::chrono::microseconds>(nominal),
            aTarget.mRandom);
  const std::size_t record = RecordStart(aTarget, aRequest);
  aTarget.mWake.wait_until(
    guard, begin + plan.mRunTime, [&] { return aTarget.mStopping; });
  RecordEnd(aTarget, record, plan.mFails);
  task_answer answer =
    plan.mFails
      ? task_answer{ 500, "made to fail on " + aTarget.mSettings.mName }
      : task_answer{ 200, ResultOf(aTarget, aRequest, payload) };
  aTarget.mRuns[key] = answer;
  aTarget.mWake.notify_all();
  if (aTarget.mFaults.mSilent || IsSilenced(aTarget, aRequest.mConnection)) {
    return Hang(aTarget, guard);
  }
  return answer;
}

void
SilenceConnections(target_state& aTarget)
{
  const lock guard(aTarget.mMutex);
  aTarget.mSilenced.merge(aTarget.mConnections);
  aTarget.mConnections.clear();
}

std::string
FormatRecords(target_state& aTarget)
{
  std::vector<common::run_record> records;
  {
    const lock guard(aTarget.mMutex);
    records = aTarget.mRecords;
  }
  std::string lines;
  for (const common::run_record& record : records) {
    lines += Format(record) + "\n";
  }
  return lines;
}

void
Stop(target_state& aTarget)
{
  const lock guard(aTarget.mMutex);
  aTarget.mStopping = true;
  aTarget.mWake.notify_all();
}

} // namespace gooseberry::tools::target
