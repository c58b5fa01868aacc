#pragma once

#include "libgooseberryio/body_budget.h"
#include "libgooseberryio/http_server.h"

#include <cstdint>
#include <map>
#include <microhttpd.h>
#include <optional>
#include <string>

/** What passes between the HTTP library and the server. */
namespace gooseberry::io {

/** A request in arrival. */
struct http_exchange
{
  http_exchange(const char* aTarget, body_budget& aBudget, std::size_t aMaxBody)
    : mTarget(aTarget)
    , mBody(aBudget, aMaxBody)
  {
  }

  std::string mTarget; ///< As sent, not decoded.
  arriving_body mBody;
  bool mHeadIsRead = false;
};

/** The connection's socket, or -1. */
int
SocketOf(MHD_Connection* aConnection);

/** Of the body that follows; nothing where it is chunked. */
std::optional<std::uint64_t>
AnnouncedLength(MHD_Connection* aConnection);

/** Headers with names in lower case; values of one name joined by commas. */
std::map<std::string, std::string>
CopyHeaders(MHD_Connection* aConnection);

MHD_Result
SendResponse(MHD_Connection* aConnection, const http_response& aResponse);

/** The port that a daemon listens on, or 0. */
std::uint16_t
BoundPort(MHD_Daemon* aDaemon);

} // namespace gooseberry::io
