#include "libgooseberryio/http_server.h"

#include "libgooseberryio/address.h"
#include "libgooseberryio/http_connections.h"
#include "libgooseberryio/http_exchange.h"
#include "libgooseberryio/http_route.h"
#include "libgooseberryio/log.h"

#include <arpa/inet.h>

#include <array>
#include <atomic>
#include <utility>
#include <vector>

namespace gooseberry::io {
namespace {

/** Of a server that shares no budget. */
constexpr std::size_t kOwnBudget = std::size_t{ 16 } << 20U; // bytes

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

} // namespace

void
ReleaseBody(http_request& aRequest)
{
  aRequest.mBody = {};
  if (aRequest.mArrival != nullptr) {
    aRequest.mArrival->Release();
  }
}

struct http_server::state
{
  explicit state(const http_server_settings& aSettings)
    : mSettings(aSettings)
    , mBudget(aSettings.mBudget
                ? aSettings.mBudget
                : std::make_shared<body_budget>(kOwnBudget, aSettings.mMaxBody))
    , mConnections({ .mIdleTimeout = aSettings.mConnectionTimeout,
                     .mBodyTimeout = aSettings.mBodyTimeout,
                     .mMaxConnections = aSettings.mMaxConnections },
                   mBudget)
  {
  }

  std::optional<drop_reason> OnHead(http_exchange& aExchange,
                                    MHD_Connection* aConnection);
  bool OnBody(http_exchange& aExchange, std::string_view aBytes);
  http_response Answer(http_exchange& aExchange,
                       MHD_Connection* aConnection,
                       const char* aMethod);
  http_response Dispatch(http_request& aRequest, const std::string& aTarget);
  http_response Handle(const http_handler& aHandler, http_request& aRequest);
  bool StartDaemon(const ip_address& aAddress);

