#pragma once

#include "libgooseberry/lease/call.h"

#include <functional>
#include <memory>

namespace gooseberry::agentd {

class control_thread;

/** Calls targets that run tasks under leases; see `lease/call.h`. */
class target_link
{
public:
  virtual ~target_link() = default;

  /** Makes the call without blocking; what came of it goes to control. */
  virtual void Post(lease::call aCall) = 0;

  /** Ends calls that are under way, and all threads. */
  virtual void Stop() = 0;
};

/** Makes an agent's link, which reports to its control thread. */
using link_factory =
  std::function<std::unique_ptr<target_link>(control_thread&)>;

} // namespace gooseberry::agentd
