#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace gooseberry::test {

/** Plain TCP connection to a port on loopback. */
class raw_socket
{
public:
  explicit raw_socket(std::uint16_t aPort);
  ~raw_socket();
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;

  /** False where the peer has closed. */
  bool Send(const std::string& aBytes) const;
  /** Says that nothing more will be sent. */
  void EndSending() const;
  /** All bytes until the peer closes. */
  std::string ReceiveAll() const;

private:
  int mSocket;
};

/**
 * Passes connections on to a port on loopback. The first few it accepts and
 * then ignores, as if something had lost track of them; others it closes when
 * the client has sent a number of times, without passing the last one on.
 */
class forgetful_relay
{
public:
  /** `aSendings`: passed on for each connection; 0: no limit. */
  forgetful_relay(std::uint16_t aTarget,
                  int aSilentConnections,
                  int aSendings = 0);
  ~forgetful_relay();
  forgetful_relay(const forgetful_relay&) = delete;
  forgetful_relay& operator=(const forgetful_relay&) = delete;

  std::string Address() const;
  int Accepted() const { return mAccepted; }

private:
  void Accept();
  void Relay(int aClient) const;

  const std::uint16_t mTarget;
  const int mSilent;
  const int mSendings;
  int mListener;
  std::uint16_t mPort = 0;
  std::atomic<int> mAccepted = 0;
  std::vector<int> mIgnored;
  std::vector<std::thread> mRelays;
  std::thread mThread;
};

} // namespace gooseberry::test
