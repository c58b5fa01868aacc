#include "libgooseberryio/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace gooseberry::io {
namespace {

bool
IsIp(const std::string& aText)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, aText.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), bytes.data()) == 1;
}

core::error
Refusal(std::string_view aText)
{
  return { .mStep = "read address",
           .mPeer = std::string(aText),
           .mReason = "expected IP:PORT, port 0 to 65535" };
}

} // namespace

core::result<ip_address>
ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Refusal(aText);
  }
  auto ip = aText.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  ip_address address;
  address.mIp = std::string(ip);
  const auto port = aText.substr(colon + 1);
  const char* const end = port.data() + port.size();
  const auto [rest, status] = std::from_chars(port.data(), end, address.mPort);
  if (status != std::errc() || rest != end || !IsIp(address.mIp)) {
    return Refusal(aText);
  }
  return address;
}

std::string
ToString(const ip_address& aAddress)
{
  const bool isV6 = aAddress.mIp.find(':') != std::string::npos;
  const std::string ip = isV6 ? "[" + aAddress.mIp + "]" : aAddress.mIp;
  return ip + ":" + std::to_string(aAddress.mPort);
}

} // namespace gooseberry::io
