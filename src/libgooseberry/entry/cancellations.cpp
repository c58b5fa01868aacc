#include "libgooseberry/entry/cancellations.h"

namespace gooseberry::entry {

void
Cancel(cancellations& aOpen,
       const std::string& aAgentAddress,
       const std::string& aJob,
       core::instant aNow)
{
  aOpen.mByAgent[aAgentAddress].insert_or_assign(aJob, cancellation{ aNow });
}

std::map<std::string, std::vector<std::string>>
ClaimUnsent(cancellations& aOpen)
{
  std::map<std::string, std::vector<std::string>> unsent;
  for (auto& [address, jobs] : aOpen.mByAgent) {
    for (auto& [job, state] : jobs) {
      if (!state.mIsSending) {
        state.mIsSending = true;
        unsent[address].push_back(job);
      }
    }
  }
  return unsent;
}

void
Confirm(cancellations& aOpen,
        const std::string& aAgentAddress,
        const std::vector<std::string>& aJobs)
{
  const auto found = aOpen.mByAgent.find(aAgentAddress);
  if (found == aOpen.mByAgent.end()) {
    return;
  }
  for (const std::string& job : aJobs) {
    found->second.erase(job);
  }
  if (found->second.empty()) {
    aOpen.mByAgent.erase(found);
  }
}

void
SendAgain(cancellations& aOpen,
          const std::string& aAgentAddress,
          const std::vector<std::string>& aJobs)
{
  const auto found = aOpen.mByAgent.find(aAgentAddress);
  if (found == aOpen.mByAgent.end()) {
    return;
  }
  for (const std::string& job : aJobs) {
    if (const auto state = found->second.find(job);
        state != found->second.end()) {
      state->second.mIsSending = false;
    }
  }
}

void
Expire(cancellations& aOpen, core::instant aNow, core::duration aLongestRun)
{
  for (auto& [address, jobs] : aOpen.mByAgent) {
    std::erase_if(jobs, [&](const auto& aItem) {
      return aItem.second.mRequestedAt + aLongestRun < aNow;
    });
  }
  std::erase_if(aOpen.mByAgent,
                [](const auto& aItem) { return aItem.second.empty(); });
}

std::vector<std::string>
Unconfirmed(const cancellations& aOpen, const std::string& aAgentAddress)
{
  std::vector<std::string> jobs;
  if (const auto found = aOpen.mByAgent.find(aAgentAddress);
      found != aOpen.mByAgent.end()) {
    for (const auto& [job, state] : found->second) {
      jobs.push_back(job);
    }
  }
  return jobs;
}

} // namespace gooseberry::entry
