#pragma once

#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberry/target/health.h"
#include "libgooseberry/target/name_map.h"
#include "libgooseberry/target/position_set.h"
#include "libgooseberry/target/run_time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry::target {

/** Learned data on one kind of task. */
struct kind_view
{
  run_time_mean mRunTime;
  run_time_mean mDeclared; ///< Callers' estimates for the same tasks.
  kind_outcomes mOutcomes;
};

/** One service: its rule, its members and the learned run times. */
struct service_view
{
  std::string mName;
  configuration::service mRule;
  bool mDeclared = false; ///< The configuration has it.
  /** Known targets that the rule allows, in the entry's order of preference. */
  std::vector<target_index> mMembers;
  std::uint32_t mSlots = 0;   ///< Slots of the startable members.
  position_set mStartable;    ///< Members that may get a start.
  position_set mFree;         ///< Startable members with a free slot.
  position_set mSeveralFree;  ///< Startable, with two free slots or more.
  position_set mPrefetchable; ///< Startable, with capacity for a prefetch.
  run_time_mean mRunTime;
  name_map<kind_view> mKinds;
};

} // namespace gooseberry::target
