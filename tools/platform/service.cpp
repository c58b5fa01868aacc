#include "platform/service.h"

#include "libgooseberryio/json.h"

#include <charconv>
#include <thread>
#include <utility>

namespace gooseberry::platform {

using io::http_request;
using io::http_response;
using nlohmann::json;

namespace {

http_response
Respond(unsigned aStatus, const json& aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mBody = aBody.dump();
  return response;
}

http_response
Refuse(unsigned aStatus, const std::string& aReason)
{
  return Respond(aStatus, { { "error", aReason } });
}

http_response
CutShort()
{
  http_response response;
  response.mCutShort = true;
  return response;
}

http_response
RespondToChange(const change_result& aResult)
{
  if (const auto* const version = std::get_if<std::uint64_t>(&aResult)) {
    return Respond(200, { { "version", *version } });
  }
  const auto& current = std::get<conflict>(aResult).mCurrent;
  if (!current.mValue) {
    return Respond(409, { { "value", nullptr }, { "version", 0 } });
  }
  return Respond(
    409, { { "value", *current.mValue }, { "version", current.mVersion } });
}

/** A probability or other number in a body; `aDefault` where it is absent. */
template<typename Number>
Number
NumberOr(const json& aBody, const char* aKey, Number aDefault)
{
  const auto found = aBody.find(aKey);
  return found != aBody.end() && found->is_number() ? found->get<Number>()
                                                    : aDefault;
}

} // namespace

service::service(const std::string& aAddress, std::uint64_t aSeed)
  : mRandom(aSeed)
  , mServer(io::http_server_settings{ .mAddress = aAddress })
{
  AddRoutes();
}

std::optional<core::error>
service::Start()
{
  return mServer.Start();
}

void
service::Stop()
{
  mServer.Stop();
}

std::uint16_t
service::Port() const
{
  return mServer.Port();
}

void
service::SetFaults(const faults& aFaults)
{
  const std::lock_guard lock(mMutex);
  mFaults = aFaults;
}

std::uint64_t
service::ReadCount() const
{
  const std::lock_guard lock(mMutex);
  return mReads;
}

std::uint64_t
service::WriteCount() const
{
  const std::lock_guard lock(mMutex);
  return mWrites;
}

void
service::AddRoutes()
{
  const std::string rows = "/v1/tables/:table/rows";
  Route("GET", rows, effect::Read, &service::ListRows);
  Route("GET", rows + "/:key", effect::Read, &service::ReadRow);
  Route("PUT", rows + "/:key", effect::Write, &service::WriteRow);
  Route("DELETE", rows + "/:key", effect::Write, &service::DeleteRow);
  const std::string object = "/v1/objects/:name";
  Route("GET", object, effect::Read, &service::GetObject);
  Route("PUT", object, effect::Write, &service::PutObject);
  Route("DELETE", object, effect::Write, &service::DeleteObject);
  mServer.Route("GET", "/v1/faults", [this](const http_request& aRequest) {
    return ReadFaults(aRequest);
  });
  mServer.Route("PUT", "/v1/faults", [this](const http_request& aRequest) {
    return WriteFaults(aRequest);
  });
}

void
service::Route(const std::string& aMethod,
               const std::string& aPattern,
               effect aEffect,
               http_response (service::*aHandler)(const http_request&))
{
  const auto handler = [this, aHandler](http_request& aRequest) {
    const std::lock_guard lock(mMutex);
    return (this->*aHandler)(aRequest);
  };
  mServer.Route(
    aMethod, aPattern, [this, aEffect, handler](http_request& aRequest) {
      return WithFaults(aEffect, aRequest, handler);
    });
}

http_response
service::WithFaults(effect aEffect,
                    http_request& aRequest,
                    const io::http_handler& aHandler)
{
  std::uint32_t delayMs = 0;
  {
    const std::lock_guard lock(mMutex);
    ++(aEffect == effect::Read ? mReads : mWrites);
    if (mFaults.mDown) {
      return Refuse(503, "down");
    }
    if (Happens(mFaults.mReset)) {
      return CutShort();
    }
    delayMs = mFaults.mDelayMs;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
  auto response = aHandler(aRequest);
  const std::lock_guard lock(mMutex);
  if (aEffect == effect::Write && Happens(mFaults.mLoseAnswers)) {
    return CutShort();
  }
  return response;
}

bool
service::Happens(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

http_response
service::ReadRow(const http_request& aRequest)
{
  const auto& parameters = aRequest.mPathParameters;
  const auto found = mStore.Read(parameters.at("table"), parameters.at("key"));
  if (!found) {
    return Refuse(404, "no such row");
  }
  return Respond(
    200, { { "value", *found->mValue }, { "version", found->mVersion } });
}

http_response
service::ListRows(const http_request& aRequest)
{
  json rows = json::array();
  for (const auto& item : mStore.List(aRequest.mPathParameters.at("table"))) {
    rows.push_back({ { "key", item.mKey },
                     { "value", item.mValue },
                     { "version", item.mVersion } });
  }
  return Respond(200, { { "rows", std::move(rows) } });
}

http_response
service::WriteRow(const http_request& aRequest)
{
  const auto parsed = io::ParseJson(aRequest.mBody);
  const auto* const body = std::get_if<json>(&parsed);
  if (body == nullptr || !body->is_object() || !body->contains("value") ||
      !body->at("value").is_string()) {
    return Refuse(400, "expected an object with a string 'value'");
  }
  std::optional<std::uint64_t> expected;
  if (const auto found = body->find("if_version");
      found != body->end() && !found->is_null()) {
    if (!found->is_number_unsigned()) {
      return Refuse(400, "if_version is not a version");
    }
    expected = found->get<std::uint64_t>();
  }
  const auto& parameters = aRequest.mPathParameters;
  return RespondToChange(mStore.Write(parameters.at("table"),
                                      parameters.at("key"),
                                      body->at("value").get<std::string>(),
                                      expected));
}

http_response
service::DeleteRow(const http_request& aRequest)
{
  std::optional<std::uint64_t> expected;
  if (const auto found = aRequest.mQuery.find("if_version");
      found != aRequest.mQuery.end()) {
    const auto& text = found->second;
    std::uint64_t version = 0;
    const auto [rest, status] =
      std::from_chars(text.data(), text.data() + text.size(), version);
    if (status != std::errc() || rest != text.data() + text.size()) {
      return Refuse(400, "if_version is not a version");
    }
    expected = version;
  }
  const auto& parameters = aRequest.mPathParameters;
  if (!mStore.Read(parameters.at("table"), parameters.at("key"))) {
    return Refuse(404, "no such row");
  }
  return RespondToChange(
    mStore.Delete(parameters.at("table"), parameters.at("key"), expected));
}

http_response
service::GetObject(const http_request& aRequest)
{
  auto found = mStore.GetObject(aRequest.mPathParameters.at("name"));
  if (!found) {
    return Refuse(404, "no such object");
  }
  http_response response;
  response.mContentType = "application/octet-stream";
  response.mBody = std::move(*found);
  return response;
}

http_response
service::PutObject(const http_request& aRequest)
{
  mStore.PutObject(aRequest.mPathParameters.at("name"), aRequest.mBody);
  return Respond(200, json::object());
}

http_response
service::DeleteObject(const http_request& aRequest)
{
  mStore.DeleteObject(aRequest.mPathParameters.at("name"));
  return Respond(200, json::object());
}

http_response
service::ReadFaults(const http_request& /* aRequest */)
{
  const std::lock_guard lock(mMutex);
  return Respond(200,
                 { { "down", mFaults.mDown },
                   { "delay_ms", mFaults.mDelayMs },
                   { "lose_answers", mFaults.mLoseAnswers },
                   { "reset", mFaults.mReset },
                   { "reads", mReads },
                   { "writes", mWrites } });
}

http_response
service::WriteFaults(const http_request& aRequest)
{
  const auto parsed = io::ParseJson(aRequest.mBody);
  const auto* const body = std::get_if<json>(&parsed);
  if (body == nullptr || !body->is_object()) {
    return Refuse(400, "expected an object");
  }
  {
    const std::lock_guard lock(mMutex);
    if (const auto down = body->find("down");
        down != body->end() && down->is_boolean()) {
      mFaults.mDown = down->get<bool>();
    }
    mFaults.mDelayMs = NumberOr(*body, "delay_ms", mFaults.mDelayMs);
    mFaults.mLoseAnswers =
      NumberOr(*body, "lose_answers", mFaults.mLoseAnswers);
    mFaults.mReset = NumberOr(*body, "reset", mFaults.mReset);
  }
  return ReadFaults(aRequest);
}

} // namespace gooseberry::platform
