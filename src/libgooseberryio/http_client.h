#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberryio/peer_client.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gooseberry::io {

/** One request to be sent. */
struct http_call
{
  std::string mMethod = "GET";
  std::string mUrl; ///< `http://IP:PORT/PATH`
  std::map<std::string, std::string> mHeaders;
  std::string mContentType = "application/json";
  std::string mBody;
  core::duration mDeadline = std::chrono::seconds(1); ///< Of the whole call.
  /** Of the connection's set-up, within the deadline. */
  core::duration mConnectDeadline = std::chrono::milliseconds(500);
  std::size_t mMaxReply = 64 << 20; ///< Bytes; more is an error.
  /** Called once connected, before anything is sent; if it returns false, the
   * call fails and nothing is delivered. */
  std::function<bool()> mBeforeSending{};
};

struct http_reply
{
  unsigned mStatus = 0;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;
};

/**
 * HTTP client that keeps its connections. For one thread at a time. A request
 * is sent at most once: where a kept connection turns out dead after the
 * request went out, the call fails and says that it may have been delivered.
 */
class http_client
{
public:
  http_client();
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Any status is a reply; an error means that no whole reply came. */
  call_result<http_reply> Send(const http_call& aCall);

private:
  struct handle;
  std::unique_ptr<handle> mHandle;
};

/** `aText` with all but unreserved characters as `%XX`, for paths. */
std::string
EscapeUrl(const std::string& aText);

} // namespace gooseberry::io
