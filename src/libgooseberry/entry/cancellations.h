#pragma once

#include "libgooseberry/core/time.h"

#include <map>
#include <string>
#include <vector>

/**
 * Jobs that an entry has abandoned while agents may still run some of their
 * tasks. The entry sends each agent a cancel call and repeats it until the
 * agent answers. Until then, every reply to the agent lists these jobs too: a
 * reply without them could arrive on another connection and renew the runs.
 */
namespace gooseberry::entry {

struct cancellation
{
  core::instant mRequestedAt{};
  bool mIsSending = false; ///< A cancel call is in flight.
};

struct cancellations
{
  /** By agent address, then by job key. */
  std::map<std::string, std::map<std::string, cancellation>> mByAgent;
};

/** Records that an agent must stop all tasks of the job. */
void
Cancel(cancellations& aOpen,
       const std::string& aAgentAddress,
       const std::string& aJob,
       core::instant aNow);

/** Returns the jobs to send now, by agent address, and marks them as in
 * flight. */
std::map<std::string, std::vector<std::string>>
ClaimUnsent(cancellations& aOpen);

/** Removes the jobs whose cancellation an agent has confirmed. */
void
Confirm(cancellations& aOpen,
        const std::string& aAgentAddress,
        const std::vector<std::string>& aJobs);

/** Marks jobs to be sent again after their call was not answered. */
void
SendAgain(cancellations& aOpen,
          const std::string& aAgentAddress,
          const std::vector<std::string>& aJobs);

/** Removes cancellations that are older than `aLongestRun`: no run of the job
 * can be left. */
void
Expire(cancellations& aOpen, core::instant aNow, core::duration aLongestRun);

/** Returns the jobs whose cancellation an agent has not confirmed. */
std::vector<std::string>
Unconfirmed(const cancellations& aOpen, const std::string& aAgentAddress);

} // namespace gooseberry::entry
