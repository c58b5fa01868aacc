#include "libgooseberryio/http_server.h"

#include "libgooseberryio/address.h"
#include "libgooseberryio/http_connections.h"
#include "libgooseberryio/http_route.h"
#include "libgooseberryio/log.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <ulfius.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <utility>
#include <vector>

namespace gooseberry::io {
namespace {

struct route
{
  std::string mMethod;
  std::string mPattern;
  http_handler mHandler;
};

http_response
ErrorResponse(unsigned aStatus, const std::string& aReason)
{
  return { .mStatus = aStatus,
           .mHeaders = {},
           .mContentType = "text/plain",
           .mBody = aReason + "\n",
           .mCutShort = false };
}

/** `IP:PORT` of a socket's other end. */
std::string
ClientName(const sockaddr* aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress == nullptr) {
    return {};
  }
  if (aAddress->sa_family == AF_INET) {
    const auto* const v4 = reinterpret_cast<const sockaddr_in*>(aAddress);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return ToString(ip_address{ text.data(), ntohs(v4->sin_port) });
  }
  const auto* const v6 = reinterpret_cast<const sockaddr_in6*>(aAddress);
  inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
  return ToString(ip_address{ text.data(), ntohs(v6->sin6_port) });
}

std::map<std::string, std::string>
CopyHeaders(const _u_map* aMap)
{
  std::map<std::string, std::string> headers;
  for (int i = 0; i < aMap->nb_values; ++i) {
    std::string name = aMap->keys[i];
    std::ranges::transform(name, name.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
    // The library's lengths count the terminating zero.
    headers.insert_or_assign(std::move(name), std::string(aMap->values[i]));
  }
  return headers;
}

/** Ends a response in the middle: the library then closes the connection. */
ssize_t
FailStream(void* /* aData */,
           std::uint64_t /* aOffset */,
           char* /* aBuffer */,
           std::size_t /* aSize */)
{
  return U_STREAM_ERROR;
}

void
WriteResponse(const http_response& aFrom, _u_response* aTo)
{
  for (const auto& [name, value] : aFrom.mHeaders) {
    u_map_put(aTo->map_header, name.c_str(), value.c_str());
  }
  u_map_put(aTo->map_header, "Content-Type", aFrom.mContentType.c_str());
  if (aFrom.mCutShort) {
    constexpr std::size_t kBlock = 64;
    ulfius_set_stream_response(aTo,
                               aFrom.mStatus,
                               FailStream,
                               nullptr,
                               aFrom.mBody.size() + 1,
                               kBlock,
                               nullptr);
    return;
  }
  // The library takes no empty body here, and would leave the status at 200.
  if (aFrom.mBody.empty()) {
    ulfius_set_empty_body_response(aTo, aFrom.mStatus);
    return;
  }
  ulfius_set_binary_body_response(
    aTo, aFrom.mStatus, aFrom.mBody.data(), aFrom.mBody.size());
}

} // namespace

struct http_server::state
{
  explicit state(const http_server_settings& aSettings)
    : mSettings(aSettings)
    , mConnections(aSettings.mConnectionTimeout)
  {
  }

  http_response Answer(const _u_request& aRequest);
  http_response Dispatch(http_request& aRequest, const std::string& aTarget);
  http_response Handle(const http_handler& aHandler,
                       const http_request& aRequest);
  bool StartDaemon(const ip_address& aAddress);

