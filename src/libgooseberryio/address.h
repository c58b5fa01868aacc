#pragma once

#include "libgooseberry/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry::io {

/** An IP number and a port. */
struct ip_address
{
  std::string mIp;
  std::uint16_t mPort = 0;
};

/** Parses `IP:PORT`, with IPv6 in brackets. */
core::result<ip_address>
ParseAddress(std::string_view aText);

/** `IP:PORT` */
std::string
ToString(const ip_address& aAddress);

} // namespace gooseberry::io
