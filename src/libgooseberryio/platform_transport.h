#pragma once

#include "libgooseberryio/http_client.h"
#include "libgooseberryio/platform_client.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace gooseberry::io {

inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kStatusConflict = 409;

/** Whether an answer with this status says that the request was done. */
bool
IsDone(unsigned aStatus);

/** Whether the platform may answer otherwise when asked again. */
bool
IsTransient(unsigned aStatus);

/** A random number from a generator of the calling thread. */
std::uint64_t
RandomNumber();

/** The time that one operation may take, and the pauses within it. */
class retry_budget
{
public:
  explicit retry_budget(const platform_settings& aSettings);

  /** What is left of it; may be negative. */
  core::duration Left() const;

  /** A random part of a time that doubles, up to the longest pause. */
  core::duration NextPause();

private:
  const core::instant mEnd;
  const core::duration mMaxPause;
  core::duration mPause;
};

/** Requests to the platform over kept connections, for any thread. */
class platform_transport
{
public:
  explicit platform_transport(const platform_settings& aSettings);

  /** One request, within the budget's rest. */
  call_result<http_reply> Send(http_call aCall, const retry_budget& aBudget);

  /**
   * Repeats an idempotent request until there is an answer that another
   * sending would not change.
   */
  core::result<http_reply> Repeat(const http_call& aCall,
                                  retry_budget& aBudget);

  /** Waits before a retry; false where there is to be none. */
  bool Pause(retry_budget& aBudget);

  /** Ends all pauses, now and later. */
  void Stop();

  const platform_settings& Settings() const { return mSettings; }

private:
  std::unique_ptr<http_client> TakeClient();

  const platform_settings mSettings;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mStopping = false;
  std::vector<std::unique_ptr<http_client>> mIdleClients;
};

} // namespace gooseberry::io
