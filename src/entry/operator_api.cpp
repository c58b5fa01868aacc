#include "entry/operator_api.h"

#include "libgooseberryio/json.h"

namespace gooseberry::entry_program {

namespace {

using nlohmann::json;

constexpr core::duration kApplyWait = std::chrono::seconds(20);

io::http_response
Json(unsigned aStatus, const json& aBody)
{
  io::http_response response;
  response.mStatus = aStatus;
  response.mBody = aBody.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

json
ErrorJson(const core::error& aError)
{
  return { { "step", aError.mStep },
           { "peer", aError.mPeer },
           { "reason", aError.mReason } };
}

json
InForce(const entry::entry_control& aControl)
{
  json known = json::object();
  known[aControl.mSelf.mName] = aControl.mRow.mConfiguration.mGeneration;
  for (const auto& [name, view] : aControl.mMembers.mEntries) {
    known[name] = view.mGeneration;
  }
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    known[name] = view.mState.mGeneration;
  }
  return known;
}

io::http_response
ShowConfiguration(control_loop& aLoop)
{
  io::http_response response;
  response.mBody = aLoop.Ask([](auto& aControl, auto aNow, auto& aEffects) {
    static_cast<void>(aNow);
    static_cast<void>(aEffects);
    const entry::configuration_row& row = aControl.mRow;
    return json{
      { "generation", row.mConfiguration.mGeneration },
      { "text", row.mConfiguration.mText },
      { "request", row.mRequest },
      { "by", row.mBy }
    }.dump();
  });
  return response;
}

io::http_response
ApplyResponse(control_loop& aLoop, const entry::apply_result& aResult)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kConflict = 409;
  constexpr unsigned kInvalid = 422;
  constexpr unsigned kUnavailable = 503;
  const json error = ErrorJson(aResult.mError);
  switch (aResult.mStatus) {
    case entry::apply_status::Applied: {
      const std::string known =
        aLoop.Ask([](auto& aControl, auto aNow, auto& aEffects) {
          static_cast<void>(aNow);
          static_cast<void>(aEffects);
          return InForce(aControl).dump();
        });
      return Json(kOk,
                  { { "generation", aResult.mGeneration },
                    { "in_force", json::parse(known) },
                    { "waiting", aResult.mWaiting } });
    }
    case entry::apply_status::Conflict:
      return Json(kConflict,
                  { { "error", error },
                    { "generation", aResult.mGeneration },
                    { "by", aResult.mBy } });
    case entry::apply_status::Invalid:
      return Json(kInvalid, { { "error", error } });
    case entry::apply_status::Unsettled:
      break;
  }
  return Json(kUnavailable, { { "error", error }, { "settled", false } });
}

/** A change as the operator sends it. */
struct change_request
{
  std::string mText;
  std::string mRequest;
  std::optional<core::generation> mExpected;
};

core::result<change_request>
ParseChange(const std::string& aBody)
{
  const io::decode_turn turn(aBody.size());
  const auto parsed = io::ParseJson(aBody);
  if (const auto* error = std::get_if<io::json_error>(&parsed)) {
    return core::error{ "read change", "", error->mReason };
  }
  try {
    const json& body = std::get<json>(parsed);
    change_request change;
    change.mText = body.at("text").get<std::string>();
    change.mRequest = body.at("request").get<std::string>();
    if (const auto expected = body.find("expected_generation");
        expected != body.end() && !expected->is_null()) {
      change.mExpected = expected->get<core::generation>();
    }
    return change;
  } catch (const std::exception& failure) {
    return core::error{ "read change", "", failure.what() };
  }
}

io::http_response
ApplyConfiguration(control_loop& aLoop,
                   operator_waiters& aOperators,
                   const io::http_request& aRequest)
{
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kUnavailable = 503;
  const auto parsed = ParseChange(aRequest.mBody);
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    return Json(kBadRequest, { { "error", ErrorJson(*error) } });
  }
  auto ticket = aOperators.Enter();
  const bool posted = aLoop.Post(
    [token = ticket.mToken, change = std::get<change_request>(parsed)](
      auto& aControl, auto aNow, auto& aEffects) {
      entry::OnApply(aControl,
                     token,
                     change.mText,
                     change.mRequest,
                     change.mExpected,
                     aNow,
                     aEffects);
    });
  if (posted) {
    if (const auto result = aOperators.Wait(ticket, kApplyWait)) {
      return ApplyResponse(aLoop, *result);
    }
  }
  return Json(
    kUnavailable,
    { { "error",
        ErrorJson({ "apply configuration", "", "no result in time" }) },
      { "settled", false } });
}

json
DescribeStatus(const entry::entry_control& aControl, core::instant aNow)
{
  json peers = json::array();
  for (const auto& [name, view] : aControl.mMembers.mEntries) {
    peers.push_back({ { "name", name },
                      { "role", "entry" },
                      { "generation", view.mGeneration },
                      { "age_ms", core::ToMilliseconds(aNow - view.mLastSeen) },
                      { "failure_domain", "" },
                      { "open", !view.mLeaving } });
  }
  for (const auto& [name, view] : aControl.mMembers.mAgents) {
    peers.push_back({ { "name", name },
                      { "role", "agent" },
                      { "generation", view.mState.mGeneration },
                      { "age_ms", core::ToMilliseconds(aNow - view.mLastSeen) },
                      { "failure_domain", view.mState.mFailureDomain },
                      { "open", view.mState.mOpen && !view.mState.mLeaving } });
  }
  return { { "entry", aControl.mSelf.mName },
           { "generation", aControl.mRow.mConfiguration.mGeneration },
           { "stage", entry::kJoinStageNames.NameOf(aControl.mJoining.mStage) },
           { "fresh", entry::IsFresh(aControl, aNow) },
           { "open_jobs", aControl.mOpenJobs },
           { "peers", peers } };
}

io::http_response
ShowStatus(control_loop& aLoop)
{
  io::http_response response;
  response.mBody = aLoop.Ask([](auto& aControl, auto aNow, auto& aEffects) {
    static_cast<void>(aEffects);
    return DescribeStatus(aControl, aNow).dump();
  });
  return response;
}

} // namespace

void
AddOperatorRoutes(io::http_server& aServer,
                  control_loop& aLoop,
                  operator_waiters& aOperators)
{
  aServer.Route("GET", "/v1/configuration", [&aLoop](const io::http_request&) {
    return ShowConfiguration(aLoop);
  });
  aServer.Route("PUT",
                "/v1/configuration",
                [&aLoop, &aOperators](const io::http_request& aRequest) {
                  return ApplyConfiguration(aLoop, aOperators, aRequest);
                });
  aServer.Route("GET", "/v1/status", [&aLoop](const io::http_request&) {
    return ShowStatus(aLoop);
  });
}

} // namespace gooseberry::entry_program
