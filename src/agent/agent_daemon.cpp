#include "agent/agent_daemon.h"

#include "agent/target_api.h"
#include "libgooseberryio/log.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace gooseberry::agentd {

namespace {

using agent::agent_control;
using agent::effects;

constexpr unsigned kUnavailable = 503;

/** What the entries' and agents' calls do. */
io::agent_handlers
MakeHandlers(control_thread& aControl)
{
  io::agent_handlers handlers;
  handlers.mStart = [&aControl](core::start_batch aBatch) {
    return aControl.Ask<core::start_reply>(
      [&](agent_control& aState, core::instant aNow, effects& aOut) {
        return agent::OnStart(aState, aBatch, aNow, aOut);
      });
  };
  handlers.mCancel = [&aControl](core::cancel_batch aBatch) {
    aControl.Ask<bool>(
      [&](agent_control& aState, core::instant aNow, effects& aOut) {
        agent::OnCancel(aState, aBatch, aNow, aOut);
        return true;
      });
  };
  handlers.mFence = [&aControl](std::vector<core::fence_request> aRequests) {
    return aControl.Ask<std::vector<core::fence_reply>>(
      [&](agent_control& aState, core::instant aNow, effects& aOut) {
        std::vector<core::fence_reply> replies;
        replies.reserve(aRequests.size());
        for (const auto& request : aRequests) {
          replies.push_back(agent::OnFence(aState, request, aNow, aOut));
        }
        return replies;
      });
  };
  handlers.mCopyFences = [&aControl](const core::peer_ref&) {
    return aControl.Ask<core::copy_fences_reply>(
      [](agent_control& aState, core::instant, effects&) {
        return agent::OnCopyFences(aState);
      });
  };
  handlers.mApply = [&aControl](core::versioned_configuration aText) {
    return aControl.Ask<core::generation>(
      [&](agent_control& aState, core::instant aNow, effects& aOut) {
        return agent::OnConfiguration(aState, aText, aNow, aOut);
      });
  };
  return handlers;
}

store_handlers
MakeStoreHandlers(control_thread& aControl)
{
  return {
    [&aControl](std::vector<membership::member_row> aRows) {
      aControl.Post([rows = std::move(aRows)](agent_control& aState,
                                              core::instant aNow,
                                              effects& aOut) {
        agent::OnRows(aState, rows, aNow, aOut);
      });
    },
    [&aControl] { aControl.Post(agent::OnRowWritten); },
    [&aControl](const entry::configuration_row& aRow, core::instant aSentAt) {
      aControl.Post([row = aRow, aSentAt](agent_control& aState,
                                          core::instant aNow,
                                          effects& aOut) {
        agent::OnConfigurationRead(
          aState, row.mConfiguration, row.mNumbering, aSentAt, aNow, aOut);
      });
    },
    [&aControl] {
      aControl.Post([](agent_control& aState, core::instant, effects&) {
        agent::OnConfigurationReadFailed(aState);
      });
    }
  };
}

report_handler
MakeReportHandler(control_thread& aControl)
{
  return [&aControl](agent::task_report aReport) {
    aControl.Post([report = std::move(aReport)](
                    agent_control& aState, core::instant aNow, effects& aOut) {
      agent::OnTaskEnded(aState, report, aNow, aOut);
    });
  };
}

io::peer_pool_settings
PoolSettings(const daemon_settings& aSettings)
{
  io::peer_pool_settings settings;
  settings.mDeadline = aSettings.mCallDeadline;
  return settings;
}

io::http_response
TextResponse(unsigned aStatus, std::string aBody)
{
  io::http_response response;
  response.mStatus = aStatus;
  response.mContentType = "text/plain; version=0.0.4";
  response.mBody = std::move(aBody);
  return response;
}

std::size_t
QueueLength(const core::agent_state& aState)
{
  std::size_t queued = 0;
  for (const auto& target : aState.mTargets) {
    queued += target.mQueued;
  }
  return queued;
}

} // namespace

