#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <string>
#include <vector>

/** A made-up estate of targets, and reports on it. */
namespace gooseberry::target::test {

using namespace std::chrono_literals;

inline const core::instant kStart = core::instant{} + 1h;
inline const std::string kService = "proof";

/** Agents `w0`, `w1`, ... with one target of the same name each. */
struct estate
{
  std::vector<core::agent_state> mAgents;
  configuration::desired_state mConfiguration;
};

/** Workers spread over the domains cluj, brasov and iasi in turn. */
inline estate
MakeEstate(std::uint32_t aWorkers, std::uint32_t aSlots)
{
  static const std::vector<std::string> kDomains{ "cluj", "brasov", "iasi" };
  estate made;
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
ObserveAll(target_table& aTable, const estate& aEstate, core::instant aNow)
{
  for (const core::agent_state& agent : aEstate.mAgents) {
    Observe(aTable, agent, aNow);
  }
}

/** A table that knows the whole estate. */
inline target_table
MakeTable(const estate& aEstate, std::uint64_t aSeed = 1)
{
  target_table table;
  table.mSettings.mAffinitySeed = aSeed;
  SetConfiguration(table, aEstate.mConfiguration, kStart);
  ObserveAll(table, aEstate, kStart);
  return table;
}

/** An idempotent task of the estate's service. */
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
SetDomain(estate& aEstate, const std::string& aDomain, bool aIn)
{
  aEstate.mConfiguration.mFailureDomains[aDomain].mState =
    aIn ? configuration::domain_state::In : configuration::domain_state::Out;
}

inline target_view&
ViewOf(target_table& aTable, const std::string& aName)
{
  return aTable.mTargets[*Find(aTable, aName)];
}

} // namespace gooseberry::target::test
