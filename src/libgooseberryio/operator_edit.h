#pragma once

#include "libgooseberry/configuration/change.h"
#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberryio/operator_client.h"

#include <string>
#include <vector>

/** Changes of the desired state through an entry. */
namespace gooseberry::io {

/** A file compared with what is in force. */
struct change_plan
{
  core::generation mGeneration = 0; ///< That it was compared with.
  std::string mText;                ///< The file as it will be sent.
  std::vector<configuration::change> mChanges;
};

/** The state that a view declares; an empty text is the empty state. */
operator_result<configuration::desired_state>
StateOf(const configuration_view& aView);

/** Checks an operator file and compares it with what is in force. */
operator_result<change_plan>
Plan(operator_client& aClient,
     const std::string& aText,
     const std::string& aFileName);

/** What became of taking a failure domain out or in. */
struct domain_change
{
  bool mIsChanged = false; ///< False: it was in that state already.
  accepted_change mAccepted;
};

/**
 * Takes a failure domain out or in: reads the state in force, edits it and
 * applies it by compare-and-set. A rival change of anything else is read and
 * the edit is made again on top of it; one of the same failure domain is a
 * conflict.
 */
operator_result<domain_change>
ChangeDomain(operator_client& aClient,
             const std::string& aDomain,
             configuration::domain_state aState);

} // namespace gooseberry::io
