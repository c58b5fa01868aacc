#include "libgooseberryio/operator_commands.h"

#include "libgooseberryio/address.h"
#include "libgooseberryio/operator_output.h"
#include "libgooseberryio/program.h"

#include <algorithm>
#include <array>

namespace gooseberry::io {

namespace {

using configuration::domain_state;

/** What a command works with. */
struct command_context
{
  const operator_command& mCommand;
  operator_client& mClient;
  operator_output mOutput;
};

struct command_rule
{
  std::string_view mName;
  std::string_view mArgument; ///< Its name in the help; empty: none.
  bool mNeedsEntry;
  operator_exit (*mRun)(command_context& aContext);
  std::string_view mHelp;
};

operator_exit
ExitOf(operator_failure aFailure)
{
  switch (aFailure) {
    case operator_failure::Refused:
      return operator_exit::Refused;
    case operator_failure::Invalid:
      return operator_exit::Invalid;
    case operator_failure::Conflict:
      return operator_exit::Conflict;
    case operator_failure::Unreachable:
      return operator_exit::Unreachable;
    case operator_failure::Unsettled:
      return operator_exit::Unsettled;
  }
  return operator_exit::Refused;
}

operator_exit
Fail(const command_context& aContext, const operator_problem& aProblem)
{
  Print(aContext.mOutput, aProblem);
  return ExitOf(aProblem.mFailure);
}

operator_exit
Fail(const command_context& aContext, const core::error& aError)
{
  return Fail(aContext,
              operator_problem{ operator_failure::Invalid, aError, 0, "" });
}

/** Prints the value, or the problem that took its place. */
template<typename Value>
operator_exit
Answer(const command_context& aContext, const operator_result<Value>& aResult)
{
  if (const auto* problem = std::get_if<operator_problem>(&aResult)) {
    return Fail(aContext, *problem);
  }
  Print(aContext.mOutput, std::get<Value>(aResult));
  return operator_exit::Ok;
}

operator_exit
Validate(command_context& aContext)
{
  const auto& name = aContext.mCommand.mArgument;
  const auto text = ReadTextFile(name);
  if (const auto* problem = std::get_if<core::error>(&text)) {
    return Fail(aContext, *problem);
  }
  const auto parsed = configuration::Parse(std::get<std::string>(text), name);
  if (const auto* problem = std::get_if<core::error>(&parsed)) {
    return Fail(aContext, *problem);
  }
  if (aContext.mOutput.mIsJson) {
    PrintAnswer(aContext.mOutput, { { "file", name }, { "valid", true } });
  } else {
    aContext.mOutput.mOut << name << ": valid\n";
  }
  return operator_exit::Ok;
}

operator_result<change_plan>
PlanFile(command_context& aContext)
{
  const auto& name = aContext.mCommand.mArgument;
  const auto text = ReadTextFile(name);
  if (const auto* problem = std::get_if<core::error>(&text)) {
    return operator_problem{ operator_failure::Invalid, *problem, 0, "" };
  }
  return Plan(aContext.mClient, std::get<std::string>(text), name);
}

operator_exit
ShowPlan(command_context& aContext)
{
  return Answer(aContext, PlanFile(aContext));
}

operator_exit
ApplyFile(command_context& aContext)
{
  const auto planned = PlanFile(aContext);
  if (const auto* problem = std::get_if<operator_problem>(&planned)) {
    return Fail(aContext, *problem);
  }
  const auto& plan = std::get<change_plan>(planned);
  const auto expected = aContext.mCommand.mExpected.value_or(plan.mGeneration);
  if (!aContext.mOutput.mIsJson) {
    Print(aContext.mOutput, plan);
  }
  return Answer(
    aContext,
    Apply(aContext.mClient, { plan.mText, NewRequestId(), expected }));
}

operator_exit
Show(command_context& aContext)
{
  return Answer(aContext, ReadConfiguration(aContext.mClient));
}

operator_exit
ShowStatus(command_context& aContext)
{
  const auto status = Get(aContext.mClient, "/v1/status");
  if (const auto* problem = std::get_if<operator_problem>(&status)) {
    return Fail(aContext, *problem);
  }
  PrintStatus(aContext.mOutput, std::get<nlohmann::json>(status));
  return operator_exit::Ok;
}

operator_exit
SetDomain(command_context& aContext, domain_state aState)
{
  const auto& domain = aContext.mCommand.mArgument;
  const auto changed = ChangeDomain(aContext.mClient, domain, aState);
  if (const auto* problem = std::get_if<operator_problem>(&changed)) {
    return Fail(aContext, *problem);
  }
  const auto& change = std::get<domain_change>(changed);
  if (!change.mIsChanged && !aContext.mOutput.mIsJson) {
    aContext.mOutput.mOut << domain << " is "
                          << configuration::kDomainStateNames.NameOf(aState)
                          << " already, generation "
                          << change.mAccepted.mGeneration << '\n';
    return operator_exit::Ok;
  }
  Print(aContext.mOutput, change.mAccepted);
  return operator_exit::Ok;
}

operator_exit
TakeOut(command_context& aContext)
{
  return SetDomain(aContext, domain_state::Out);
}

operator_exit
TakeIn(command_context& aContext)
{
  return SetDomain(aContext, domain_state::In);
}

operator_exit
ShowAnswer(command_context& aContext, const std::string& aPath)
{
  const auto answer = Get(aContext.mClient, aPath);
  if (const auto* problem = std::get_if<operator_problem>(&answer)) {
    return Fail(aContext, *problem);
  }
  PrintAnswer(aContext.mOutput, std::get<nlohmann::json>(answer));
  return operator_exit::Ok;
}

operator_exit
ShowJobs(command_context& aContext)
{
  return ShowAnswer(aContext, "/v1/jobs");
}

operator_exit
Explain(command_context& aContext)
{
  return ShowAnswer(aContext,
                    "/v1/jobs/" + EscapeUrl(aContext.mCommand.mArgument) +
                      "?explain=1");
}

constexpr std::array<command_rule, 9> kCommands{ {
  { "validate", "FILE", false, Validate, "checks an operator file" },
  { "plan", "FILE", true, ShowPlan, "compares a file with what is in force" },
  { "apply", "FILE", true, ApplyFile, "puts a file in force as a whole" },
  { "show", "", true, Show, "prints the file in force" },
  { "status", "", true, ShowStatus, "prints the generation of each process" },
  { "out", "DOMAIN", true, TakeOut, "takes a failure domain out of service" },
  { "in", "DOMAIN", true, TakeIn, "takes a failure domain back in" },
  { "jobs", "", true, ShowJobs, "lists the jobs of an entry" },
  { "explain", "JOB", true, Explain, "prints the decisions on a job" },
} };

/** What is wrong with the command line; empty where nothing is. */
std::string
FindUsageError(const operator_command& aCommand, const command_rule* aRule)
{
  if (aRule == nullptr) {
    return "expected a command, see --help; got \"" + aCommand.mName + "\"";
  }
  const std::string name(aRule->mName);
  if (aCommand.mArgument.empty() != aRule->mArgument.empty()) {
    return aRule->mArgument.empty()
             ? name + ": expected no argument"
             : name + ": expected " + std::string(aRule->mArgument);
  }
  if (aRule->mNeedsEntry && aCommand.mEntries.empty()) {
    return name + ": expected --entry IP:PORT";
  }
  for (const auto& entry : aCommand.mEntries) {
    if (!std::holds_alternative<ip_address>(ParseAddress(entry))) {
      return "--entry: expected IP:PORT, got \"" + entry + "\"";
    }
  }
  if (aCommand.mExpected && name != "apply") {
    return name + ": expected no --expect-generation";
  }
  return {};
}

} // namespace

operator_exit
RunOperatorCommand(const operator_command& aCommand,
                   const operator_client_settings& aSettings,
                   std::ostream& aOut,
                   std::ostream& aError)
{
  const auto rule = std::find_if(
    kCommands.begin(), kCommands.end(), [&](const command_rule& aRule) {
      return aRule.mName == aCommand.mName;
    });
  if (const auto problem =
        FindUsageError(aCommand, rule == kCommands.end() ? nullptr : &*rule);
      !problem.empty()) {
    aError << "gooseberryctl: " << problem << '\n';
    return operator_exit::Usage;
  }
  operator_client client;
  client.mSettings = aSettings;
  client.mSettings.mEntries = aCommand.mEntries;
  command_context context{ aCommand,
                           client,
                           { aOut, aError, aCommand.mIsJson } };
  return rule->mRun(context);
}

std::string
OperatorHelp()
{
  std::string text = "Changes and shows the desired state. Commands:";
  for (const auto& rule : kCommands) {
    text += " " + std::string(rule.mName);
    text += rule.mArgument.empty() ? "" : " " + std::string(rule.mArgument);
    text += " " + std::string(rule.mHelp) + ";";
  }
  return text +
         " Exit codes: 0 done, 1 not known or an answer that was not expected, "
         "2 bad command line, 3 the file or what it says is wrong, 4 another "
         "change came first, 5 no entry answered or none reached the store, 6 "
         "it cannot be known now whether the change was accepted.";
}

} // namespace gooseberry::io
