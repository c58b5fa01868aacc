#include "libgooseberryio/peer_pool.h"

#include <system_error>
#include <utility>

namespace gooseberry::io {

template<typename Client>
peer_pool<Client>::peer_pool(const peer_pool_settings& aSettings)
  : mSettings(aSettings)
{
}

template<typename Client>
peer_pool<Client>::~peer_pool()
{
  Stop();
}

template<typename Client>
bool
peer_pool<Client>::Post(const std::string& aAddress, lane aLane, call aCall)
{
  std::unique_lock lock(mMutex);
  JoinEnded(lock);
  if (mStopping) {
    return false;
  }
  auto& peer = mPeers[aAddress];
  if (!peer) {
    peer = std::make_unique<peer_state>();
  }
  auto& state = peer->mLanes[static_cast<std::size_t>(aLane)];
  if (state.mCalls.size() >= mSettings.mQueueLimit) {
    return false;
  }
  state.mCalls.push_back(std::move(aCall));
  if (state.mCalls.size() > state.mWaiting &&
      state.mThreads < ConnectionLimit(aLane) &&
      !StartThread(aAddress, state)) {
    state.mCalls.pop_back();
    return false;
  }
  state.mArrived.notify_one();
  return true;
}

template<typename Client>
bool
peer_pool<Client>::StartThread(const std::string& aAddress, lane_state& aState)
{
  try {
    std::thread thread([this, aAddress, &aState] { Serve(aAddress, aState); });
    const auto id = thread.get_id();
    mThreads.emplace(id, std::move(thread));
    ++aState.mThreads;
    return true;
  } catch (const std::system_error&) {
    return aState.mThreads > 0; // The others will come to the call.
  }
}

template<typename Client>
void
peer_pool<Client>::Stop()
{
  std::map<std::thread::id, std::thread> threads;
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    threads.swap(mThreads);
    for (const auto& [address, peer] : mPeers) {
      for (auto& state : peer->mLanes) {
        state.mCalls.clear();
        state.mArrived.notify_all();
      }
    }
  }
  for (auto& [id, thread] : threads) {
    thread.join();
  }
}

template<typename Client>
std::size_t
peer_pool<Client>::PeerCount() const
{
  const std::lock_guard lock(mMutex);
  return mPeers.size();
}

template<typename Client>
void
peer_pool<Client>::Serve(const std::string& aAddress, lane_state& aState)
{
  Client client(aAddress, mSettings.mDeadline);
  std::unique_lock lock(mMutex);
  while (true) {
    ++aState.mWaiting;
    aState.mArrived.wait_for(lock, mSettings.mIdleTime, [&] {
      return mStopping || !aState.mCalls.empty();
    });
    --aState.mWaiting;
    if (aState.mCalls.empty()) {
      break;
    }
    call next = std::move(aState.mCalls.front());
    aState.mCalls.pop_front();
    lock.unlock();
    next(client);
    next = nullptr; // What it holds is released outside the lock.
    lock.lock();
  }
  --aState.mThreads;
  mEnded.push_back(std::this_thread::get_id());
  ForgetIfIdle(aAddress);
}

template<typename Client>
std::size_t
peer_pool<Client>::ConnectionLimit(lane aLane) const
{
  return aLane == lane::Control ? mSettings.mControlConnections
                                : mSettings.mBulkConnections;
}

template<typename Client>
void
peer_pool<Client>::JoinEnded(std::unique_lock<std::mutex>& aLock)
{
  if (mEnded.empty()) {
    return;
  }
  std::vector<std::thread> threads;
  for (const auto& id : std::exchange(mEnded, {})) {
    if (auto node = mThreads.extract(id)) {
      threads.push_back(std::move(node.mapped()));
    }
  }
  // An ended thread holds the lock for its last few steps.
  aLock.unlock();
  for (auto& thread : threads) {
    thread.join();
  }
  aLock.lock();
}

template<typename Client>
void
peer_pool<Client>::ForgetIfIdle(const std::string& aAddress)
{
  const auto found = mPeers.find(aAddress);
  if (found == mPeers.end()) {
    return;
  }
  for (const auto& state : found->second->mLanes) {
    if (state.mThreads > 0 || !state.mCalls.empty()) {
      return;
    }
  }
  mPeers.erase(found);
}

template class peer_pool<agent_client>;
template class peer_pool<entry_client>;

} // namespace gooseberry::io
