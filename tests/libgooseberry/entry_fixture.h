#pragma once

#include "libgooseberry/entry/entry_control.h"

#include <string>

/** Fixture: an entry whose targets run tasks under leases, with one service. */
namespace gooseberry::entry::test {

using namespace std::chrono_literals;

inline const std::string kService = "plans";

inline entry_options
LeasedOptions()
{
  entry_options options;
  options.mName = "a";
  options.mAddress = "a:1";
  options.mLeasedRuns = true;
  options.mOrder.mPolicy = job::order_policy::Objective;
  return options;
}

/** Returns a configuration with the service on all targets and failure domain
 * `d`. */
inline configuration_row
MakeConfiguration()
{
  return { { 1,
             "[state]\nformat = 1\nname = x\n[failure_domain d]\nregion = r\n"
             "state = in\n[service plans]\ntargets = *\n" },
           "",
           "",
           1 };
}

/** Returns a job with one task of 100 ms, due after 150 ms plus `aAllowance`.
 */
inline job::submission
MakeSubmission(const std::string& aKey, core::duration aAllowance)
{
  job::submission submission;
  submission.mKey = aKey;
  submission.mService = kService;
  submission.mTeam = "q";
  submission.mAttempt = job::kFirstAttempt;
  submission.mDeadline = 5s;
  submission.mObjective = { 150, aAllowance };
  submission.mTasks.assign(1, { "kind", 100ms, "", {} });
  return submission;
}

/** An entry that is open and has its configuration. */
struct leased_entry
{
  core::instant mNow{ 1000s };
  effects mEffects;
  entry_control mControl;

  leased_entry()
    : mControl(MakeEntry(LeasedOptions(), 5, 1, mNow, mEffects))
  {
    OnConfigurationRead(mControl, MakeConfiguration(), mNow, mNow, mEffects);
    mEffects.clear();
  }
};

} // namespace gooseberry::entry::test
