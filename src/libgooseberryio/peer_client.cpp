#include "libgooseberryio/peer_client.h"

#include "libgooseberryio/peer_connection.h"
#include "libgooseberryio/protocol/convert.h"
#include "libgooseberryio/protocol/generated/AgentService.h"
#include "libgooseberryio/protocol/generated/EntryService.h"

namespace gooseberry::io {

using agent_stub = wire::AgentServiceClient;
using entry_stub = wire::EntryServiceClient;

struct agent_client::connection : peer_connection<agent_stub>
{
  using peer_connection::peer_connection;
};

struct entry_client::connection : peer_connection<entry_stub>
{
  using peer_connection::peer_connection;
};

agent_client::agent_client(const std::string& aAddress,
                           core::duration aDeadline)
  : mConnection(std::make_unique<connection>(aAddress, aDeadline))
{
}

agent_client::~agent_client() = default;

const std::string&
agent_client::Address() const
{
  return mConnection->Address();
}

call_result<core::start_reply>
agent_client::Start(const core::start_batch& aBatch)
{
  return mConnection->Run("start", [&](agent_stub& aStub) {
    wire::StartReply reply;
    aStub.start(reply, ToWire(aBatch));
    if (reply.verdicts.size() != aBatch.mStarts.size()) {
      throw wire_value_error("number of verdicts");
    }
    return FromWire(reply);
  });
}

call_result<acknowledgement>
agent_client::Cancel(const core::cancel_batch& aBatch)
{
  return mConnection->Run("cancel", [&](agent_stub& aStub) {
    aStub.cancel(ToWire(aBatch));
    return acknowledgement{};
  });
}

call_result<std::vector<core::fence_reply>>
agent_client::Fence(const std::vector<core::fence_request>& aRequests)
{
  return mConnection->Run("fence", [&](agent_stub& aStub) {
    std::vector<wire::FenceReply> replies;
    aStub.fence(replies, ListToWire(aRequests));
    return ListFromWire(replies);
  });
}

call_result<core::copy_fences_reply>
agent_client::CopyFences(const core::peer_ref& aJoiner)
{
  return mConnection->Run("copy fences", [&](agent_stub& aStub) {
    wire::CopyReply reply;
    aStub.copyFences(reply, ToWire(aJoiner));
    return CopyFencesFromWire(reply);
  });
}

call_result<core::generation>
agent_client::Apply(const core::versioned_configuration& aConfiguration)
{
  return mConnection->Run("apply", [&](agent_stub& aStub) {
    return GenerationFromWire(aStub.apply(ToWire(aConfiguration)));
  });
}

entry_client::entry_client(const std::string& aAddress,
                           core::duration aDeadline)
  : mConnection(std::make_unique<connection>(aAddress, aDeadline))
{
}

entry_client::~entry_client() = default;

const std::string&
entry_client::Address() const
{
  return mConnection->Address();
}

call_result<core::entry_reply>
entry_client::Announce(const core::agent_state& aState)
{
  return mConnection->Run("announce", [&](entry_stub& aStub) {
    wire::EntryReply reply;
    aStub.announce(reply, ToWire(aState));
    return FromWire(reply);
  });
}

call_result<core::entry_reply>
entry_client::Finish(const core::finish_batch& aBatch)
{
  return mConnection->Run("finish", [&](entry_stub& aStub) {
    wire::EntryReply reply;
    aStub.finish(reply, ToWire(aBatch));
    return FromWire(reply);
  });
}

call_result<std::vector<core::locate_reply>>
entry_client::Locate(const std::vector<core::locate_request>& aRequests)
{
  return mConnection->Run("locate", [&](entry_stub& aStub) {
    std::vector<wire::LocateReply> replies;
    aStub.locate(replies, ListToWire(aRequests));
    return ListFromWire(replies);
  });
}

call_result<core::copy_promises_reply>
entry_client::CopyNotes(const core::peer_ref& aJoiner)
{
  return mConnection->Run("copy notes", [&](entry_stub& aStub) {
    wire::CopyReply reply;
    aStub.copyNotes(reply, ToWire(aJoiner));
    return CopyNotesFromWire(reply);
  });
}

call_result<core::heartbeat>
entry_client::Beat(const core::heartbeat& aBeat)
{
  return mConnection->Run("heartbeat", [&](entry_stub& aStub) {
    wire::Heartbeat reply;
    aStub.heartbeat(reply, ToWire(aBeat));
    return FromWire(reply);
  });
}

call_result<acknowledgement>
entry_client::Deliver(const core::deliver_request& aRequest)
{
  return mConnection->Run("deliver", [&](entry_stub& aStub) {
    aStub.deliver(ToWire(aRequest));
    return acknowledgement{};
  });
}

} // namespace gooseberry::io
