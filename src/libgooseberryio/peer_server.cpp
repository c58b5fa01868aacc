#include "libgooseberryio/peer_server.h"

#include "libgooseberryio/address.h"
#include "libgooseberryio/peer_limits.h"
#include "libgooseberryio/protocol/convert.h"
#include "libgooseberryio/protocol/generated/AgentService.h"
#include "libgooseberryio/protocol/generated/EntryService.h"

#include <sys/socket.h>

#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>
#include <vector>

namespace gooseberry::io {

namespace thrift = apache::thrift;

namespace {

/** A connection on which nothing arrives for this long is closed. */
constexpr std::chrono::milliseconds kIdleConnection = std::chrono::minutes(2);
/** Of one write to a caller that does not read. */
constexpr std::chrono::milliseconds kSendTimeout = std::chrono::seconds(2);
/** Connections at once; more wait to be accepted. */
constexpr std::int64_t kMaxConnections = 4096;

class agent_adapter : public wire::AgentServiceIf
{
public:
  explicit agent_adapter(agent_handlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  void start(wire::StartReply& aReply, const wire::StartBatch& aBatch) override
  {
    aReply = ToWire(mHandlers.mStart(FromWire(aBatch)));
  }

  bool cancel(const wire::CancelBatch& aBatch) override
  {
    mHandlers.mCancel(FromWire(aBatch));
    return true;
  }

  void fence(std::vector<wire::FenceReply>& aReplies,
             const std::vector<wire::FenceRequest>& aRequests) override
  {
    aReplies = ListToWire(mHandlers.mFence(ListFromWire(aRequests)));
  }

  void copyFences(wire::CopyReply& aReply,
                  const wire::PeerRef& aJoiner) override
  {
    aReply = ToWire(mHandlers.mCopyFences(FromWire(aJoiner)));
  }

  std::int64_t apply(
    const wire::VersionedConfiguration& aConfiguration) override
  {
    return static_cast<std::int64_t>(
      mHandlers.mApply(FromWire(aConfiguration)));
  }

private:
  const agent_handlers mHandlers;
};

class entry_adapter : public wire::EntryServiceIf
{
public:
  explicit entry_adapter(entry_handlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  void announce(wire::EntryReply& aReply,
                const wire::AgentState& aState) override
  {
    aReply = ToWire(mHandlers.mAnnounce(FromWire(aState)));
  }

  void finish(wire::EntryReply& aReply,
              const wire::FinishBatch& aBatch) override
  {
    aReply = ToWire(mHandlers.mFinish(FromWire(aBatch)));
  }

  void locate(std::vector<wire::LocateReply>& aReplies,
              const std::vector<wire::LocateRequest>& aRequests) override
  {
    aReplies = ListToWire(mHandlers.mLocate(ListFromWire(aRequests)));
  }

  void copyNotes(wire::CopyReply& aReply, const wire::PeerRef& aJoiner) override
  {
    aReply = ToWire(mHandlers.mCopyNotes(FromWire(aJoiner)));
  }

  void heartbeat(wire::Heartbeat& aReply, const wire::Heartbeat& aBeat) override
  {
    aReply = ToWire(mHandlers.mBeat(FromWire(aBeat)));
  }

  bool deliver(const wire::DeliverRequest& aRequest) override
  {
    mHandlers.mDeliver(FromWire(aRequest));
    return true;
  }

private:
  const entry_handlers mHandlers;
};

/**
 * Frames the server's connections, and ends them when it stops. The library
 * would have each read poll for the stop as well, a system call for each
 * message.
 */
class connection_factory : public thrift::transport::TTransportFactory
{
public:
  std::shared_ptr<thrift::transport::TTransport> getTransport(
    std::shared_ptr<thrift::transport::TTransport> aTransport) override
  {
    if (const auto socket =
          std::dynamic_pointer_cast<thrift::transport::TSocket>(aTransport)) {
      Add(socket);
    }
    return FramedTransport(std::move(aTransport));
  }

  /** Ends all connections, also those that are accepted later. */
  void EndAll()
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
    for (const auto& weak : mSockets) {
      if (const auto socket = weak.lock()) {
        End(*socket);
      }
    }
  }

private:
  using socket_pointer = std::shared_ptr<thrift::transport::TSocket>;

