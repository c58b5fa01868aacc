#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/error.h"
#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/time.h"
#include "libgooseberryio/http_client.h"

#include <cstddef>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** The operator's side of an entry's HTTP interface. */
namespace gooseberry::io {

/** Why an operator's request came to nothing. */
enum class operator_failure : std::uint8_t
{
  Refused,     ///< Not known, or an answer that was not expected.
  Invalid,     ///< The file, or what it says, is wrong.
  Conflict,    ///< Another change came first.
  Unreachable, ///< No entry answered, or none reached the store.
  Unsettled,   ///< Whether the change was accepted cannot be known now.
};
inline constexpr core::enum_names<operator_failure, 5> kOperatorFailureNames{
  { "refused", "invalid", "conflict", "unreachable", "unsettled" }
};

struct operator_problem
{
  operator_failure mFailure = operator_failure::Refused;
  core::error mError;
  core::generation mGeneration = 0; ///< In force, after a conflict.
  std::string mBy;                  ///< Who made it, after a conflict.
};

template<typename Value>
using operator_result = std::variant<Value, operator_problem>;

/** The configuration in force at one entry. */
struct configuration_view
{
  std::string mEntry; ///< Address of the entry that said so.
  core::generation mGeneration = 0;
  std::string mText;
  std::string mRequest; ///< Id of the change that made it; empty: not known.
  std::string mBy;      ///< Who made it; empty: not known.
};

/** A change that was accepted. */
struct accepted_change
{
  core::generation mGeneration = 0;
  std::map<std::string, core::generation> mInForce; ///< By process.
  std::vector<std::string> mWaiting; ///< Processes that have not confirmed.
  bool mIsReadBack = false; ///< The answer was lost and found by reading.
};

/** A change to be made. */
struct proposed_change
{
  std::string mText;
  std::string mRequest; ///< A new id for each change; see `NewRequestId`.
  /** It is refused where another generation is in force. */
  core::generation mExpected = 0;
};

struct operator_client_settings
{
  /** `IP:PORT` of entries; the next is tried when one does not answer. */
  std::vector<std::string> mEntries;
  core::duration mReadDeadline = std::chrono::seconds(3);
  /** An entry waits for the store and for peers before it answers. */
  core::duration mApplyDeadline = std::chrono::seconds(25);
  core::duration mSettlePause = std::chrono::milliseconds(300);
  /** How long a lost answer is looked for, before the last try begins. */
  core::duration mSettleTime = std::chrono::seconds(10);
};

/** Connections to entries. For one thread. */
struct operator_client
{
  operator_client_settings mSettings;
  std::unique_ptr<http_client> mHttp = std::make_unique<http_client>();
};

/** A random UUID. */
std::string
NewRequestId();

/** The answer to a GET from the first entry that gives one. */
operator_result<nlohmann::json>
Get(operator_client& aClient, const std::string& aPath);

/**
 * The configuration from the first entry that has at least this generation;
 * where none has, the newest that was found.
 */
operator_result<configuration_view>
ReadConfiguration(operator_client& aClient, core::generation aAtLeast = 0);

/**
 * Changes the configuration by compare-and-set. A lost answer is settled by
 * reading back and, where nothing has changed yet, by sending the same request
 * again, which cannot take effect twice.
 */
operator_result<accepted_change>
Apply(operator_client& aClient, const proposed_change& aChange);

} // namespace gooseberry::io