agent_daemon::agent_daemon(daemon_settings aSettings)
  : mSettings(std::move(aSettings))
  , mMetrics(mSettings.mControl.mAgent.mName)
  , mControl(agent::MakeControl(mSettings.mControl), mSettings.mEventQueue)
  , mRunner({ mSettings.mMaxResult, mSettings.mMaxTargetThreads },
            MakeReportHandler(mControl))
  , mLink(mSettings.mMakeLink ? mSettings.mMakeLink(mControl) : nullptr)
  , mStore(mSettings.mMakeStore(), MakeStoreHandlers(mControl))
  , mEntries(PoolSettings(mSettings))
  , mAgents(PoolSettings(mSettings))
  , mParts{ mSettings,   mControl, mRunner,
            mLink.get(), mStore,   mEntries,
            mAgents,     mMetrics, [this] { mHasLeft = true; } }
  , mPeerServer(mSettings.mListen, MakeHandlers(mControl))
  , mHttpServer(mSettings.mHttp)
{
}

agent_daemon::~agent_daemon()
{
  Stop();
}

std::optional<core::error>
agent_daemon::Start()
{
  RouteTargets(mHttpServer, mControl, mSettings.mMaxLease);
  RouteHealth();
  auto error = mPeerServer.Start();
  if (!error) {
    error = mHttpServer.Start();
  }
  if (error) {
    // Answers calls that came in meanwhile, so that `Stop` can end them.
    mControl.Start([](const agent::effect&) { return std::nullopt; });
    return error;
  }
  mControl.Start([this](agent::effect aEffect) {
    return Perform(mParts, std::move(aEffect));
  });
  io::log_event("agent_started")
    .Add("agent", mSettings.mControl.mAgent.mName)
    .Add("incarnation", mSettings.mControl.mAgent.mIncarnation)
    .Add("http", mSettings.mHttp.mAddress)
    .Add("peers", mSettings.mListen);
  return std::nullopt;
}

void
agent_daemon::Leave()
{
  mControl.Post(agent::Leave);
}

bool
agent_daemon::HasLeft() const
{
  return mHasLeft;
}

void
agent_daemon::Stop()
{
  mHttpServer.Stop();
  mPeerServer.Stop();
  mStore.Stop();
  mRunner.Stop();
  if (mLink) {
    mLink->Stop();
  }
  mEntries.Stop();
  mAgents.Stop();
  mControl.Stop();
}

void
agent_daemon::RouteHealth()
{
  const auto state = [this] {
    return mControl.Ask<core::agent_state>(
      [](agent_control& aState, core::instant aNow, effects&) {
        return agent::StateOf(aState, {}, aNow);
      });
  };
  mHttpServer.Route(
    "GET", "/healthz", [](const auto&) { return TextResponse(200, "ok\n"); });
  mHttpServer.Route("GET", "/readyz", [state](const auto&) {
    const auto now = state();
    return now.mOpen && !now.mLeaving
             ? TextResponse(200, "ready\n")
             : TextResponse(kUnavailable,
                            now.mLeaving ? "leaving\n" : "not open\n");
  });
  mHttpServer.Route("GET", "/metrics", [this, state](const auto&) {
    mMetrics.SetQueueLength(QueueLength(state()));
    if (mSettings.mHttp.mBudget) {
      mMetrics.SetDrops(mSettings.mHttp.mBudget->Drops());
    }
    return TextResponse(200, mMetrics.Text());
  });
}

void
Serve(agent_daemon& aDaemon,
      io::stop_signals& aSignals,
      const std::function<void()>& aBeforeStop)
{
  constexpr core::duration kSignalPoll = std::chrono::milliseconds(50);
  while (!aSignals.WaitFor(kSignalPoll)) {
  }
  aDaemon.Leave();
  while (!aDaemon.HasLeft()) {
    std::this_thread::sleep_for(kSignalPoll);
  }
  aBeforeStop();
  aDaemon.Stop();
  const io::log_event stopped("agent_stopped");
}

} // namespace gooseberry::agentd