  void Add(const socket_pointer& aSocket)
  {
    const std::lock_guard lock(mMutex);
    std::erase_if(mSockets, [](const auto& aWeak) { return aWeak.expired(); });
    mSockets.push_back(aSocket);
    if (mIsStopping) {
      End(*aSocket);
    }
  }

  static void End(thrift::transport::TSocket& aSocket)
  {
    shutdown(aSocket.getSocketFD(), SHUT_RDWR);
  }

  std::mutex mMutex;
  std::vector<std::weak_ptr<thrift::transport::TSocket>> mSockets;
  bool mIsStopping = false;
};

/** Tells once whether the server listens. */
class listen_event : public thrift::server::TServerEventHandler
{
public:
  void preServe() override
  {
    mListens = true;
    mOutcome.set_value();
  }

  /** The server has ended by the exception being handled. */
  void Fail()
  {
    if (!mListens) {
      mOutcome.set_exception(std::current_exception());
    }
  }

  /** Waits for the outcome; throws where the server cannot listen. */
  void Wait() { mOutcome.get_future().get(); }

private:
  bool mListens = false; ///< Of the server's thread.
  std::promise<void> mOutcome;
};

core::error
ListenError(const std::string& aAddress, const std::string& aReason)
{
  return { .mStep = "listen", .mPeer = aAddress, .mReason = aReason };
}

} // namespace

struct peer_server::state
{
  std::string mAddress;
  std::shared_ptr<thrift::TProcessor> mProcessor;
  std::shared_ptr<thrift::transport::TServerSocket> mSocket;
  std::shared_ptr<connection_factory> mConnections;
  std::unique_ptr<thrift::server::TThreadedServer> mServer;
  std::thread mThread;
  std::uint16_t mPort = 0;
};

peer_server::peer_server(const std::string& aAddress, agent_handlers aHandlers)
  : mState(std::make_unique<state>())
{
  mState->mAddress = aAddress;
  mState->mProcessor = std::make_shared<wire::AgentServiceProcessor>(
    std::make_shared<agent_adapter>(std::move(aHandlers)));
}

peer_server::peer_server(const std::string& aAddress, entry_handlers aHandlers)
  : mState(std::make_unique<state>())
{
  mState->mAddress = aAddress;
  mState->mProcessor = std::make_shared<wire::EntryServiceProcessor>(
    std::make_shared<entry_adapter>(std::move(aHandlers)));
}

peer_server::~peer_server()
{
  Stop();
}

std::optional<core::error>
peer_server::Start()
{
  QuietThrift();
  const auto parsed = ParseAddress(mState->mAddress);
  if (const auto* const bad = std::get_if<core::error>(&parsed)) {
    return *bad;
  }
  const auto& [ip, port] = std::get<ip_address>(parsed);
  auto socket = std::make_shared<thrift::transport::TServerSocket>(ip, port);
  socket->setRecvTimeout(static_cast<int>(kIdleConnection.count()));
  socket->setSendTimeout(static_cast<int>(kSendTimeout.count()));
  socket->setKeepAlive(true);
  socket->setInterruptableChildren(false);
  auto connections = std::make_shared<connection_factory>();
  auto server = std::make_unique<thrift::server::TThreadedServer>(
    mState->mProcessor,
    socket,
    connections,
    std::make_shared<thrift::protocol::TCompactProtocolFactory>());
  server->setConcurrentClientLimit(kMaxConnections);
  auto event = std::make_shared<listen_event>();
  server->setServerEventHandler(event);
  mState->mThread = std::thread([raw = server.get(), event] {
    try {
      raw->serve();
    } catch (const std::exception&) {
      event->Fail();
    }
  });
  try {
    event->Wait();
  } catch (const std::exception& failure) {
    mState->mThread.join();
    return ListenError(mState->mAddress, failure.what());
  }
  mState->mSocket = std::move(socket);
  mState->mConnections = std::move(connections);
  mState->mServer = std::move(server);
  mState->mPort = static_cast<std::uint16_t>(mState->mSocket->getPort());
  return std::nullopt;
}

void
peer_server::Stop()
{
  if (!mState->mThread.joinable()) {
    return;
  }
  mState->mServer->stop();
  mState->mConnections->EndAll();
  mState->mThread.join();
}

std::uint16_t
peer_server::Port() const
{
  return mState->mPort;
}

} // namespace gooseberry::io
