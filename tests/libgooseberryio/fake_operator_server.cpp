#include "fake_operator_server.h"

#include "libgooseberry/configuration/desired_state.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

using namespace gooseberry;
using nlohmann::json;

namespace {

io::http_response
Reply(unsigned aStatus, const json& aBody)
{
  io::http_response response;
  response.mStatus = aStatus;
  response.mBody = aBody.dump();
  return response;
}

json
Error(const std::string& aReason)
{
  return { { "step", "apply configuration" },
           { "peer", "" },
           { "reason", aReason } };
}

} // namespace

void
ApplyAsRival(fake_configuration& aState, const std::string& aText)
{
  ++aState.mGeneration;
  aState.mText = aText;
  aState.mRequest = "rival-" + std::to_string(aState.mGeneration);
  aState.mBy = "entry-9";
}

fake_operator_server::fake_operator_server()
  : mServer(io::http_server_settings())
{
  mServer.Route("GET", "/v1/configuration", [this](const auto&) {
    const std::lock_guard lock(mMutex);
    return Reply(200,
                 { { "generation", mState.mGeneration },
                   { "text", mState.mText },
                   { "request", mState.mRequest },
                   { "by", mState.mBy } });
  });
  mServer.Route("PUT", "/v1/configuration", [this](const auto& aRequest) {
    return Put(aRequest.mBody);
  });
  mServer.Route("GET", "/v1/status", [](const auto&) {
    return Reply(200,
                 { { "entry", "entry-1" },
                   { "generation", 4 },
                   { "peers",
                     { { { "name", "agent-3" },
                         { "role", "agent" },
                         { "generation", 3 },
                         { "age_ms", 12.5 },
                         { "failure_domain", "brasov" },
                         { "open", true } } } } });
  });
  mServer.Route("GET", "/v1/jobs/:job", [](const auto& aRequest) {
    const auto& job = aRequest.mPathParameters.at("job");
    return job == "notary/j 1" && aRequest.mQuery.at("explain") == "1"
             ? Reply(200, { { "job", job } })
             : Reply(404, { { "error", Error("no such job") } });
  });
  if (const auto problem = mServer.Start()) {
    throw std::runtime_error(core::ToString(*problem));
  }
}

std::string
fake_operator_server::Address() const
{
  return "127.0.0.1:" + std::to_string(mServer.Port());
}

io::http_response
fake_operator_server::Put(const std::string& aBody)
{
  const std::lock_guard lock(mMutex);
  const auto body = json::parse(aBody);
  ++mState.mPuts;
  if (mState.mBeforePut) {
    mState.mBeforePut(mState);
  }
  if (!mState.mHasStore) {
    return Reply(503, { { "error", Error("store down") } });
  }
  io::http_response cut;
  cut.mCutShort = true;
  if (mState.mCutRequests > 0) {
    --mState.mCutRequests;
    return cut;
  }
  if (body.at("expected_generation") != json(mState.mGeneration)) {
    return Reply(409,
                 { { "error", Error("another change came first") },
                   { "generation", mState.mGeneration },
                   { "by", mState.mBy } });
  }
  const auto text = body.at("text").get<std::string>();
  const auto parsed = configuration::Parse(text, "text");
  if (const auto* problem = std::get_if<core::error>(&parsed)) {
    return Reply(422, { { "error", Error(problem->mReason) } });
  }
  ++mState.mGeneration;
  mState.mText = text;
  mState.mRequest = body.at("request");
  mState.mBy = "entry-1";
  if (mState.mAfterPut) {
    mState.mAfterPut(mState);
  }
  if (mState.mCutAnswers > 0) {
    --mState.mCutAnswers;
    return cut;
  }
  if (!mState.mKnowsOutcome) {
    return Reply(503, { { "error", Error("lost") }, { "settled", false } });
  }
  return Reply(200,
               { { "generation", mState.mGeneration },
                 { "in_force", { { "entry-1", mState.mGeneration } } },
                 { "waiting", { "agent-3" } } });
}
