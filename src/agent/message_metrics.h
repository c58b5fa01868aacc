#pragma once

#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace gooseberry::agentd {

/** Messages about tasks, counted once for each task. */
enum class message_type : std::uint8_t
{
  Start,   ///< Accepted, first copy.
  Finish,  ///< A result sent, each time.
  Refused, ///< A start that was not accepted.
  Repeat,  ///< A copy of a start that was accepted before.
  Fence,
  Cancel,
  Announce,
};
inline constexpr core::enum_names<message_type, 7> kMessageTypeNames{
  { "start", "finish", "refused", "repeat", "fence", "cancel", "announce" }
};

/** `gooseberry_messages_total{type}` and the run times of tasks; may be used
 * from any thread. */
class message_metrics
{
public:
  explicit message_metrics(const std::string& aProcess);
  ~message_metrics();
  message_metrics(const message_metrics&) = delete;
  message_metrics& operator=(const message_metrics&) = delete;

  void Count(message_type aType, std::size_t aCount = 1);
  void ObserveRunTime(core::duration aRunTime);

  /** In the text format of Prometheus. */
  std::string Text() const;

private:
  struct families;
  std::unique_ptr<families> mFamilies;
};

} // namespace gooseberry::agentd
