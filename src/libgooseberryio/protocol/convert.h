#pragma once

#include "libgooseberry/core/message.h"
#include "libgooseberryio/protocol/generated/gooseberry_types.h"

#include <string>
#include <thrift/Thrift.h>
#include <vector>

/**
 * Translation between the messages of the library and those of Thrift.
 * `FromWire` throws `wire_value_error` on a value that the message does not
 * allow; like the decoder's own exceptions, that ends the call.
 */
namespace gooseberry::io {

/** A message from the wire holds a value out of range. */
class wire_value_error : public apache::thrift::TException
{
public:
  explicit wire_value_error(const std::string& aField)
    : apache::thrift::TException("out of range: " + aField)
  {
  }
};

wire::PeerRef
ToWire(const core::peer_ref& aPeer);
wire::Ballot
ToWire(const core::ballot& aBallot);
wire::Resources
ToWire(const core::resources& aResources);
wire::TargetLoad
ToWire(const core::target_load& aLoad);
wire::AgentState
ToWire(const core::agent_state& aState);
wire::VersionedConfiguration
ToWire(const core::versioned_configuration& aConfiguration);
wire::TaskStart
ToWire(const core::task_start& aStart);
wire::StartBatch
ToWire(const core::start_batch& aBatch);
wire::StartReply
ToWire(const core::start_reply& aReply);
wire::TaskResult
ToWire(const core::task_result& aResult);
wire::FinishBatch
ToWire(const core::finish_batch& aBatch);
wire::EntryReply
ToWire(const core::entry_reply& aReply);
wire::CancelBatch
ToWire(const core::cancel_batch& aBatch);
wire::FenceRequest
ToWire(const core::fence_request& aRequest);
wire::StartedTask
ToWire(const core::started_task& aTask);
wire::FenceReply
ToWire(const core::fence_reply& aReply);
wire::FenceNote
ToWire(const core::ballot_promise& aPromise);
wire::CopyReply
ToWire(const core::copy_fences_reply& aReply);
wire::CopyReply
ToWire(const core::copy_promises_reply& aReply);
wire::LocateRequest
ToWire(const core::locate_request& aRequest);
wire::LocateReply
ToWire(const core::locate_reply& aReply);
wire::Heartbeat
ToWire(const core::heartbeat& aBeat);
wire::JobAnswer
ToWire(const core::job_answer& aAnswer);
wire::DeliverRequest
ToWire(const core::deliver_request& aRequest);

core::generation
GenerationFromWire(std::int64_t aGeneration);
core::peer_ref
FromWire(const wire::PeerRef& aPeer);
core::ballot
FromWire(const wire::Ballot& aBallot);
core::resources
FromWire(const wire::Resources& aResources);
core::target_load
FromWire(const wire::TargetLoad& aLoad);
core::agent_state
FromWire(const wire::AgentState& aState);
core::versioned_configuration
FromWire(const wire::VersionedConfiguration& aConfiguration);
core::task_start
FromWire(const wire::TaskStart& aStart);
core::start_batch
FromWire(const wire::StartBatch& aBatch);
core::start_reply
FromWire(const wire::StartReply& aReply);
core::task_result
FromWire(const wire::TaskResult& aResult);
core::finish_batch
FromWire(const wire::FinishBatch& aBatch);
core::entry_reply
FromWire(const wire::EntryReply& aReply);
core::cancel_batch
FromWire(const wire::CancelBatch& aBatch);
core::fence_request
FromWire(const wire::FenceRequest& aRequest);
core::started_task
FromWire(const wire::StartedTask& aTask);
core::fence_reply
FromWire(const wire::FenceReply& aReply);
core::ballot_promise
FromWire(const wire::FenceNote& aPromise);
core::copy_fences_reply
CopyFencesFromWire(const wire::CopyReply& aReply);
core::copy_promises_reply
CopyNotesFromWire(const wire::CopyReply& aReply);
core::locate_request
FromWire(const wire::LocateRequest& aRequest);
core::locate_reply
FromWire(const wire::LocateReply& aReply);
core::heartbeat
FromWire(const wire::Heartbeat& aBeat);
core::job_answer
FromWire(const wire::JobAnswer& aAnswer);
core::deliver_request
FromWire(const wire::DeliverRequest& aRequest);

/** Translates each element of a list. */
template<typename Message>
auto
ListToWire(const std::vector<Message>& aMessages)
{
  std::vector<decltype(ToWire(aMessages.front()))> list;
  list.reserve(aMessages.size());
  for (const auto& message : aMessages) {
    list.push_back(ToWire(message));
  }
  return list;
}

template<typename Message>
auto
ListFromWire(const std::vector<Message>& aMessages)
{
  std::vector<decltype(FromWire(aMessages.front()))> list;
  list.reserve(aMessages.size());
  for (const auto& message : aMessages) {
    list.push_back(FromWire(message));
  }
  return list;
}

} // namespace gooseberry::io
