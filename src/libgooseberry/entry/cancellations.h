#pragma once

#include "libgooseberry/core/time.h"

#include <map>
#include <string>
#include <vector>

/**
 * Jobs that an entry has given up while agents may run some of their tasks. A
 * call tells each agent, and is repeated until answered. Until then, all else
 * that is said to the agent says so too: on another connection, it would prove
 * that the entry wants what runs there.
 */
namespace gooseberry::entry {

struct cancellation
{
  core::instant mRequestedAt{};
  bool mIsSending = false; ///< A call that says so is under way.
};

struct cancellations
{
  /** By address of the agent, and by job. */
  std::map<std::string, std::map<std::string, cancellation>> mByAgent;
};

/** An agent is to stop what it runs of the job. */
void
Cancel(cancellations& aOpen,
       const std::string& aAgentAddress,
       const std::string& aJob,
       core::instant aNow);

/** The jobs that a call is to name now, by address; they count as sending. */
std::map<std::string, std::vector<std::string>>
ClaimUnsent(cancellations& aOpen);

/** An agent has confirmed these. */
void
Confirm(cancellations& aOpen,
        const std::string& aAgentAddress,
        const std::vector<std::string>& aJobs);

/** The call that named these was not answered. */
void
SendAgain(cancellations& aOpen,
          const std::string& aAgentAddress,
          const std::vector<std::string>& aJobs);

/** Forgets those that are older than any run that they can be about. */
void
Expire(cancellations& aOpen, core::instant aNow, core::duration aLongestRun);

/** All that an agent has not confirmed. */
std::vector<std::string>
Unconfirmed(const cancellations& aOpen, const std::string& aAgentAddress);

} // namespace gooseberry::entry
