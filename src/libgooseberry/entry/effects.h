#pragma once

#include "libgooseberry/configuration/adoption.h"
#include "libgooseberry/core/error.h"
#include "libgooseberry/core/message.h"
#include "libgooseberry/membership/members.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * Actions that the entry's decisions request from the surrounding process.
 * Each call names the inputs that report its result.
 */
namespace gooseberry::entry {

/** Call `start` on an agent; reports to OnStartReply or OnStartFailed. */
struct send_start
{
  std::uint64_t mCall = 0; ///< Identifies the call in its result.
  core::peer_ref mAgent;
  std::string mAddress;
  core::start_batch mBatch;
};

/** Call `cancel` on an agent; reports to OnCancelAnswered or
 * OnCancelFailed. */
struct send_cancel
{
  std::string mAddress;
  core::cancel_batch mBatch;
};

/** Call `fence` on an agent; reports to OnFenceReplies or OnFenceFailed. */
struct send_fence
{
  core::peer_ref mAgent;
  std::string mAddress;
  std::vector<core::fence_request> mRequests;
};

/** Call `locate` on an entry; reports to OnLocateReplies or
 * OnLocateFailed. */
struct send_locate
{
  core::peer_ref mEntry;
  std::string mAddress;
  std::vector<core::locate_request> mRequests;
};

/** Call `heartbeat` on an entry; reports to OnHeartbeatReply with the send
 * time; a failure is not reported. */
struct send_heartbeat
{
  std::string mAddress;
  core::heartbeat mBeat;
};

/** Call `deliver` on an entry; a failure is not reported. */
struct send_deliver
{
  std::string mAddress;
  core::deliver_request mRequest;
};

/** Call `copyNotes` on an entry; reports to OnPromisesCopied; a failure is
 * not reported. */
struct copy_promises
{
  std::string mName;
  std::string mAddress;
};

/** Call `apply` on an agent; reports to OnAgentGeneration; a failure is not
 * reported. */
struct push_configuration
{
  std::string mAgent;
  std::string mAddress;
  core::versioned_configuration mConfiguration;
};

/** Read the member rows; reports to OnMembers with the send time, or to
 * OnMembersFailed. */
struct read_members
{};

/** Write this process's own row; reports to OnMemberWritten. */
struct write_member
{
  membership::member_row mRow;
};

struct delete_member
{
  membership::member_row mRow;
};

/** Read the configuration row; reports to OnConfigurationRead with the send
 * time. */
struct read_configuration
{};

/** The configuration row as stored. */
struct configuration_row
{
  core::versioned_configuration mConfiguration;
  std::string mRequest;          ///< Id of the change, set by the operator.
  std::string mBy;               ///< Name of the entry that wrote it.
  std::uint64_t mRowVersion = 0; ///< Set by the store; 0: no row yet.
  configuration::numbering mNumbering = configuration::numbering::Stored;
};

/** Compare-and-set the configuration row; reports to
 * OnConfigurationWritten. */
struct write_configuration
{
  configuration_row mRow; ///< `mRowVersion`: the expected version.
};

/** Answer a waiting caller. */
struct answer_caller
{
  std::uint64_t mToken = 0;
  core::job_answer mAnswer;
};

/** Result of an operator's change. */
enum class apply_status : std::uint8_t
{
  Applied,
  Conflict,  ///< Another change was written first.
  Invalid,   ///< The text cannot be parsed.
  Unsettled, ///< In doubt: the change may have been written.
};
inline constexpr core::enum_names<apply_status, 4> kApplyStatusNames{
  { "applied", "conflict", "invalid", "unsettled" }
};

struct apply_result
{
  apply_status mStatus = apply_status::Applied;
  core::generation mGeneration = 0; ///< In force at this entry.
  std::string mBy;
  core::error mError;
  std::vector<std::string> mWaiting; ///< Processes that do not have it yet.
};

/** Answer a waiting operator. */
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

/** All jobs are answered after a request to leave; the process may exit. */
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
