#include "libgooseberryio/operator_client.h"

#include "libgooseberryio/clock.h"
#include "libgooseberryio/json.h"

#include <array>
#include <cstdio>
#include <random>
#include <thread>

namespace gooseberry::io {

namespace {

using nlohmann::json;

constexpr const char* kConfigurationPath = "/v1/configuration";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kInvalid = 422;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kMaxShownBody = 200;

/** The answer of an entry may have been lost after it took effect. */
struct lost_answer
{
  core::error mError;
};

using put_outcome =
  std::variant<accepted_change, operator_problem, lost_answer>;

std::string
TextOf(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

json
BodyOf(const http_reply& aReply)
{
  auto parsed = ParseJson(aReply.mBody);
  auto* body = std::get_if<json>(&parsed);
  return body != nullptr && body->is_object() ? std::move(*body)
                                              : json::object();
}

/** What an entry says went wrong, or its body where it says it otherwise. */
core::error
ErrorOf(const http_reply& aReply,
        const std::string& aStep,
        const std::string& aEntry)
{
  const json body = BodyOf(aReply);
  const auto found = body.find("error");
  if (found != body.end() && found->is_object()) {
    const auto peer = TextOf(*found, "peer");
    return { TextOf(*found, "step"),
             peer.empty() ? aEntry : peer,
             TextOf(*found, "reason") };
  }
  return { aStep,
           aEntry,
           "status " + std::to_string(aReply.mStatus) + " " +
             aReply.mBody.substr(0, kMaxShownBody) };
}

operator_problem
Unexpected(const std::string& aStep,
           const std::string& aEntry,
           const std::string& aReason)
{
  return { operator_failure::Refused,
           { aStep, aEntry, "unexpected answer: " + aReason },
           0,
           "" };
}

http_call
Call(const std::string& aMethod,
     const std::string& aEntry,
     const std::string& aPath,
     core::duration aDeadline)
{
  http_call call;
  call.mMethod = aMethod;
  call.mUrl = "http://" + aEntry + aPath;
  call.mDeadline = aDeadline;
  return call;
}

operator_result<json>
GetFrom(operator_client& aClient,
        const std::string& aEntry,
        const std::string& aPath)
{
  const auto sent = aClient.mHttp->Send(
    Call("GET", aEntry, aPath, aClient.mSettings.mReadDeadline));
  if (const auto* failure = std::get_if<call_error>(&sent)) {
    return operator_problem{
      operator_failure::Unreachable,
      { "read " + aPath, aEntry, failure->mError.mReason },
      0,
      ""
    };
  }
  const auto& reply = std::get<http_reply>(sent);
  if (reply.mStatus != kOk) {
    const bool isRefused =
      reply.mStatus == kNotFound || reply.mStatus == kBadRequest;
    return operator_problem{ isRefused ? operator_failure::Refused
                                       : operator_failure::Unreachable,
                             ErrorOf(reply, "read " + aPath, aEntry),
                             0,
                             "" };
  }
  auto parsed = ParseJson(reply.mBody);
  if (const auto* problem = std::get_if<json_error>(&parsed)) {
    return Unexpected("read " + aPath, aEntry, problem->mReason);
  }
  return std::get<json>(std::move(parsed));
}

operator_result<configuration_view>
ReadFrom(operator_client& aClient, const std::string& aEntry)
{
  auto answer = GetFrom(aClient, aEntry, kConfigurationPath);
  if (auto* problem = std::get_if<operator_problem>(&answer)) {
    return std::move(*problem);
  }
  const auto& body = std::get<json>(answer);
  try {
    return configuration_view{ aEntry,
                               body.at("generation").get<core::generation>(),
                               body.at("text").get<std::string>(),
                               TextOf(body, "request"),
                               TextOf(body, "by") };
  } catch (const json::exception& problem) {
    return Unexpected("read configuration", aEntry, problem.what());
  }
}

put_outcome
ReadAccepted(const http_reply& aReply, const std::string& aEntry)
{
  const json body = BodyOf(aReply);
  accepted_change accepted;
  try {
    accepted.mGeneration = body.at("generation").get<core::generation>();
    if (const auto found = body.find("in_force"); found != body.end()) {
      found->get_to(accepted.mInForce);
    }
    if (const auto found = body.find("waiting"); found != body.end()) {
      found->get_to(accepted.mWaiting);
    }
  } catch (const json::exception& problem) {
    return lost_answer{ { "apply configuration", aEntry, problem.what() } };
  }
  return accepted;
}

operator_problem
ReadConflict(const http_reply& aReply, const std::string& aEntry)
{
  const json body = BodyOf(aReply);
  const auto generation = body.find("generation");
  return { operator_failure::Conflict,
           ErrorOf(aReply, "apply configuration", aEntry),
           generation != body.end() && generation->is_number_unsigned()
             ? generation->get<core::generation>()
             : 0,
           TextOf(body, "by") };
}

/** Judges a reply to a change. */
put_outcome
ReadOutcome(const http_reply& aReply, const std::string& aEntry)
{
  auto error = ErrorOf(aReply, "apply configuration", aEntry);
  switch (aReply.mStatus) {
    case kOk:
      return ReadAccepted(aReply, aEntry);
    case kConflict:
      return ReadConflict(aReply, aEntry);
    case kBadRequest:
    case kInvalid:
      return operator_problem{
        operator_failure::Invalid, std::move(error), 0, ""
      };
    case kNotFound:
      return operator_problem{
        operator_failure::Refused, std::move(error), 0, ""
      };
    case kUnavailable:
      if (BodyOf(aReply).value("settled", json(true)) != json(false)) {
        return operator_problem{
          operator_failure::Unreachable, std::move(error), 0, ""
        };
      }
      break;
    default:
      break;
  }
  return lost_answer{ std::move(error) };
}

put_outcome
PutTo(operator_client& aClient,
      const std::string& aEntry,
      const proposed_change& aChange)
{
  auto call =
    Call("PUT", aEntry, kConfigurationPath, aClient.mSettings.mApplyDeadline);
  call.mBody = json{
    { "request", aChange.mRequest },
    { "expected_generation", aChange.mExpected },
    { "text", aChange.mText }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
  const auto sent = aClient.mHttp->Send(call);
  if (const auto* failure = std::get_if<call_error>(&sent)) {
    core::error error{ "apply configuration", aEntry, failure->mError.mReason };
    if (failure->mDelivered) {
      return lost_answer{ std::move(error) };
    }
    return operator_problem{
      operator_failure::Unreachable, std::move(error), 0, ""
    };
  }
  return ReadOutcome(std::get<http_reply>(sent), aEntry);
}

/** Sends the change to entries in turn until one may have taken it; the first
 * is another one at each attempt. */
put_outcome
PutToAny(operator_client& aClient,
         const proposed_change& aChange,
         std::size_t aAttempt)
{
  put_outcome last = operator_problem{
    operator_failure::Unreachable,
    { "apply configuration", "", "expected at least one entry" },
    0,
    ""
  };
  const auto& entries = aClient.mSettings.mEntries;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    last = PutTo(aClient, entries[(aAttempt + i) % entries.size()], aChange);
    const auto* problem = std::get_if<operator_problem>(&last);
    if (problem == nullptr ||
        problem->mFailure != operator_failure::Unreachable) {
      break;
    }
  }
  return last;
}

/** What the configuration in force says of a change whose answer was lost. */
std::optional<operator_result<accepted_change>>
Settle(const configuration_view& aView, const proposed_change& aChange)
{
  if (aView.mRequest == aChange.mRequest) {
    return accepted_change{ aView.mGeneration, {}, {}, true };
  }
  // An entry that heard a configuration from a peer learns its author later.
  if (aView.mGeneration <= aChange.mExpected || aView.mRequest.empty()) {
    return std::nullopt;
  }
  const bool isNext = aView.mGeneration == aChange.mExpected + 1;
  return operator_problem{
    isNext ? operator_failure::Conflict : operator_failure::Unsettled,
    { "apply configuration",
      aView.mEntry,
      isNext ? "another change came first"
             : "the answer was lost, and several changes came after it" },
    aView.mGeneration,
    aView.mBy
  };
}

} // namespace

std::string
NewRequestId()
{
  std::random_device device;
  std::array<unsigned, 4> words{};
  for (auto& word : words) {
    word = device();
  }
  constexpr unsigned kVersionMask = 0xffff0fff;
  constexpr unsigned kVersion4 = 0x00004000;
  constexpr unsigned kVariantMask = 0x3fffffff;
  constexpr unsigned kVariant = 0x80000000;
  words[1] = (words[1] & kVersionMask) | kVersion4;
  words[2] = (words[2] & kVariantMask) | kVariant;
  constexpr unsigned kHalf = 16;
  constexpr unsigned kLow = 0xffff;
  std::array<char, 37> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08x-%04x-%04x-%04x-%04x%08x",
                words[0],
                words[1] >> kHalf,
                words[1] & kLow,
                words[2] >> kHalf,
                words[2] & kLow,
                words[3]);
  return text.data();
}

operator_result<json>
Get(operator_client& aClient, const std::string& aPath)
{
  operator_result<json> last =
    operator_problem{ operator_failure::Unreachable,
                      { "read " + aPath, "", "expected at least one entry" },
                      0,
                      "" };
  for (const auto& entry : aClient.mSettings.mEntries) {
    last = GetFrom(aClient, entry, aPath);
    const auto* problem = std::get_if<operator_problem>(&last);
    if (problem == nullptr ||
        problem->mFailure != operator_failure::Unreachable) {
      break;
    }
  }
  return last;
}

operator_result<configuration_view>
ReadConfiguration(operator_client& aClient, core::generation aAtLeast)
{
  operator_result<configuration_view> best = operator_problem{
    operator_failure::Unreachable,
    { "read configuration", "", "expected at least one entry" },
    0,
    ""
  };
  for (const auto& entry : aClient.mSettings.mEntries) {
    auto read = ReadFrom(aClient, entry);
    const auto* view = std::get_if<configuration_view>(&read);
    const auto* known = std::get_if<configuration_view>(&best);
    if (known == nullptr ||
        (view != nullptr && view->mGeneration > known->mGeneration)) {
      best = std::move(read);
    }
    known = std::get_if<configuration_view>(&best);
    if (known != nullptr && known->mGeneration >= aAtLeast) {
      break;
    }
  }
  return best;
}

operator_result<accepted_change>
Apply(operator_client& aClient, const proposed_change& aChange)
{
  auto outcome = PutToAny(aClient, aChange, 0);
  if (auto* problem = std::get_if<operator_problem>(&outcome)) {
    return std::move(*problem);
  }
  core::error lost;
  const auto end = Now() + aClient.mSettings.mSettleTime;
  for (std::size_t attempt = 1;; ++attempt) {
    if (auto* accepted = std::get_if<accepted_change>(&outcome)) {
      return std::move(*accepted);
    }
    if (auto* answer = std::get_if<lost_answer>(&outcome)) {
      lost = std::move(answer->mError);
    }
    const auto read = ReadConfiguration(aClient, aChange.mExpected + 1);
    if (const auto* view = std::get_if<configuration_view>(&read)) {
      if (auto settled = Settle(*view, aChange)) {
        return std::move(*settled);
      }
    }
    if (Now() >= end) {
      return operator_problem{
        operator_failure::Unsettled, std::move(lost), 0, ""
      };
    }
    std::this_thread::sleep_for(aClient.mSettings.mSettlePause);
    outcome = PutToAny(aClient, aChange, attempt);
  }
}

} // namespace gooseberry::io
