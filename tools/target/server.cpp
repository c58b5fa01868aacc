#include "target/server.h"

#include "target/announcer.h"

#include <ulfius.h>

#include <arpa/inet.h>

namespace gooseberry::tools::target {

struct server
{
  struct _u_instance mInstance;
};

void
server_deleter::operator()(server* aServer) const
{
  ulfius_stop_framework(&aServer->mInstance);
  ulfius_clean_instance(&aServer->mInstance);
  delete aServer;
}

namespace {

std::string
HeaderOf(const struct _u_request* aRequest, const char* aName)
{
  const char* value = u_map_get_case(aRequest->map_header, aName);
  return value == nullptr ? "" : value;
}

std::string
BodyOf(const struct _u_request* aRequest)
{
  return { static_cast<const char*>(aRequest->binary_body),
           aRequest->binary_body_length };
}

std::uint16_t
CallerPort(const struct _u_request* aRequest)
{
  sockaddr_in address{};
  if (aRequest->client_address == nullptr ||
      aRequest->client_address->sa_family != AF_INET) {
    return 0;
  }
  address = *reinterpret_cast<const sockaddr_in*>(aRequest->client_address);
  return ntohs(address.sin_port);
}

int
Answer(struct _u_response* aResponse, long aStatus, const std::string& aBody)
{
  ulfius_set_string_body_response(
    aResponse, static_cast<unsigned int>(aStatus), aBody.c_str());
  return U_CALLBACK_CONTINUE;
}

int
OnTask(const struct _u_request* aRequest,
       struct _u_response* aResponse,
       void* aTarget)
{
  task_request request;
  request.mTask = HeaderOf(aRequest, "X-Gooseberry-Task");
  request.mKind = HeaderOf(aRequest, "X-Gooseberry-Kind");
  const std::string number = HeaderOf(aRequest, "X-Gooseberry-Try");
  request.mTry =
    static_cast<std::uint32_t>(std::strtoul(number.c_str(), nullptr, 10));
  request.mPayload = BodyOf(aRequest);
  request.mConnection = CallerPort(aRequest);
  request.mIsCopy = !HeaderOf(aRequest, "X-Gooseberry-Copy").empty();
  if (request.mTask.empty() || request.mTry == 0) {
    return Answer(aResponse, 400, "expected X-Gooseberry-Task and -Try");
  }
  const task_answer answer = Run(*static_cast<target_state*>(aTarget), request);
  return Answer(aResponse, answer.mStatus, answer.mBody);
}

int
OnFaults(const struct _u_request* aRequest,
         struct _u_response* aResponse,
         void* aTarget)
{
  auto& target = *static_cast<target_state*>(aTarget);
  const std::lock_guard guard(target.mMutex);
  const auto changed = Change(target.mFaults, BodyOf(aRequest));
  if (const auto* failure = std::get_if<core::error>(&changed)) {
    return Answer(aResponse, 400, core::ToString(*failure));
  }
  target.mFaults = std::get<faults>(changed);
  return Answer(aResponse, 200, "");
}

int
OnSilence(const struct _u_request*,
          struct _u_response* aResponse,
          void* aTarget)
{
  SilenceConnections(*static_cast<target_state*>(aTarget));
  return Answer(aResponse, 200, "");
}

int
OnRecords(const struct _u_request*,
          struct _u_response* aResponse,
          void* aTarget)
{
  return Answer(
    aResponse, 200, FormatRecords(*static_cast<target_state*>(aTarget)));
}

int
OnLeave(const struct _u_request*, struct _u_response* aResponse, void* aTarget)
{
  Leave(*static_cast<target_state*>(aTarget));
  return Answer(aResponse, 200, "");
}

int
OnReturn(const struct _u_request*, struct _u_response* aResponse, void* aTarget)
{
  Return(*static_cast<target_state*>(aTarget));
  return Answer(aResponse, 200, "");
}

void
AddEndpoints(struct _u_instance* aInstance, target_state* aTarget)
{
  const auto add = [&](const char* aMethod, const char* aPath, auto aHandler) {
    ulfius_add_endpoint_by_val(
      aInstance, aMethod, aPath, nullptr, 0, aHandler, aTarget);
  };
  add("POST", "/v1/tasks", &OnTask);
  add("PUT", "/v1/faults", &OnFaults);
  add("PUT", "/v1/silence", &OnSilence);
  add("GET", "/v1/records", &OnRecords);
  add("PUT", "/v1/leave", &OnLeave);
  add("PUT", "/v1/return", &OnReturn);
}

} // namespace

core::result<server_ptr>
Serve(target_state& aTarget)
{
  const std::string& address = aTarget.mSettings.mAddress;
  const std::size_t colon = address.rfind(':');
  sockaddr_in bindTo{};
  bindTo.sin_family = AF_INET;
  const int port = std::atoi(address.c_str() + colon + 1);
  bindTo.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &bindTo.sin_addr) !=
      1) {
    return core::error{ "serve target", address, "expected IP:PORT" };
  }
  auto* made = new server{};
  if (ulfius_init_instance(
        &made->mInstance, static_cast<unsigned int>(port), &bindTo, nullptr) !=
      U_OK) {
    delete made;
    return core::error{ "serve target", address, "no instance" };
  }
  server_ptr result(made);
  AddEndpoints(&made->mInstance, &aTarget);
  if (ulfius_start_framework(&made->mInstance) != U_OK) {
    return core::error{ "serve target", address, "cannot listen" };
  }
  return result;
}

} // namespace gooseberry::tools::target
