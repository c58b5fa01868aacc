#include "libgooseberryio/peer_client.h"
#include "libgooseberryio/peer_server.h"

#include <benchmark/benchmark.h>

#include <stdexcept>

using namespace gooseberry;

namespace {

/** An agent on loopback that accepts every start. */
class accepting_agent
{
public:
  accepting_agent()
    : mServer("127.0.0.1:0", Handlers())
  {
    if (const auto failure = mServer.Start()) {
      throw std::runtime_error(core::ToString(*failure));
    }
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

private:
  static io::agent_handlers Handlers()
  {
    return {
      .mStart =
        [](const core::start_batch& aBatch) {
          core::start_reply reply;
          reply.mVerdicts.resize(aBatch.mStarts.size());
          return reply;
        },
      .mCancel = [](const core::cancel_batch&) {},
      .mFence =
        [](const std::vector<core::fence_request>&) {
          return std::vector<core::fence_reply>{};
        },
      .mCopyFences =
        [](const core::peer_ref&) { return core::copy_fences_reply{}; },
      .mApply =
        [](const core::versioned_configuration&) {
          return core::generation{ 0 };
        },
    };
  }

  io::agent_server mServer;
};

/** One call with a batch of starts of 256 bytes of payload each. */
void
StartBatch(benchmark::State& aState)
{
  constexpr std::size_t kPayloadBytes = 256;
  const accepting_agent agent;
  io::agent_client client(agent.Address(), std::chrono::seconds(10));
  core::task_start start;
  start.mTask.mJob = "team/job-with-a-usual-name";
  start.mPayload.assign(kPayloadBytes, 'x');
  core::start_batch batch;
  batch.mStarts.assign(static_cast<std::size_t>(aState.range(0)), start);
  for (auto _ : aState) { // NOLINT(clang-analyzer-deadcode.DeadStores)
    const auto result = client.Start(batch);
    if (!std::holds_alternative<core::start_reply>(result)) {
      aState.SkipWithError("the call failed");
      break;
    }
  }
  aState.SetItemsProcessed(aState.iterations() * aState.range(0));
}
BENCHMARK(StartBatch)->Arg(1)->Arg(64)->Arg(256)->UseRealTime();

} // namespace
BENCHMARK_MAIN();
