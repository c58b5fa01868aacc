#include "agent/target_runner.h"

#include "agent/target_call.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace gooseberry::agentd {

namespace {

constexpr core::duration kThreadIdleTime = std::chrono::seconds(30);

/** Calls for one target, and the threads that make them. */
struct target_lane
{
  std::deque<agent::run_task> mCalls;
  std::condition_variable mArrived;
  std::size_t mThreads = 0;
  std::size_t mIdle = 0;
};

} // namespace

struct target_runner::state
{
  runner_settings mSettings;
  report_handler mReport;
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::map<std::string, target_lane> mLanes; ///< By the target's address.
  std::size_t mThreads = 0;
  bool mStopping = false;

  /** The next call; none when the thread is to end. */
  std::optional<agent::run_task> Next(target_lane& aLane)
  {
    std::unique_lock lock(mMutex);
    ++aLane.mIdle;
    aLane.mArrived.wait_for(lock, kThreadIdleTime, [&] {
      return mStopping || !aLane.mCalls.empty();
    });
    --aLane.mIdle;
    if (aLane.mCalls.empty()) {
      --aLane.mThreads;
      return std::nullopt;
    }
    auto call = std::move(aLane.mCalls.front());
    aLane.mCalls.pop_front();
    return call;
  }

  void Serve(const std::string& aAddress, target_lane& aLane)
  {
    io::http_client client;
    while (const auto call = Next(aLane)) {
      mReport(CallTarget(client, *call, mSettings.mMaxResult));
    }
    const std::lock_guard lock(mMutex);
    if (const auto lane = mLanes.find(aAddress); lane != mLanes.end() &&
                                                 lane->second.mThreads == 0 &&
                                                 lane->second.mCalls.empty()) {
      mLanes.erase(lane);
    }
    --mThreads;
    mEnded.notify_all();
  }
};

target_runner::target_runner(const runner_settings& aSettings,
                             report_handler aReport)
  : mState(std::make_shared<state>())
{
  mState->mSettings = aSettings;
  mState->mReport = std::move(aReport);
}

target_runner::~target_runner()
{
  Stop();
}

void
target_runner::Post(agent::run_task aTask)
{
  const std::lock_guard lock(mState->mMutex);
  const auto address = aTask.mTargetAddress;
  auto& lane = mState->mLanes[address];
  lane.mCalls.push_back(std::move(aTask));
  // A target with no thread gets one in any case: its calls must not starve.
  if (lane.mCalls.size() > lane.mIdle &&
      (lane.mThreads == 0 ||
       mState->mThreads < mState->mSettings.mMaxThreads)) {
    ++lane.mThreads;
    ++mState->mThreads;
    std::thread([state = mState, address, &lane] {
      state->Serve(address, lane);
    }).detach();
  }
  lane.mArrived.notify_one();
}

void
target_runner::Stop()
{
  std::unique_lock lock(mState->mMutex);
  mState->mStopping = true;
  for (auto& [address, lane] : mState->mLanes) {
    lane.mArrived.notify_all();
  }
  mState->mEnded.wait(lock, [this] { return mState->mThreads == 0; });
}

} // namespace gooseberry::agentd