  const http_server_settings mSettings;
  http_connections mConnections;
  std::vector<route> mRoutes;
  http_handler mOthers;
  std::atomic<unsigned> mRequests = 0; ///< In handlers.
  std::atomic<bool> mStopping = false;
  bool mStarted = false;
  std::uint16_t mPort = 0;
  sockaddr_in mBind{};
  _u_instance mInstance{};
};

namespace {

extern "C" int
OnRequest(const _u_request* aRequest, _u_response* aResponse, void* aState)
{
  auto* const state = static_cast<http_server::state*>(aState);
  WriteResponse(state->Answer(*aRequest), aResponse);
  return U_CALLBACK_COMPLETE;
}

std::string
ClientName(MHD_Connection* aConnection)
{
  const auto* const info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  return info == nullptr ? std::string() : ClientName(info->client_addr);
}

extern "C" void
OnConnection(void* aConnections,
             MHD_Connection* aConnection,
             void** /* aContext */,
             MHD_ConnectionNotificationCode aCode)
{
  auto* const connections = static_cast<http_connections*>(aConnections);
  const auto client = ClientName(aConnection);
  if (aCode == MHD_CONNECTION_NOTIFY_CLOSED) {
    connections->Closed(client);
    return;
  }
  if (const auto* const info = MHD_get_connection_info(
        aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)) {
    connections->Opened(client, info->connect_fd);
  }
}

extern "C" void
OnRequestCompleted(void* aConnections,
                   MHD_Connection* aConnection,
                   void** aContext,
                   MHD_RequestTerminationCode aCode)
{
  mhd_request_completed(nullptr, aConnection, aContext, aCode);
  static_cast<http_connections*>(aConnections)
    ->RequestEnded(ClientName(aConnection));
}

std::uint16_t
BoundPort(MHD_Daemon* aDaemon)
{
  const auto* const info =
    MHD_get_daemon_info(aDaemon, MHD_DAEMON_INFO_LISTEN_FD);
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (info == nullptr || getsockname(info->listen_fd,
                                     reinterpret_cast<sockaddr*>(&address),
                                     &length) != 0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

} // namespace

http_response
http_server::state::Answer(const _u_request& aRequest)
{
  const int socket =
    mConnections.RequestBegun(ClientName(aRequest.client_address));
  if (mStopping) {
    auto response = ErrorResponse(503, "shutting down");
    response.mHeaders["Connection"] = "close";
    return response;
  }
  if (aRequest.binary_body_length > mSettings.mMaxBody) {
    return ErrorResponse(
      413, "body above " + std::to_string(mSettings.mMaxBody) + " bytes");
  }
  http_request request;
  request.mMethod = aRequest.http_verb;
  request.mSocket = socket;
  request.mHeaders = CopyHeaders(aRequest.map_header);
  if (aRequest.binary_body_length > 0) {
    request.mBody.assign(static_cast<const char*>(aRequest.binary_body),
                         aRequest.binary_body_length);
  }
  return Dispatch(request, aRequest.http_url);
}

http_response
http_server::state::Dispatch(http_request& aRequest, const std::string& aTarget)
{
  const auto target = ParseTarget(aTarget);
  if (!target) {
    return ErrorResponse(400, "malformed path or query");
  }
  aRequest.mPath = aTarget.substr(0, aTarget.find('?'));
  aRequest.mQuery = target->mQuery;
  std::string allowed;
  for (const auto& candidate : mRoutes) {
    auto parameters = MatchPath(candidate.mPattern, target->mSegments);
    if (!parameters) {
      continue;
    }
    if (candidate.mMethod == aRequest.mMethod) {
      aRequest.mPathParameters = std::move(*parameters);
      return Handle(candidate.mHandler, aRequest);
    }
    allowed += (allowed.empty() ? "" : ", ") + candidate.mMethod;
  }
  if (allowed.empty() && mOthers) {
    return Handle(mOthers, aRequest);
  }
  if (allowed.empty()) {
    return ErrorResponse(404, "no such path");
  }
  auto response = ErrorResponse(405, "method not allowed here");
  response.mHeaders["Allow"] = allowed;
  return response;
}

http_response
http_server::state::Handle(const http_handler& aHandler,
                           const http_request& aRequest)
{
  if (mRequests.fetch_add(1) >= mSettings.mMaxRequests) {
    --mRequests;
    auto response = ErrorResponse(503, "too many requests in progress");
    response.mHeaders["Retry-After"] = "1";
    return response;
  }
  http_response response;
  try {
    response = aHandler(aRequest);
  } catch (const std::exception& failure) {
    log_event("http_handler_failed", log_level::Error)
      .Add("path", aRequest.mPath)
      .Add("reason", failure.what());
    response = ErrorResponse(500, "internal error");
  }
  --mRequests;
  return response;
}

bool
http_server::state::StartDaemon(const ip_address& aAddress)
{
  mBind.sin_family = AF_INET;
  mBind.sin_port = htons(aAddress.mPort);
  if (inet_pton(AF_INET, aAddress.mIp.c_str(), &mBind.sin_addr) != 1) {
    return false;
  }
  // The library wants a port above 0; the socket address below is what counts.
  const unsigned port = aAddress.mPort == 0 ? 1 : aAddress.mPort;
  if (ulfius_init_instance(&mInstance, port, &mBind, nullptr) != U_OK) {
    return false;
  }
  mInstance.check_utf8 = 0;
  mInstance.allowed_post_processor = U_POST_PROCESS_NONE;
  mInstance.max_post_body_size = mSettings.mMaxBody + 1;
  ulfius_set_default_endpoint(&mInstance, OnRequest, this);
  const auto timeout =
    std::chrono::ceil<std::chrono::seconds>(mSettings.mConnectionTimeout);
  std::array options{
    MHD_OptionItem{ MHD_OPTION_SOCK_ADDR, 0, &mBind },
    MHD_OptionItem{
      MHD_OPTION_CONNECTION_LIMIT, mSettings.mMaxConnections, nullptr },
    MHD_OptionItem{ MHD_OPTION_CONNECTION_TIMEOUT, timeout.count(), nullptr },
    MHD_OptionItem{ MHD_OPTION_NOTIFY_CONNECTION,
                    reinterpret_cast<std::intptr_t>(OnConnection),
                    &mConnections },
    MHD_OptionItem{ MHD_OPTION_NOTIFY_COMPLETED,
                    reinterpret_cast<std::intptr_t>(OnRequestCompleted),
                    &mConnections },
    MHD_OptionItem{ MHD_OPTION_URI_LOG_CALLBACK,
                    reinterpret_cast<std::intptr_t>(ulfius_uri_logger),
                    nullptr },
    MHD_OptionItem{ MHD_OPTION_END, 0, nullptr },
  };
  return ulfius_start_framework_with_mhd_options(
           &mInstance,
           MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
             MHD_USE_POLL,
           options.data()) == U_OK;
}

http_server::http_server(const http_server_settings& aSettings)
  : mState(std::make_unique<state>(aSettings))
{
}

http_server::~http_server()
{
  Stop();
}

void
http_server::Route(const std::string& aMethod,
                   const std::string& aPattern,
                   http_handler aHandler)
{
  mState->mRoutes.push_back({ .mMethod = aMethod,
                              .mPattern = aPattern,
                              .mHandler = std::move(aHandler) });
}

void
http_server::RouteOthers(http_handler aHandler)
{
  mState->mOthers = std::move(aHandler);
}

std::optional<core::error>
http_server::Start()
{
  const auto parsed = ParseAddress(mState->mSettings.mAddress);
  if (const auto* const bad = std::get_if<core::error>(&parsed)) {
    return *bad;
  }
  if (!mState->StartDaemon(std::get<ip_address>(parsed))) {
    ulfius_clean_instance(&mState->mInstance);
    return core::error{ .mStep = "listen",
                        .mPeer = mState->mSettings.mAddress,
                        .mReason = "cannot serve HTTP there" };
  }
  mState->mStarted = true;
  mState->mPort = BoundPort(mState->mInstance.mhd_daemon);
  return std::nullopt;
}

void
http_server::Stop()
{
  if (!std::exchange(mState->mStarted, false)) {
    return;
  }
  // The library cuts what is in progress: that is waited for first.
  mState->mStopping = true;
  mState->mConnections.WaitIdle();
  ulfius_stop_framework(&mState->mInstance);
  ulfius_clean_instance(&mState->mInstance);
}

std::uint16_t
http_server::Port() const
{
  return mState->mPort;
}

} // namespace gooseberry::io
