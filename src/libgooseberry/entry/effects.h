#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/membership/members.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * What the entry's decisions ask the process around them to do. Calls to
 * peers may fail; each failure comes back as an input.
 */
namespace gooseberry::entry {

/** Call `start` on an agent; answer with OnStartReply or OnStartFailed. */
struct send_start
{
  std::uint64_t mCall = 0; ///< Names the call in its answer.
  core::peer_ref mAgent;
  std::string mAddress;
  core::start_batch mBatch;
};

/** Call `cancel` on an agent; OnCancelAnswered or OnCancelFailed. */
struct send_cancel
{
  std::string mAddress;
  core::cancel_batch mBatch;
};

/** Call `fence` on an agent; OnFenceReplies or OnFenceFailed. */
struct send_fence
{
  core::peer_ref mAgent;
  std::string mAddress;
  std::vector<core::fence_request> mRequests;
};

/** Call `locate` on an entry; OnLocateReplies or OnLocateFailed. */
struct send_locate
{
  core::peer_ref mEntry;
  std::string mAddress;
  std::vector<core::locate_request> mRequests;
};

/** Call `heartbeat` on an entry; OnHeartbeatReply with the send time. */
struct send_heartbeat
{
  std::string mAddress;
  core::heartbeat mBeat;
};

/** Call `deliver` on an entry; a failure is not reported back. */
struct send_deliver
{
  std::string mAddress;
  core::deliver_request mRequest;
};

/** Call `copyNotes` on an entry; OnPromisesCopied or OnNotesCopyFailed. */
struct copy_promises
{
  std::string mName;
  std::string mAddress;
};

/** Call `apply` on an agent; OnAgentGeneration when it answers. */
struct push_configuration
{
  std::string mAgent;
  std::string mAddress;
  core::versioned_configuration mConfiguration;
};

/** Read the member rows; OnMembers with the send time, or OnMembersFailed. */
struct read_members
{};

/** Write this process's own row; OnMemberWritten when it stands. */
struct write_member
{
  membership::member_row mRow;
};

struct delete_member
{
  membership::member_row mRow;
};

/** Read the configuration row; OnConfigurationRead with the send time. */
struct read_configuration
{};

/** The configuration row as stored. */
struct configuration_row
{
  core::versioned_configuration mConfiguration;
  std::string mRequest;          ///< Id of the change, made by the operator.
  std::string mBy;               ///< Entry that wrote it.
  std::uint64_t mRowVersion = 0; ///< Of the table; 0: no row yet.
};

/** Compare-and-set of that row; OnConfigurationWritten. */
struct write_configuration
{
  configuration_row mRow; ///< `mRowVersion`: the one that must be there.
};

/** Answer a caller who waits. */
struct answer_caller
{
  std::uint64_t mToken = 0;
  core::job_answer mAnswer;
};

/** How an operator's change ended. */
enum class apply_status : std::uint8_t
{
  Applied,
  Conflict,  ///< Another change won.
  Invalid,   ///< The text has an error.
  Unsettled, ///< The store did not answer; the change may stand.
};
inline constexpr core::enum_names<apply_status, 4> kApplyStatusNames{
  { "applied", "conflict", "invalid", "unsettled" }
};

struct apply_result
{
  apply_status mStatus = apply_status::Applied;
  core::generation mGeneration = 0; ///< In force here.
  std::string mBy;
  core::error mError;
  std::vector<std::string> mWaiting; ///< Processes that lack it so far.
};

/** Answer an operator who waits. */
struct answer_operator
{
  std::uint64_t mToken = 0;
  apply_result mResult;
};

struct log_field
{
  std::string mKey;
  std::string mValue;
};

/** One line for the log. */
struct log_line
{
  std::string mEvent;
  std::vector<log_field> mFields;
};

/** All jobs are answered after a request to leave: the process may exit. */
struct drained
{};

using effect = std::variant<send_start,
                            send_cancel,
                            send_fence,
                            send_locate,
                            send_heartbeat,
                            send_deliver,
                            copy_promises,
                            push_configuration,
                            read_members,
                            write_member,
                            delete_member,
                            read_configuration,
                            write_configuration,
                            answer_caller,
                            answer_operator,
                            log_line,
                            drained>;

using effects = std::vector<effect>;

} // namespace gooseberry::entry
