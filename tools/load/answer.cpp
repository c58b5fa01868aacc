#include "load/answer.h"

#include <nlohmann/json.hpp>

namespace gooseberry::tools::load {

using nlohmann::json;

namespace {

std::string
Text(const json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  return it != aObject.end() && it->is_string() ? it->get<std::string>() : "";
}

bool
IsResultOf(const job_plan& aJob, std::size_t aIndex, const json& aResult)
{
  if (!aResult.is_string()) {
    return false;
  }
  const json result = json::parse(aResult.get<std::string>(), nullptr, false);
  return result.is_object() &&
         Text(result, "task") == KeyOf(aJob) + ":" + std::to_string(aIndex) &&
         Text(result, "echo") == aJob.mTasks[aIndex].mEcho;
}

void
CompareResults(const job_plan& aJob, const json& aResults, answer& aAnswer)
{
  aAnswer.mPartial =
    !aResults.is_array() || aResults.size() != aJob.mTasks.size();
  if (aAnswer.mPartial) {
    return;
  }
  for (std::size_t i = 0; i < aResults.size(); ++i) {
    aAnswer.mWrong = aAnswer.mWrong || !IsResultOf(aJob, i, aResults[i]);
  }
}

} // namespace

std::string
KeyOf(const job_plan& aJob)
{
  return aJob.mTeam + "/" + aJob.mName;
}

std::string
RequestBody(const job_plan& aJob, std::uint32_t aAttempt, long aDeadlineMs)
{
  json tasks = json::array();
  for (const task_plan& task : aJob.mTasks) {
    const json payload{ { "run_ms", task.mRunMs }, { "echo", task.mEcho } };
    tasks.push_back({ { "kind", aJob.mKind },
                      { "declared_ms", task.mDeclaredMs },
                      { "payload", payload.dump() } });
  }
  return json{
    { "job", aJob.mName },
    { "service", aJob.mService },
    { "team", aJob.mTeam },
    { "attempt", aAttempt },
    { "idempotent", aJob.mIdempotent },
    { "deadline_ms", aDeadlineMs },
    { "tasks", std::move(tasks) }
  }.dump();
}

void
ReadAnswer(const job_plan& aJob,
           long aStatus,
           const std::string& aBody,
           answer& aAnswer)
{
  aAnswer.mStatus = aStatus;
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    aAnswer.mReason = "answer is no JSON object";
    return;
  }
  aAnswer.mOutcome = core::kJobOutcomeNames.ValueOf(Text(body, "outcome"));
  aAnswer.mReason = Text(body, "reason");
  if (aAnswer.mOutcome == core::job_outcome::Complete) {
    CompareResults(aJob, body.value("results", json()), aAnswer);
    const std::string name = Text(body, "job");
    aAnswer.mWrong =
      aAnswer.mWrong || (name != aJob.mName && name != KeyOf(aJob));
  } else if (const auto results = body.find("results");
             results != body.end() && !results->empty()) {
    aAnswer.mPartial = true;
  }
}

const answer*
FinalAnswer(const job_run& aRun)
{
  for (const answer& one : aRun.mAnswers) {
    if (one.mOutcome == core::job_outcome::Complete) {
      return &one;
    }
  }
  return aRun.mAnswers.empty() ? nullptr : &aRun.mAnswers.back();
}

} // namespace gooseberry::tools::load
