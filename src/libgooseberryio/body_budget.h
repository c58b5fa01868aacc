#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/**
 * Bounds on requests in arrival, against callers that send many large, slow or
 * endless bodies. Decisions only: no sockets, no clock.
 */
namespace gooseberry::io {

/** Why a request was dropped before it was whole. */
enum class drop_reason : std::uint8_t
{
  BodyTooLarge,   ///< Announced as, or grown, larger than one body may be.
  BuffersFull,    ///< No room beside the other unfinished bodies.
  BodyTimeout,    ///< Not whole in time.
  ConnectionsFull ///< Closed so that another caller can connect.
};
inline constexpr core::enum_names<drop_reason, 4> kDropReasonNames{
  { "body_too_large", "buffers_full", "body_timeout", "connections_full" }
};
using drop_counts = std::array<std::uint64_t, 4>;

/**
 * Bytes of bodies that are in arrival or not yet read by their handler, over
 * all servers that share it. For any thread.
 */
class body_budget
{
public:
  /** A body up to this size may use all of the budget; a larger one leaves a
   * quarter, so that large bodies do not shut small ones out. */
  static constexpr std::size_t kSmallBody = 16'384; // bytes

  /** A single body of `aMaxBody` bytes has room in an empty budget. */
  body_budget(std::size_t aMaxBytes, std::size_t aMaxBody);

  /** Reserves bytes for a body that has `aHeld` already; false: no room. */
  [[nodiscard]] bool Reserve(std::size_t aHeld, std::size_t aMore);
  void Release(std::size_t aBytes);
  /** Whether a new body of this size would have room now. */
  bool HasRoom(std::size_t aBytes) const;
  std::size_t Used() const { return mUsed; }

  void CountDrop(drop_reason aReason);
  drop_counts Drops() const;
  /** Totals, where they have changed since the last call: for a log line. */
  std::optional<drop_counts> TakeUnloggedDrops();

private:
  std::size_t LimitOf(std::size_t aBodyBytes) const;

  const std::size_t mMaxBytes;
  const std::size_t mMaxOfLarge;
  std::atomic<std::size_t> mUsed = 0;
  mutable std::mutex mMutex; ///< Of the counts.
  drop_counts mDrops{};
  drop_counts mLogged{};
};

/** A body in arrival, with what it reserves of a budget. */
class arriving_body
{
public:
  arriving_body(body_budget& aBudget, std::size_t aMaxBody);
  ~arriving_body();
  arriving_body(const arriving_body&) = delete;
  arriving_body& operator=(const arriving_body&) = delete;

  /**
   * The length as announced; nothing for a chunked body. A reason not to read
   * the body at all, or nothing. Reserves nothing yet: a caller that
   * announces much and sends little takes no room from others.
   */
  std::optional<drop_reason> Announce(std::optional<std::uint64_t> aLength);

  /** Adds bytes; stores none of them where it returns a reason. */
  std::optional<drop_reason> Append(std::string_view aBytes);

  /** Moves the text out; its bytes stay reserved until `Release`. */
  std::string TakeText() { return std::move(mText); }
  /** The text has been freed. */
  void Release();

private:
  std::optional<drop_reason> Grow(std::size_t aBytes);

  body_budget& mBudget;
  std::size_t mMaxBytes; ///< Of this body.
  std::size_t mReserved = 0;
  std::string mText;
};

/** What a connection is doing. */
enum class connection_phase : std::uint8_t
{
  New,      ///< Has sent no whole request line yet.
  Arriving, ///< A request has begun and is not whole.
  Handled,  ///< A whole request is being answered.
  Kept      ///< Answered; waits for the next request.
};

struct open_connection
{
  connection_phase mPhase = connection_phase::New;
  core::instant mSince{}; ///< When the phase began.
  bool mIsClosing = false;
};

/** Open connections by their sockets. */
using open_connections = std::unordered_map<int, open_connection>;

struct arrival_limits
{
  core::duration mIdleTimeout{}; ///< To the next request.
  core::duration mBodyTimeout{}; ///< From its beginning to its end.
  std::size_t mMaxConnections = 0;
};

/** Whether a connection has waited too long for the rest of a request. */
bool
IsLate(const open_connection& aConnection,
       const arrival_limits& aLimits,
       core::instant aNow);

/** Whether so many are open that one is to be closed for the next caller. */
bool
IsShort(const open_connections& aOpen, const arrival_limits& aLimits);

/**
 * The connection to close first: the one whose request began first, else the
 * oldest that never sent one. Connections that are answered or kept, or that
 * are younger than `kUnfinishedGrace`, are not chosen.
 */
std::optional<int>
ChooseUnfinished(const open_connections& aOpen, core::instant aNow);

/** The kept connection that has waited longest for its next request, at least
 * for `kUnfinishedGrace`. */
std::optional<int>
ChooseIdle(const open_connections& aOpen, core::instant aNow);

/** A request within today's limits arrives within it also at a busy entry. */
inline constexpr core::duration kUnfinishedGrace =
  std::chrono::milliseconds(500);

} // namespace gooseberry::io
