#include "entry/caller_api.h"

#include "libgooseberryio/json.h"

namespace gooseberry::entry_program {

namespace {

using nlohmann::json;

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;
/** Beyond a job's deadline, for the answer to be made. */
constexpr core::duration kAnswerGrace = std::chrono::seconds(10);

io::http_response
ErrorResponse(unsigned aStatus, const core::error& aError)
{
  io::http_response response;
  response.mStatus = aStatus;
  response.mBody = json{
    { "error",
      { { "step", aError.mStep },
        { "peer", aError.mPeer },
        { "reason", aError.mReason } } }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

io::http_response
AnswerResponse(const core::job_answer& aAnswer)
{
  io::http_response response;
  response.mStatus = aAnswer.mStatus;
  response.mBody = FormatAnswer(aAnswer);
  if (aAnswer.mRetryAfter) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aAnswer.mRetryAfter);
    response.mHeaders["Retry-After"] = std::to_string(seconds.count());
  }
  return response;
}

io::http_response
Submit(control_loop& aLoop,
       caller_waiters& aCallers,
       const caller_limits& aLimits,
       io::http_request& aRequest)
{
  auto parsed = ParseSubmission(aRequest.mBody, aLimits);
  io::ReleaseBody(aRequest); // The wait for the answer may be long.
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    return ErrorResponse(kStatusBadRequest, *error);
  }
  auto& submission = std::get<job::submission>(parsed);
  const core::duration deadline = submission.mDeadline;
  auto ticket = aCallers.Enter();
  const bool posted =
    aLoop.Post([token = ticket.mToken, submission = std::move(submission)](
                 auto& aControl, auto aNow, auto& aEffects) {
      entry::OnSubmit(aControl, token, submission, aNow, aEffects);
    });
  if (!posted) {
    return ErrorResponse(kStatusUnavailable,
                         { "submit job", "", "entry is overloaded" });
  }
  if (const auto answer = aCallers.Wait(ticket, deadline + kAnswerGrace)) {
    return AnswerResponse(*answer);
  }
  return ErrorResponse(kStatusUnavailable,
                       { "submit job", "", "entry gave no answer in time" });
}

json
DescribeTask(const entry::entry_control& aControl,
             const job::job& aJob,
             std::size_t aIndex)
{
  const job::task& task = aJob.mTasks[aIndex];
  json described{ { "task", aIndex },
                  { "state", job::kTaskStateNames.NameOf(task.mState) },
                  { "try", task.mTry },
                  { "agent", task.mAgent.mName },
                  { "expected_ms", core::ToMilliseconds(task.mExpected) } };
  if (task.mTarget) {
    described["target"] = aControl.mTargets.mTargets[*task.mTarget].mName;
  }
  return described;
}

json
DescribeJob(const entry::entry_control& aControl,
            const job::job& aJob,
            core::instant aNow,
            bool aExplain)
{
  json described{ { "job", aJob.mSubmission.mKey },
                  { "phase", job::kPhaseNames.NameOf(aJob.mPhase) },
                  { "service", aJob.mSubmission.mService },
                  { "tasks", aJob.mTasks.size() },
                  { "ended", aJob.mEnded },
                  { "waiting", aJob.mWaiting.size() },
                  { "round", aJob.mBallot.mRound },
                  { "home", aJob.mHome.mName },
                  { "age_ms", core::ToMilliseconds(aNow - aJob.mArrived) } };
  if (aJob.mPhase == job::phase::Ended) {
    described["outcome"] = core::kJobOutcomeNames.NameOf(aJob.mAnswer.mOutcome);
    described["reason"] = aJob.mAnswer.mReason;
    described["step"] = aJob.mAnswer.mStep;
    described["peer"] = aJob.mAnswer.mPeer;
  }
  for (std::size_t i = 0; aExplain && i < aJob.mTasks.size(); ++i) {
    described["placements"].push_back(DescribeTask(aControl, aJob, i));
  }
  return described;
}

/** `team/job` of a request; the team is in the query. */
std::string
KeyOf(const io::http_request& aRequest)
{
  const auto team = aRequest.mQuery.find("team");
  const std::string& name = aRequest.mPathParameters.at("job");
  return team == aRequest.mQuery.end() ? name : team->second + '/' + name;
}

io::http_response
ShowJob(control_loop& aLoop, const io::http_request& aRequest)
{
  const std::string key = KeyOf(aRequest);
  const bool explain = aRequest.mQuery.contains("explain");
  const std::string body =
    aLoop.Ask([key, explain](auto& aControl, auto aNow, auto& aEffects) {
      static_cast<void>(aEffects);
      const job::job* found = job::Find(aControl.mLedger, key);
      return found == nullptr
               ? std::string()
               : DescribeJob(aControl, *found, aNow, explain)
                   .dump(-1, ' ', false, json::error_handler_t::replace);
    });
  if (body.empty()) {
    return ErrorResponse(kStatusNotFound,
                         { "look up job", "", "not known at this entry" });
  }
  io::http_response response;
  response.mBody = body;
  return response;
}

io::http_response
ListJobs(control_loop& aLoop)
{
  constexpr std::size_t kMaxListed = 1000;
  io::http_response response;
  response.mBody = aLoop.Ask([](auto& aControl, auto aNow, auto& aEffects) {
    static_cast<void>(aEffects);
    json jobs = json::array();
    for (const auto& [key, known] : aControl.mLedger.mJobs) {
      if (known->mPhase != job::phase::Ended && jobs.size() < kMaxListed) {
        jobs.push_back(DescribeJob(aControl, *known, aNow, false));
      }
    }
    return json{ { "jobs", jobs } }.dump();
  });
  return response;
}

io::http_response
CancelJob(control_loop& aLoop, const io::http_request& aRequest)
{
  const std::string key = KeyOf(aRequest);
  const bool cancelled =
    aLoop.Ask([key](auto& aControl, auto aNow, auto& aEffects) {
      return entry::OnCancel(aControl, key, aNow, aEffects);
    });
  if (!cancelled) {
    return ErrorResponse(kStatusNotFound,
                         { "cancel job", "", "not known at this entry" });
  }
  io::http_response response;
  response.mBody = json{ { "job", key }, { "cancelled", true } }.dump();
  return response;
}

} // namespace

void
AddCallerRoutes(io::http_server& aServer,
                control_loop& aLoop,
                caller_waiters& aCallers,
                const caller_limits& aLimits)
{
  aServer.Route("POST",
                "/v1/jobs",
                [&aLoop, &aCallers, aLimits](io::http_request& aRequest) {
                  return Submit(aLoop, aCallers, aLimits, aRequest);
                });
  aServer.Route("GET", "/v1/jobs", [&aLoop](const io::http_request&) {
    return ListJobs(aLoop);
  });
  aServer.Route(
    "GET", "/v1/jobs/:job", [&aLoop](const io::http_request& aRequest) {
      return ShowJob(aLoop, aRequest);
    });
  aServer.Route(
    "DELETE", "/v1/jobs/:job", [&aLoop](const io::http_request& aRequest) {
      return CancelJob(aLoop, aRequest);
    });
}

} // namespace gooseberry::entry_program
