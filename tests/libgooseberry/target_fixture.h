#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <string>
#include <vector>

/** A synthetic cluster of targets and the load reports of its agents. */
namespace gooseberry::target::test {

using namespace std::chrono_literals;

inline const core::instant kStart = core::instant{} + 1h;
inline const std::string kService = "proof";

/** Agents `w0`, `w1`, ... with one target of the same name each. */
struct cluster
{
  std::vector<core::agent_state> mAgents;
  configuration::desired_state mConfiguration;
};

/** Makes workers distributed round-robin over the failure domains cluj, brasov
 * and iasi. */
inline cluster
MakeCluster(std::uint32_t aWorkers, std::uint32_t aSlots)
{
  static const std::vector<std::string> kDomains{ "cluj", "brasov", "iasi" };
  cluster made;
  for (const std::string& domain : kDomains) {
    made.mConfiguration.mFailureDomains[domain] = {};
  }
  made.mConfiguration.mServices[kService].mTargets = { "*" };
  for (std::uint32_t i = 0; i < aWorkers; ++i) {
    core::agent_state agent;
    agent.mAgent = { "w" + std::to_string(i), i + 1 };
    agent.mFailureDomain = kDomains[i % kDomains.size()];
    agent.mRack = "r" + std::to_string(i / 4);
    agent.mOpen = true;
    core::target_load load;
    load.mName = agent.mAgent.mName;
    load.mServices = { kService };
    load.mSlots = aSlots;
    agent.mTargets = { load };
    made.mAgents.push_back(agent);
  }
  return made;
}

inline void
ObserveAll(target_table& aTable, const cluster& aCluster, core::instant aNow)
{
  for (const core::agent_state& agent : aCluster.mAgents) {
    Observe(aTable, agent, aNow);
  }
}

/** Makes a table that has a report on every target of the cluster. */
inline target_table
MakeTable(const cluster& aCluster, std::uint64_t aSeed = 1)
{
  target_table table;
  table.mSettings.mAffinitySeed = aSeed;
  SetConfiguration(table, aCluster.mConfiguration, kStart);
  ObserveAll(table, aCluster, kStart);
  return table;
}

/** Makes a request for an idempotent task of the cluster's service. */
inline placement_request
MakeRequest()
{
  placement_request request;
  request.mService = kService;
  request.mKind = "cut";
  request.mIdempotent = true;
  return request;
}

inline void
SetDomain(cluster& aCluster, const std::string& aDomain, bool aIn)
{
  aCluster.mConfiguration.mFailureDomains[aDomain].mState =
    aIn ? configuration::domain_state::In : configuration::domain_state::Out;
}

inline target_view&
ViewOf(target_table& aTable, const std::string& aName)
{
  return aTable.mTargets[*Find(aTable, aName)];
}

} // namespace gooseberry::target::test