  const http_server_settings mSettings;
  const std::shared_ptr<body_budget> mBudget;
  http_connections mConnections;
  std::vector<route> mRoutes;
  http_handler mOthers;
  std::atomic<unsigned> mRequests = 0; ///< In handlers.
  std::atomic<bool> mStopping = false;
  std::uint16_t mPort = 0;
  MHD_Daemon* mDaemon = nullptr;
};

namespace {

http_response
DropResponse(drop_reason aReason, std::size_t aMaxBody)
{
  auto response =
    aReason == drop_reason::BodyTooLarge
      ? ErrorResponse(413, "body above " + std::to_string(aMaxBody) + " bytes")
      : ErrorResponse(503, "too many bodies in arrival");
  if (aReason != drop_reason::BodyTooLarge) {
    response.mHeaders["Retry-After"] = "1";
  }
  response.mHeaders["Connection"] = "close";
  return response;
}

/** Called with the first line of a request. */
extern "C" void*
OnFirstLine(void* aState, const char* aTarget, MHD_Connection* aConnection)
{
  auto* const state = static_cast<http_server::state*>(aState);
  state->mConnections.RequestArrives(SocketOf(aConnection));
  return std::make_unique<http_exchange>(
           aTarget, *state->mBudget, state->mSettings.mMaxBody)
    .release();
}

/** Called with the head of a request, with parts of its body, at its end. */
extern "C" MHD_Result
OnRequest(void* aState,
          MHD_Connection* aConnection,
          const char* /* aPath */,
          const char* aMethod,
          const char* /* aVersion */,
          const char* aBytes,
          std::size_t* aSize,
          void** aExchange)
{
  auto* const state = static_cast<http_server::state*>(aState);
  auto& exchange = *static_cast<http_exchange*>(*aExchange);
  if (!std::exchange(exchange.mHeadIsRead, true)) {
    const auto reason = state->OnHead(exchange, aConnection);
    return reason
             ? SendResponse(aConnection,
                            DropResponse(*reason, state->mSettings.mMaxBody))
             : MHD_YES;
  }
  if (*aSize > 0) {
    const bool isTaken = state->OnBody(exchange, { aBytes, *aSize });
    *aSize = 0;
    return isTaken ? MHD_YES : MHD_NO;
  }
  if (!state->mConnections.RequestBegun(SocketOf(aConnection))) {
    return MHD_NO;
  }
  return SendResponse(aConnection,
                      state->Answer(exchange, aConnection, aMethod));
}

extern "C" void
OnConnection(void* aState,
             MHD_Connection* aConnection,
             void** /* aContext */,
             MHD_ConnectionNotificationCode aCode)
{
  auto* const state = static_cast<http_server::state*>(aState);
  const int socket = SocketOf(aConnection);
  if (aCode == MHD_CONNECTION_NOTIFY_CLOSED) {
    state->mConnections.Closed(socket);
  } else {
    state->mConnections.Opened(socket);
  }
}

extern "C" void
OnRequestCompleted(void* aState,
                   MHD_Connection* aConnection,
                   void** aExchange,
                   MHD_RequestTerminationCode /* aCode */)
{
  auto* const state = static_cast<http_server::state*>(aState);
  const std::unique_ptr<http_exchange> exchange(
    static_cast<http_exchange*>(std::exchange(*aExchange, nullptr)));
  state->mConnections.RequestEnded(SocketOf(aConnection));
}

} // namespace

/** Why the body is not to be read, from the request's head. */
std::optional<drop_reason>
http_server::state::OnHead(http_exchange& aExchange,
                           MHD_Connection* aConnection)
{
  const auto reason = aExchange.mBody.Announce(AnnouncedLength(aConnection));
  if (reason) {
    mBudget->CountDrop(*reason);
  }
  if (reason == drop_reason::BuffersFull) {
    mConnections.CloseUnfinished(*reason);
  }
  return reason;
}

/** False where the connection is to be closed in the middle of the body. */
bool
http_server::state::OnBody(http_exchange& aExchange, std::string_view aBytes)
{
  const auto reason = aExchange.mBody.Append(aBytes);
  if (reason) {
    mBudget->CountDrop(*reason);
    aExchange.mBody.Release();
  }
  return !reason;
}

http_response
http_server::state::Answer(http_exchange& aExchange,
                           MHD_Connection* aConnection,
                           const char* aMethod)
{
  if (mStopping) {
    auto response = ErrorResponse(503, "shutting down");
    response.mHeaders["Connection"] = "close";
    return response;
  }
  http_request request;
  request.mMethod = aMethod;
  request.mSocket = SocketOf(aConnection);
  request.mHeaders = CopyHeaders(aConnection);
  request.mBody = aExchange.mBody.TakeText();
  request.mArrival = &aExchange.mBody;
  auto response = Dispatch(request, aExchange.mTarget);
  ReleaseBody(request);
  return response;
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
http_server::state::Handle(const http_handler& aHandler, http_request& aRequest)
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
  sockaddr_in bind{};
  bind.sin_family = AF_INET;
  bind.sin_port = htons(aAddress.mPort);
  if (inet_pton(AF_INET, aAddress.mIp.c_str(), &bind.sin_addr) != 1) {
    return false;
  }
  const auto timeout =
    std::chrono::ceil<std::chrono::seconds>(mSettings.mConnectionTimeout);
  std::array options{
    MHD_OptionItem{ MHD_OPTION_SOCK_ADDR, 0, &bind },
    MHD_OptionItem{
      MHD_OPTION_CONNECTION_LIMIT, mSettings.mMaxConnections, nullptr },
    MHD_OptionItem{ MHD_OPTION_CONNECTION_TIMEOUT, timeout.count(), nullptr },
    MHD_OptionItem{ MHD_OPTION_NOTIFY_CONNECTION,
                    reinterpret_cast<std::intptr_t>(OnConnection),
                    this },
    MHD_OptionItem{ MHD_OPTION_NOTIFY_COMPLETED,
                    reinterpret_cast<std::intptr_t>(OnRequestCompleted),
                    this },
    MHD_OptionItem{ MHD_OPTION_URI_LOG_CALLBACK,
                    reinterpret_cast<std::intptr_t>(OnFirstLine),
                    this },
    MHD_OptionItem{ MHD_OPTION_END, 0, nullptr },
  };
  mDaemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
                               MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                             aAddress.mPort,
                             nullptr,
                             nullptr,
                             OnRequest,
                             this,
                             MHD_OPTION_ARRAY,
                             options.data(),
                             MHD_OPTION_END);
  return mDaemon != nullptr;
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
    return core::error{ .mStep = "listen",
                        .mPeer = mState->mSettings.mAddress,
                        .mReason = "cannot serve HTTP there" };
  }
  mState->mPort = BoundPort(mState->mDaemon);
  return std::nullopt;
}

void
http_server::Stop()
{
  if (mState->mDaemon == nullptr) {
    return;
  }
  // The library cuts what is in progress: that is waited for first.
  mState->mStopping = true;
  mState->mConnections.WaitIdle();
  MHD_stop_daemon(std::exchange(mState->mDaemon, nullptr));
}

std::uint16_t
http_server::Port() const
{
  return mState->mPort;
}

} // namespace gooseberry::io
