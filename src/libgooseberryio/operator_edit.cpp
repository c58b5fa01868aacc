#include "libgooseberryio/operator_edit.h"

#include "libgooseberry/configuration/command.h"

#include <optional>
#include <utility>

namespace gooseberry::io {

namespace {

using configuration::desired_state;
using configuration::failure_domain;

/** Rival changes after which an edit gives up. */
constexpr int kMaxEdits = 10;

operator_problem
Invalid(core::error aError)
{
  return { operator_failure::Invalid, std::move(aError), 0, "" };
}

std::optional<failure_domain>
DomainOf(const desired_state& aState, const std::string& aDomain)
{
  const auto found = aState.mFailureDomains.find(aDomain);
  if (found == aState.mFailureDomains.end()) {
    return std::nullopt;
  }
  return found->second;
}

/** The state in force with its generation. */
struct known_state
{
  core::generation mGeneration = 0;
  desired_state mState;
};

operator_result<known_state>
ReadState(operator_client& aClient, core::generation aAtLeast)
{
  auto read = ReadConfiguration(aClient, aAtLeast);
  if (auto* problem = std::get_if<operator_problem>(&read)) {
    return std::move(*problem);
  }
  const auto& view = std::get<configuration_view>(read);
  auto state = StateOf(view);
  if (auto* problem = std::get_if<operator_problem>(&state)) {
    return std::move(*problem);
  }
  return known_state{ view.mGeneration,
                      std::get<desired_state>(std::move(state)) };
}

/** Makes the edit once on top of a known state. */
operator_result<domain_change>
EditOnce(operator_client& aClient,
         const known_state& aKnown,
         const std::string& aDomain,
         configuration::domain_state aState)
{
  auto state = aKnown.mState;
  const auto done = configuration::SetDomainState(state, aDomain, aState);
  if (const auto* problem = std::get_if<core::error>(&done)) {
    return Invalid(*problem);
  }
  if (state == aKnown.mState) {
    return domain_change{ false, { aKnown.mGeneration, {}, {}, false } };
  }
  auto applied =
    Apply(aClient,
          { configuration::Format(state), NewRequestId(), aKnown.mGeneration });
  if (auto* problem = std::get_if<operator_problem>(&applied)) {
    return std::move(*problem);
  }
  return domain_change{ true, std::get<accepted_change>(std::move(applied)) };
}

} // namespace

operator_result<desired_state>
StateOf(const configuration_view& aView)
{
  if (aView.mText.empty()) {
    return desired_state();
  }
  auto parsed = configuration::Parse(aView.mText, "in-force");
  if (auto* problem = std::get_if<core::error>(&parsed)) {
    problem->mPeer = aView.mEntry;
    return Invalid(std::move(*problem));
  }
  return std::get<desired_state>(std::move(parsed));
}

operator_result<change_plan>
Plan(operator_client& aClient,
     const std::string& aText,
     const std::string& aFileName)
{
  const auto parsed = configuration::Parse(aText, aFileName);
  if (const auto* problem = std::get_if<core::error>(&parsed)) {
    return Invalid(*problem);
  }
  auto read = ReadState(aClient, 0);
  if (auto* problem = std::get_if<operator_problem>(&read)) {
    return std::move(*problem);
  }
  const auto& known = std::get<known_state>(read);
  return change_plan{ known.mGeneration,
                      aText,
                      configuration::Compare(known.mState,
                                             std::get<desired_state>(parsed)) };
}

operator_result<domain_change>
ChangeDomain(operator_client& aClient,
             const std::string& aDomain,
             configuration::domain_state aState)
{
  auto read = ReadState(aClient, 0);
  for (int edits = 1;; ++edits) {
    if (auto* problem = std::get_if<operator_problem>(&read)) {
      return std::move(*problem);
    }
    const auto base = std::get<known_state>(std::move(read));
    auto done = EditOnce(aClient, base, aDomain, aState);
    const auto* problem = std::get_if<operator_problem>(&done);
    if (problem == nullptr || problem->mFailure != operator_failure::Conflict ||
        edits == kMaxEdits) {
      return done;
    }
    read = ReadState(aClient, base.mGeneration + 1);
    if (const auto* newer = std::get_if<known_state>(&read);
        newer != nullptr &&
        DomainOf(newer->mState, aDomain) != DomainOf(base.mState, aDomain)) {
      return done;
    }
  }
}

} // namespace gooseberry::io
