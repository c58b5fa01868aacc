#pragma once

#include "libgooseberry/core/time.h"

#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <optional>

namespace gooseberry::entry_program {

/** Threads that wait for an answer of the control loop, by token. */
template<typename Answer>
class waiting_callers
{
public:
  struct ticket
  {
    std::uint64_t mToken = 0;
    std::future<Answer> mAnswer;
  };

  ticket Enter()
  {
    const std::lock_guard lock(mMutex);
    const std::uint64_t token = mNextToken++;
    return { token, mWaiting[token].get_future() };
  }

  /** Answers a waiting caller; one that has left gets nothing. */
  void Resolve(std::uint64_t aToken, const Answer& aAnswer)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mWaiting.find(aToken);
    if (found != mWaiting.end()) {
      found->second.set_value(aAnswer);
      mWaiting.erase(found);
    }
  }

  /** The answer, or nothing after `aTimeout`. */
  std::optional<Answer> Wait(ticket& aTicket, core::duration aTimeout)
  {
    if (aTicket.mAnswer.wait_for(aTimeout) == std::future_status::ready) {
      return aTicket.mAnswer.get();
    }
    const std::lock_guard lock(mMutex);
    mWaiting.erase(aTicket.mToken);
    return std::nullopt;
  }

private:
  std::mutex mMutex;
  std::uint64_t mNextToken = 1;
  std::map<std::uint64_t, std::promise<Answer>> mWaiting;
};

} // namespace gooseberry::entry_program
