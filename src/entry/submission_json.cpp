#include "entry/caller_api.h"

#include "libgooseberryio/json.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gooseberry::entry_program {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 200;
constexpr double kMaxMilliseconds = 24.0 * 3600 * 1000;

/** Thrown and caught within this file only. */
struct bad_field
{
  std::string mReason;
};

/** The field, or null where it is absent or null. */
const json*
Field(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found == aObject.end() || found->is_null() ? nullptr : &*found;
}

std::string
Name(const json& aObject, const char* aName)
{
  const json* field = Field(aObject, aName);
  if (field == nullptr || !field->is_string()) {
    throw bad_field{ std::string(aName) + ": a text is expected" };
  }
  auto text = field->get<std::string>();
  const bool plain =
    std::all_of(text.begin(), text.end(), [](unsigned char aCharacter) {
      return std::isalnum(aCharacter) != 0 || aCharacter == '.' ||
             aCharacter == '_' || aCharacter == '-';
    });
  if (text.empty() || text.size() > kMaxNameLength || !plain) {
    throw bad_field{ std::string(aName) +
                     ": 1 to 200 of A-Z a-z 0-9 . _ - are expected" };
  }
  return text;
}

core::duration
Milliseconds(const json& aObject, const char* aName)
{
  const json* field = Field(aObject, aName);
  if (field == nullptr) {
    return {};
  }
  const double value = field->is_number() ? field->get<double>() : -1;
  if (!std::isfinite(value) || value < 0 || value > kMaxMilliseconds) {
    throw bad_field{ std::string(aName) +
                     ": a number from 0 to 86400000 (ms) is expected" };
  }
  return core::duration(static_cast<std::int64_t>(value * 1000));
}

std::uint32_t
Attempt(const json& aObject)
{
  const json* field = Field(aObject, "attempt");
  if (field == nullptr) {
    return job::kAttemptUnknown;
  }
  constexpr std::uint64_t kMaxAttempt = 1000000;
  if (!field->is_number_unsigned() ||
      field->get<std::uint64_t>() > kMaxAttempt) {
    throw bad_field{ "attempt: a whole number from 0 to 1000000 is expected" };
  }
  return field->get<std::uint32_t>();
}

bool
Flag(const json& aObject, const char* aName)
{
  const json* field = Field(aObject, aName);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_boolean()) {
    throw bad_field{ std::string(aName) + ": true or false is expected" };
  }
  return field->get<bool>();
}

job::task_description
Task(const json& aTask, const caller_limits& aLimits)
{
  if (!aTask.is_object()) {
    throw bad_field{ "an object is expected" };
  }
  job::task_description task;
  task.mKind = Name(aTask, "kind");
  task.mDeclared = Milliseconds(aTask, "declared_ms");
  if (const json* payload = Field(aTask, "payload")) {
    task.mPayload =
      payload->is_string() ? payload->get<std::string>() : payload->dump();
  }
  if (task.mPayload.Get().size() > aLimits.mMaxPayloadBytes) {
    throw bad_field{ "payload: at most " +
                     std::to_string(aLimits.mMaxPayloadBytes) +
                     " bytes are expected" };
  }
  return task;
}

void
Tasks(const json& aJob,
      const caller_limits& aLimits,
      job::submission& aSubmission)
{
  const json* tasks = Field(aJob, "tasks");
  if (tasks == nullptr || !tasks->is_array() || tasks->empty() ||
      tasks->size() > aLimits.mMaxTasks) {
    throw bad_field{ "tasks: a list of 1 to " +
                     std::to_string(aLimits.mMaxTasks) + " is expected" };
  }
  for (std::size_t i = 0; i < tasks->size(); ++i) {
    try {
      aSubmission.mTasks.push_back(Task((*tasks)[i], aLimits));
    } catch (const bad_field& bad) {
      throw bad_field{ "tasks[" + std::to_string(i) + "]: " + bad.mReason };
    }
  }
}

void
Hash(XXH64_state_t* aState, const std::string& aText)
{
  const std::uint64_t size = aText.size();
  XXH64_update(aState, &size, sizeof size);
  XXH64_update(aState, aText.data(), aText.size());
}

std::uint64_t
ContentHash(const job::submission& aSubmission)
{
  XXH64_state_t* state = XXH64_createState();
  XXH64_reset(state, aSubmission.mIdempotent ? 1 : 0);
  Hash(state, aSubmission.mService);
  for (const job::task_description& task : aSubmission.mTasks) {
    Hash(state, task.mKind);
    Hash(state, task.mPayload.Get());
  }
  const std::uint64_t hash = XXH64_digest(state);
  XXH64_freeState(state);
  return hash;
}

job::submission
ToSubmission(const json& aJob, const caller_limits& aLimits)
{
  if (!aJob.is_object()) {
    throw bad_field{ "an object is expected" };
  }
  job::submission submission;
  submission.mTeam = Name(aJob, "team");
  submission.mKey = submission.mTeam + '/' + Name(aJob, "job");
  submission.mService = Name(aJob, "service");
  submission.mAttempt = Attempt(aJob);
  submission.mIdempotent = Flag(aJob, "idempotent");
  submission.mDeadline = Milliseconds(aJob, "deadline_ms");
  if (submission.mDeadline == core::duration::zero()) {
    submission.mDeadline = aLimits.mDefaultDeadline;
  }
  submission.mDeadline = std::min(submission.mDeadline, aLimits.mMaxDeadline);
  Tasks(aJob, aLimits, submission);
  submission.mContentHash = ContentHash(submission);
  return submission;
}

} // namespace

core::result<job::submission>
ParseSubmission(const std::string& aBody, const caller_limits& aLimits)
{
  constexpr const char* kStep = "read submission";
  const io::decode_turn turn(aBody.size());
  const auto parsed = io::ParseJson(aBody);
  if (const auto* error = std::get_if<io::json_error>(&parsed)) {
    return core::error{ kStep,
                        "",
                        "byte " + std::to_string(error->mOffset) + ": " +
                          error->mReason };
  }
  try {
    return ToSubmission(std::get<json>(parsed), aLimits);
  } catch (const bad_field& bad) {
    return core::error{ kStep, "", bad.mReason };
  }
}

std::string
FormatAnswer(const core::job_answer& aAnswer)
{
  // Callers know the job by the name that they gave it, without the team.
  const std::string name = aAnswer.mJob.substr(aAnswer.mJob.find('/') + 1);
  json body{ { "job", name },
             { "outcome", core::kJobOutcomeNames.NameOf(aAnswer.mOutcome) } };
  if (aAnswer.mOutcome == core::job_outcome::Complete) {
    body["results"] = aAnswer.mResults;
  } else {
    body["reason"] = aAnswer.mReason;
    body["step"] = aAnswer.mStep;
    body["peer"] = aAnswer.mPeer;
  }
  // A target's bytes need not be text.
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace gooseberry::entry_program
