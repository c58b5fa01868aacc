#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/core/time.h"
#include "libgooseberryio/body_budget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry::io {

struct http_request
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mPathParameters; ///< Of `:NAME` parts.
  std::map<std::string, std::string> mQuery;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;                           ///< Any bytes.
  int mSocket = -1; ///< Of the connection; not to be read from or closed.
  arriving_body* mArrival = nullptr; ///< Reserves the bytes of `mBody`.
};

/** Frees the body; for handlers that have read it and wait long. */
void
ReleaseBody(http_request& aRequest);

struct http_response
{
  unsigned mStatus = 200;
  std::map<std::string, std::string> mHeaders{};
  std::string mContentType = "application/json";
  std::string mBody{};
  /** Closes the connection in the middle of the response; for stand-ins. */
  bool mCutShort = false;
};

/** Called on the connection's thread; may block; an exception gives a 500. */
using http_handler = std::function<http_response(http_request&)>;

/** Bounds that keep callers from harming each other. */
struct http_server_settings
{
  std::string mAddress = "127.0.0.1:0"; ///< `IP:PORT`; port 0: any free one.
  std::size_t mMaxBody = 16 << 20;      ///< Bytes; above: 413.
  unsigned mMaxConnections = 1024;      ///< Above: closed at once.
  /** Requests in handlers at once; above: 503 with `Retry-After`. */
  unsigned mMaxRequests = 1024;
  /** An idle connection, or a request in arrival that stalls, ends. */
  core::duration mConnectionTimeout = std::chrono::seconds(30);
  /** A request that is not whole so long after its first line is given up. */
  core::duration mBodyTimeout = std::chrono::seconds(10);
  /** May be shared by servers; none: the server has its own, of 16 MiB. */
  std::shared_ptr<body_budget> mBudget{};
};

/** HTTP server with one thread for each connection. */
class http_server
{
public:
  explicit http_server(const http_server_settings& aSettings);
  /** Stops. */
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /**
   * Adds a route before the start; `aPattern` is like `/v1/jobs/:job`. Other
   * paths get a 404, other methods of a known path a 405.
   */
  void Route(const std::string& aMethod,
             const std::string& aPattern,
             http_handler aHandler);

  /** Handles what no route matches, before the start. */
  void RouteOthers(http_handler aHandler);

  /** Listens and returns; an error if the address cannot be had. */
  std::optional<core::error> Start();

  /** Takes no more requests, waits for handlers that run, joins threads. */
  void Stop();

  /** The port that it listens on, once started. */
  std::uint16_t Port() const;

  /** Of the implementation. */
  struct state;

private:
  std::unique_ptr<state> mState;
};

} // namespace gooseberry::io
