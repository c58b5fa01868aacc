#include "entry/entry_process.h"

#include "entry/operator_api.h"
#include "libgooseberryio/clock.h"
#include "libgooseberryio/log.h"

#include <random>
#include <thread>

namespace gooseberry::entry_program {

namespace {

std::uint64_t
RandomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

io::peer_pool_settings
PoolSettings(core::duration aDeadline)
{
  io::peer_pool_settings settings;
  settings.mDeadline = aDeadline;
  return settings;
}

} // namespace

entry_process::entry_process(const process_options& aOptions)
  : mOptions(aOptions)
  , mMetrics(aOptions.mEntry.mName)
  , mRunner(PoolSettings(aOptions.mPeerDeadline),
            aOptions.mMakeStore(),
            mCallers,
            mOperators)
  , mLoop(entry::MakeEntry(aOptions.mEntry,
                           RandomNumber(),
                           RandomNumber(),
                           io::Now(),
                           mFirstEffects),
          [this](const entry::effects& aEffects) { mRunner.Run(aEffects); })
  , mPeers(aOptions.mEntry.mAddress, MakeHandlers())
  , mHttp(aOptions.mHttp)
{
  mRunner.SetLoop(mLoop);
  AddCallerRoutes(mHttp, mLoop, mCallers, mOptions.mCallers);
  AddOperatorRoutes(mHttp, mLoop, mOperators);
  AddHealthRoutes();
}

entry_process::~entry_process()
{
  Stop();
}

std::optional<core::error>
entry_process::Start()
{
  if (auto error = mPeers.Start()) {
    return error;
  }
  mLoop.Start(mFirstEffects);
  if (auto error = mHttp.Start()) {
    return error;
  }
  io::log_event("entry_started")
    .Add("entry", mOptions.mEntry.mName)
    .Add("http", mOptions.mHttp.mAddress)
    .Add("peers", mOptions.mEntry.mAddress);
  return std::nullopt;
}

void
entry_process::AnnounceLeaving()
{
  mReady = false;
}

void
entry_process::Leave()
{
  static_cast<void>(mLoop.Post([](auto& aControl, auto aNow, auto& aEffects) {
    entry::Leave(aControl, aNow, aEffects);
  }));
}

bool
entry_process::IsDrained() const
{
  return mRunner.IsDrained();
}

void
entry_process::Stop()
{
  mHttp.Stop();
  mPeers.Stop();
  mRunner.Stop();
  mLoop.Stop();
}

io::entry_handlers
entry_process::MakeHandlers()
{
  io::entry_handlers handlers;
  handlers.mAnnounce = [this](const core::agent_state& aState) {
    return mLoop.Ask([&aState](auto& aControl, auto aNow, auto& aEffects) {
      return entry::OnAnnounce(aControl, aState, aNow, aEffects);
    });
  };
  handlers.mFinish = [this](const core::finish_batch& aBatch) {
    return mLoop.Ask([&aBatch](auto& aControl, auto aNow, auto& aEffects) {
      return entry::OnFinish(aControl, aBatch, aNow, aEffects);
    });
  };
  handlers.mLocate =
    [this](const std::vector<core::locate_request>& aRequests) {
      return mLoop.Ask([&aRequests](auto& aControl, auto aNow, auto& aEffects) {
        return entry::OnLocate(aControl, aRequests, aNow, aEffects);
      });
    };
  handlers.mCopyNotes = [this](const core::peer_ref& aJoiner) {
    return mLoop.Ask([&aJoiner](auto& aControl, auto aNow, auto& aEffects) {
      static_cast<void>(aNow);
      static_cast<void>(aEffects);
      return entry::OnCopyPromises(aControl, aJoiner);
    });
  };
  handlers.mBeat = [this](const core::heartbeat& aBeat) {
    return mLoop.Ask([&aBeat](auto& aControl, auto aNow, auto& aEffects) {
      return entry::OnHeartbeat(aControl, aBeat, aNow, aEffects);
    });
  };
  handlers.mDeliver = [this](const core::deliver_request& aRequest) {
    mLoop.Ask([&aRequest](auto& aControl, auto aNow, auto& aEffects) {
      entry::OnDeliver(aControl, aRequest, aNow, aEffects);
      return true;
    });
  };
  return handlers;
}

bool
entry_process::IsReady()
{
  const bool ready =
    mReady && mLoop.Ask([](auto& aControl, auto aNow, auto& aEffects) {
      static_cast<void>(aEffects);
      return entry::IsReady(aControl, aNow);
    });
  mSendsElsewhere = !ready;
  return ready;
}

void
entry_process::AddHealthRoutes()
{
  mHttp.Route("GET", "/healthz", [](const io::http_request&) {
    return io::http_response{};
  });
  mHttp.Route("GET", "/readyz", [this](const io::http_request&) {
    constexpr unsigned kUnavailable = 503;
    const bool ready = IsReady();
    io::http_response response;
    response.mStatus = ready ? response.mStatus : kUnavailable;
    return response;
  });
  mHttp.Route("GET", "/metrics", [this](const io::http_request&) {
    io::http_response response;
    response.mContentType = "text/plain; version=0.0.4";
    mPublisher.Publish(mMetrics,
                       mLoop.Ask([](auto& aControl, auto aNow, auto& aEffects) {
                         static_cast<void>(aEffects);
                         return TakeMeasurements(aControl, aNow);
                       }));
    if (mOptions.mHttp.mBudget) {
      mMetrics.SetDrops(mOptions.mHttp.mBudget->Drops());
    }
    response.mBody = mMetrics.Text();
    return response;
  });
}

/** Serves until a signal, then until all that was taken is answered. */
void
Serve(entry_process& aProcess,
      io::stop_signals& aSignals,
      const std::function<void()>& aBeforeStop)
{
  constexpr core::duration kPoll = std::chrono::milliseconds(50);
  // The balancer is to see /readyz turn before callers are refused: balancers
  // look about once a second, and some want to see it twice.
  constexpr core::duration kBalancerNotice = std::chrono::milliseconds(2'500);
  while (!aSignals.WaitFor(kPoll)) {
  }
  aProcess.AnnounceLeaving();
  std::this_thread::sleep_for(kBalancerNotice);
  aProcess.Leave();
  while (!aProcess.IsDrained()) {
    std::this_thread::sleep_for(kPoll);
  }
  aBeforeStop();
  aProcess.Stop();
  const io::log_event stopped("entry_stopped");
}

} // namespace gooseberry::entry_program
