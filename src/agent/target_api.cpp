#include "agent/target_api.h"

#include "libgooseberryio/address.h"
#include "libgooseberryio/json.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace gooseberry::agentd {

namespace {

constexpr std::size_t kMaxName = 64;
constexpr std::size_t kMaxServices = 64;
constexpr std::uint64_t kMaxSlots = 1024;
constexpr std::uint64_t kMinLeaseMs = 100;
constexpr std::uint64_t kMaxLeaseMs = 60'000;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooMany = 429;

bool
IsName(const std::string& aText)
{
  constexpr std::string_view kAllowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "abcdefghijklmnopqrstuvwxyz"
                                        "0123456789._-";
  return !aText.empty() && aText.size() <= kMaxName &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

core::error
Expected(const std::string& aKey, const std::string& aExpected)
{
  return { "read target", {}, aKey + ": expected " + aExpected };
}

std::optional<std::uint64_t>
ReadNumber(const nlohmann::json& aObject,
           const char* aKey,
           std::uint64_t aMin,
           std::uint64_t aMax)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  const auto number = found->get<std::uint64_t>();
  return number >= aMin && number <= aMax ? std::optional(number)
                                          : std::nullopt;
}

std::optional<std::vector<std::string>>
ReadServices(const nlohmann::json& aObject)
{
  const auto found = aObject.find("services");
  if (found == aObject.end() || !found->is_array() || found->empty() ||
      found->size() > kMaxServices) {
    return std::nullopt;
  }
  std::vector<std::string> services;
  for (const auto& item : *found) {
    if (!item.is_string() || !IsName(item.get<std::string>())) {
      return std::nullopt;
    }
    services.push_back(item.get<std::string>());
  }
  return services;
}

std::optional<std::string>
ReadAddress(const nlohmann::json& aObject)
{
  const auto found = aObject.find("address");
  if (found == aObject.end() || !found->is_string()) {
    return std::nullopt;
  }
  const auto parsed = io::ParseAddress(found->get<std::string>());
  const auto* address = std::get_if<io::ip_address>(&parsed);
  if (address == nullptr || address->mPort == 0) {
    return std::nullopt;
  }
  return io::ToString(*address);
}

core::result<agent::target_registration>
ReadObject(const std::string& aName, const nlohmann::json& aObject)
{
  constexpr const char* kKeys[] = {
    "address", "services", "slots", "lease_ms", "ask_again_ms"
  };
  for (const auto& [key, value] : aObject.items()) {
    if (std::find(std::begin(kKeys), std::end(kKeys), key) == std::end(kKeys)) {
      return Expected(key, "no such key");
    }
  }
  const auto address = ReadAddress(aObject);
  if (!address) {
    return Expected("address", "\"IP:PORT\"");
  }
  auto services = ReadServices(aObject);
  if (!services) {
    return Expected("services", "1 to 64 names of [A-Za-z0-9._-]");
  }
  const auto slots = ReadNumber(aObject, "slots", 1, kMaxSlots);
  if (!slots) {
    return Expected("slots", "a whole number from 1 to 1024");
  }
  const auto lease = ReadNumber(aObject, "lease_ms", kMinLeaseMs, kMaxLeaseMs);
  if (!lease) {
    return Expected("lease_ms", "milliseconds from 100 to 60000");
  }
  agent::target_registration announcement{ aName,
                                           *address,
                                           std::move(*services),
                                           static_cast<std::uint32_t>(*slots),
                                           std::chrono::milliseconds(*lease) };
  if (aObject.contains("ask_again_ms")) {
    const auto again =
      ReadNumber(aObject, "ask_again_ms", kMinLeaseMs, kMaxLeaseMs);
    if (!again) {
      return Expected("ask_again_ms", "milliseconds from 100 to 60000");
    }
    announcement.mResendAfter = std::chrono::milliseconds(*again);
  }
  return announcement;
}

io::http_response
JsonResponse(unsigned aStatus, const nlohmann::json& aBody)
{
  io::http_response response;
  response.mStatus = aStatus;
  response.mBody = aBody.dump() + '\n';
  return response;
}

nlohmann::json
Describe(const agent::agent_control& aControl,
         const std::string& aName,
         core::instant aNow)
{
  const auto& target = aControl.mTargets.at(aName);
  const auto lease = std::max(target.mLeaseEnd - aNow, core::duration{});
  return { { "name", aName },
           { "address", target.mAddress },
           { "services", target.mServices },
           { "slots", target.mSlots },
           { "running", target.mRunning },
           { "queued", target.mQueue.mTasks.size() },
           { "consecutive_failures", target.mConsecutiveFailures },
           { "leaving", target.mLeaving },
           { "suspect", target.mSuspect },
           { "lease_left_ms",
             std::chrono::ceil<std::chrono::milliseconds>(lease).count() } };
}

io::http_response
PutTarget(control_thread& aControl,
          core::duration aMaxLease,
          const io::http_request& aRequest)
{
  auto parsed =
    ParseAnnouncement(aRequest.mPathParameters.at("name"), aRequest.mBody);
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    return ErrorResponse(kBadRequest, core::ToString(*error));
  }
  auto& target = std::get<agent::target_registration>(parsed);
  target.mLease = std::min(target.mLease, aMaxLease);
  const bool isTaken = aControl.Ask<bool>(
    [&](auto& aState, core::instant aNow, agent::effects& aOut) {
      return agent::OnTargetRegistered(aState, target, aNow, aOut);
    });
  if (!isTaken) {
    return ErrorResponse(kTooMany, "this agent has too many targets");
  }
  const auto lease =
    std::chrono::duration_cast<std::chrono::milliseconds>(target.mLease);
  return JsonResponse(200, { { "lease_ms", lease.count() } });
}

