#include "libgooseberryio/http_exchange.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <memory>

namespace gooseberry::io {
namespace {

struct response_deleter
{
  void operator()(MHD_Response* aResponse) const
  {
    MHD_destroy_response(aResponse);
  }
};
using response_handle = std::unique_ptr<MHD_Response, response_deleter>;

extern "C" MHD_Result
AddHeader(void* aHeaders,
          MHD_ValueKind /* aKind */,
          const char* aName,
          const char* aValue)
{
  auto& headers = *static_cast<std::map<std::string, std::string>*>(aHeaders);
  std::string name = aName;
  std::ranges::transform(name, name.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  const std::string value = aValue == nullptr ? "" : aValue;
  const auto [found, isNew] = headers.try_emplace(std::move(name), value);
  if (!isNew) {
    found->second += "," + value;
  }
  return MHD_YES;
}

/** Ends a response in the middle: the library then closes the connection. */
extern "C" ssize_t
FailStream(void* /* aData */,
           std::uint64_t /* aOffset */,
           char* /* aBuffer */,
           std::size_t /* aSize */)
{
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

response_handle
MakeResponse(const http_response& aFrom)
{
  if (aFrom.mCutShort) {
    constexpr std::size_t kBlock = 64;
    return response_handle(MHD_create_response_from_callback(
      aFrom.mBody.size() + 1, kBlock, FailStream, nullptr, nullptr));
  }
  // The library copies the bytes, and takes no pointer to constant ones.
  return response_handle(MHD_create_response_from_buffer(
    aFrom.mBody.size(),
    const_cast<char*>(aFrom.mBody.data()), // NOLINT
    MHD_RESPMEM_MUST_COPY));
}

} // namespace

int
SocketOf(MHD_Connection* aConnection)
{
  const auto* const info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

std::optional<std::uint64_t>
AnnouncedLength(MHD_Connection* aConnection)
{
  if (MHD_lookup_connection_value(
        aConnection, MHD_HEADER_KIND, MHD_HTTP_HEADER_TRANSFER_ENCODING) !=
      nullptr) {
    return std::nullopt;
  }
  const char* const text = MHD_lookup_connection_value(
    aConnection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  if (text == nullptr) {
    return 0;
  }
  const std::string_view digits(text);
  std::uint64_t length = 0;
  const auto [rest, status] =
    std::from_chars(digits.data(), digits.data() + digits.size(), length);
  // The library refuses what is no number; one that does not fit is too long.
  return status == std::errc() ? length
                               : std::numeric_limits<std::uint64_t>::max();
}

std::map<std::string, std::string>
CopyHeaders(MHD_Connection* aConnection)
{
  std::map<std::string, std::string> headers;
  MHD_get_connection_values(aConnection, MHD_HEADER_KIND, AddHeader, &headers);
  return headers;
}

MHD_Result
SendResponse(MHD_Connection* aConnection, const http_response& aResponse)
{
  const auto response = MakeResponse(aResponse);
  if (!response) {
    return MHD_NO;
  }
  for (const auto& [name, value] : aResponse.mHeaders) {
    MHD_add_response_header(response.get(), name.c_str(), value.c_str());
  }
  MHD_add_response_header(response.get(),
                          MHD_HTTP_HEADER_CONTENT_TYPE,
                          aResponse.mContentType.c_str());
  return MHD_queue_response(aConnection, aResponse.mStatus, response.get());
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

} // namespace gooseberry::io
