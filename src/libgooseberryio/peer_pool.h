#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/time.h"
#include "libgooseberryio/peer_client.h"

#include <array>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gooseberry::io {

/** Kinds of traffic to a peer, kept apart: none waits behind another. */
enum class lane : std::uint8_t
{
  Control, ///< Announce, heartbeat, fence, locate and the like: small calls.
  Bulk,    ///< Start, finish, deliver.
};
inline constexpr core::enum_names<lane, 2> kLaneNames{ { "control", "bulk" } };

/** Bounds of a pool. */
struct peer_pool_settings
{
  core::duration mDeadline = std::chrono::milliseconds(500); ///< Of a call.
  /** A connection unused for this long is closed and its thread ends. */
  core::duration mIdleTime = std::chrono::seconds(10);
  std::size_t mQueueLimit = 4096;      ///< Calls waiting in one lane of a peer.
  std::size_t mControlConnections = 1; ///< To each peer, at most.
  std::size_t mBulkConnections = 2;    ///< To each peer, at most.
};

/**
 * Runs calls to many peers on threads of its own, so that the poster never
 * waits. Each lane of a peer has its own queue, connections and threads, made
 * when needed: a silent connection costs one deadline on its own lane only.
 * `Client` is `agent_client` or `entry_client`.
 */
template<typename Client>
class peer_pool
{
public:
  /** Makes a call and passes on what came of it; must not throw. */
  using call = std::function<void(Client&)>;

  explicit peer_pool(const peer_pool_settings& aSettings);
  /** Stops. */
  ~peer_pool();
  peer_pool(const peer_pool&) = delete;
  peer_pool& operator=(const peer_pool&) = delete;

  /**
   * Queues a call to the peer at `aAddress`, `IP:PORT`. False, and the call is
   * dropped, where the lane's queue is full or the pool is stopping. Calls of
   * one lane may overtake each other.
   */
  [[nodiscard]] bool Post(const std::string& aAddress, lane aLane, call aCall);

  /**
   * Drops the queued calls, which never run, waits for those that do and
   * joins all threads.
   */
  void Stop();

  /** Peers that have a connection or queued calls. */
  std::size_t PeerCount() const;

private:
  struct lane_state
  {
    std::deque<call> mCalls;
    std::condition_variable mArrived;
    std::size_t mThreads = 0;
    std::size_t mWaiting = 0; ///< Threads that wait for a call.
  };
  struct peer_state
  {
    std::array<lane_state, 2> mLanes;
  };

  /** False where the lane has no thread and none can be had. */
  bool StartThread(const std::string& aAddress, lane_state& aState);
  void Serve(const std::string& aAddress, lane_state& aState);
  std::size_t ConnectionLimit(lane aLane) const;
  void JoinEnded(std::unique_lock<std::mutex>& aLock);
  void ForgetIfIdle(const std::string& aAddress);

  const peer_pool_settings mSettings;
  mutable std::mutex mMutex;
  bool mStopping = false;
  std::map<std::string, std::unique_ptr<peer_state>> mPeers;
  std::map<std::thread::id, std::thread> mThreads;
  std::vector<std::thread::id> mEnded; ///< Threads that are to be joined.
};

extern template class peer_pool<agent_client>;
extern template class peer_pool<entry_client>;

} // namespace gooseberry::io