io::http_response
DeleteTarget(control_thread& aControl, const io::http_request& aRequest)
{
  const auto& name = aRequest.mPathParameters.at("name");
  const bool isKnown = aControl.Ask<bool>(
    [&](auto& aState, core::instant aNow, agent::effects& aOut) {
      return agent::OnTargetLeaving(aState, name, aNow, aOut);
    });
  return isKnown ? JsonResponse(200, { { "leaving", true } })
                 : ErrorResponse(kNotFound, "no such target");
}

io::http_response
GetTarget(control_thread& aControl, const io::http_request& aRequest)
{
  const auto& name = aRequest.mPathParameters.at("name");
  const auto found = aControl.Ask<nlohmann::json>(
    [&](auto& aState, core::instant aNow, agent::effects&) {
      return aState.mTargets.contains(name) ? Describe(aState, name, aNow)
                                            : nlohmann::json();
    });
  return found.is_null() ? ErrorResponse(kNotFound, "no such target")
                         : JsonResponse(200, found);
}

io::http_response
ListTargets(control_thread& aControl)
{
  return JsonResponse(
    200,
    aControl.Ask<nlohmann::json>(
      [](auto& aState, core::instant aNow, agent::effects&) {
        auto targets = nlohmann::json::array();
        for (const auto& [name, target] : aState.mTargets) {
          targets.push_back(Describe(aState, name, aNow));
        }
        return nlohmann::json{ { "targets", std::move(targets) } };
      }));
}

} // namespace

io::http_response
ErrorResponse(unsigned aStatus, const std::string& aReason)
{
  return JsonResponse(aStatus, { { "error", aReason } });
}

core::result<agent::target_registration>
ParseAnnouncement(const std::string& aName, const std::string& aBody)
{
  if (!IsName(aName)) {
    return Expected("name", "1 to 64 characters of [A-Za-z0-9._-]");
  }
  const io::decode_turn turn(aBody.size());
  const auto parsed = io::ParseJson(aBody);
  if (const auto* error = std::get_if<io::json_error>(&parsed)) {
    return core::error{ "read target",
                        {},
                        "byte " + std::to_string(error->mOffset) + ": " +
                          error->mReason };
  }
  const auto& object = std::get<nlohmann::json>(parsed);
  return object.is_object() ? ReadObject(aName, object)
                            : Expected("body", "an object");
}

void
RouteTargets(io::http_server& aServer,
             control_thread& aControl,
             core::duration aMaxLease)
{
  const std::string one = "/v1/targets/:name";
  aServer.Route("PUT", one, [&aControl, aMaxLease](const auto& aRequest) {
    return PutTarget(aControl, aMaxLease, aRequest);
  });
  aServer.Route("DELETE", one, [&aControl](const auto& aRequest) {
    return DeleteTarget(aControl, aRequest);
  });
  aServer.Route("GET", one, [&aControl](const auto& aRequest) {
    return GetTarget(aControl, aRequest);
  });
  aServer.Route("GET", "/v1/targets", [&aControl](const auto&) {
    return ListTargets(aControl);
  });
}

} // namespace gooseberry::agentd
