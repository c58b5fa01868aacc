#include "raw_socket.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace gooseberry::test {
namespace {

constexpr std::size_t kChunk = 4096;

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int
Connect(std::uint16_t aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  const auto address = Loopback(aPort);
  if (connect(handle,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(handle);
    throw std::runtime_error("cannot connect");
  }
  return handle;
}

/** Passes on one chunk; false at the end of the stream. */
bool
Forward(int aFrom, int aTo)
{
  std::array<char, kChunk> bytes{};
  const auto length = recv(aFrom, bytes.data(), bytes.size(), 0);
  return length > 0 && send(aTo,
                            bytes.data(),
                            static_cast<std::size_t>(length),
                            MSG_NOSIGNAL) == length;
}

} // namespace

raw_socket::raw_socket(std::uint16_t aPort)
  : mSocket(Connect(aPort))
{
}

raw_socket::~raw_socket()
{
  close(mSocket);
}

bool
raw_socket::Send(const std::string& aBytes) const
{
  return send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(aBytes.size());
}

void
raw_socket::EndSending() const
{
  shutdown(mSocket, SHUT_WR);
}

std::string
raw_socket::ReceiveAll() const
{
  std::string text;
  std::array<char, kChunk> bytes{};
  while (true) {
    const auto length = recv(mSocket, bytes.data(), bytes.size(), 0);
    if (length <= 0) {
      return text;
    }
    text.append(bytes.data(), static_cast<std::size_t>(length));
  }
}

forgetful_relay::forgetful_relay(std::uint16_t aTarget,
                                 int aSilentConnections,
                                 int aSendings)
  : mTarget(aTarget)
  , mSilent(aSilentConnections)
  , mSendings(aSendings)
  , mListener(socket(AF_INET, SOCK_STREAM, 0))
{
  auto address = Loopback(0);
  socklen_t length = sizeof(address);
  auto* const any = reinterpret_cast<sockaddr*>(&address);
  if (bind(mListener, any, length) != 0 || listen(mListener, 16) != 0 ||
      getsockname(mListener, any, &length) != 0) {
    throw std::runtime_error("cannot listen");
  }
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Accept(); });
}

forgetful_relay::~forgetful_relay()
{
  shutdown(mListener, SHUT_RDWR);
  mThread.join();
  for (auto& relay : mRelays) {
    relay.join();
  }
  for (const int client : mIgnored) {
    close(client);
  }
  close(mListener);
}

std::string
forgetful_relay::Address() const
{
  return "127.0.0.1:" + std::to_string(mPort);
}

void
forgetful_relay::Accept()
{
  while (true) {
    const int client = accept(mListener, nullptr, nullptr);
    if (client < 0) {
      return;
    }
    if (++mAccepted <= mSilent) {
      mIgnored.push_back(client);
    } else {
      mRelays.emplace_back([this, client] { Relay(client); });
    }
  }
}

void
forgetful_relay::Relay(int aClient) const
{
  const int target = Connect(mTarget);
  std::array<pollfd, 2> ends{ pollfd{ aClient, POLLIN, 0 },
                              pollfd{ target, POLLIN, 0 } };
  bool isOpen = true;
  int sendings = 0;
  while (isOpen && poll(ends.data(), ends.size(), -1) > 0) {
    if (ends[0].revents != 0) {
      isOpen =
        (mSendings == 0 || sendings < mSendings) && Forward(aClient, target);
      ++sendings;
    } else {
      isOpen = Forward(target, aClient);
    }
  }
  close(aClient);
  close(target);
}

} // namespace gooseberry::test
