#include "libgooseberryio/operator_output.h"

#include <array>
#include <iomanip>

namespace gooseberry::io {

namespace {

using nlohmann::json;

constexpr int kIndent = 2;

std::string
Dump(const json& aValue, int aIndent)
{
  return aValue.dump(aIndent, ' ', false, json::error_handler_t::replace);
}

json
ToJson(const configuration::change& aChange)
{
  return { { "kind", configuration::kChangeKindNames.NameOf(aChange.mKind) },
           { "section", aChange.mSection },
           { "key", aChange.mKey },
           { "before", aChange.mBefore },
           { "after", aChange.mAfter } };
}

/** The member as a table shows it. */
std::string
Cell(const json& aRow, const char* aKey)
{
  const auto found = aRow.find(aKey);
  if (found == aRow.end()) {
    return "-";
  }
  if (found->is_string()) {
    const auto text = found->get<std::string>();
    return text.empty() ? "-" : text;
  }
  if (found->is_boolean()) {
    return found->get<bool>() ? "yes" : "no";
  }
  if (found->is_number_float()) {
    return std::to_string(static_cast<std::int64_t>(found->get<double>()));
  }
  return Dump(*found, -1);
}

struct column
{
  const char* mTitle;
  const char* mKey;
  int mWidth;
};
constexpr std::array<column, 6> kPeerColumns{ {
  { "PEER", "name", 20 },
  { "ROLE", "role", 7 },
  { "FAILURE DOMAIN", "failure_domain", 16 },
  { "GENERATION", "generation", 12 },
  { "HEARD MS AGO", "age_ms", 14 },
  { "OPEN", "open", 5 },
} };

} // namespace

void
Print(const operator_output& aOutput, const operator_problem& aProblem)
{
  const auto failure = kOperatorFailureNames.NameOf(aProblem.mFailure);
  const bool isConflict = aProblem.mFailure == operator_failure::Conflict;
  if (aOutput.mIsJson) {
    json answer{ { "failure", failure },
                 { "error",
                   { { "step", aProblem.mError.mStep },
                     { "peer", aProblem.mError.mPeer },
                     { "reason", aProblem.mError.mReason } } } };
    if (isConflict) {
      answer["generation"] = aProblem.mGeneration;
      answer["by"] = aProblem.mBy;
    }
    return PrintAnswer(aOutput, answer);
  }
  aOutput.mError << "gooseberryctl: " << failure << ": "
                 << core::ToString(aProblem.mError);
  if (isConflict) {
    aOutput.mError << "; generation " << aProblem.mGeneration << " by "
                   << (aProblem.mBy.empty() ? "?" : aProblem.mBy);
  }
  aOutput.mError << '\n';
}

void
Print(const operator_output& aOutput, const change_plan& aPlan)
{
  if (aOutput.mIsJson) {
    json changes = json::array();
    for (const auto& change : aPlan.mChanges) {
      changes.push_back(ToJson(change));
    }
    return PrintAnswer(
      aOutput, { { "generation", aPlan.mGeneration }, { "changes", changes } });
  }
  for (const auto& change : aPlan.mChanges) {
    aOutput.mOut << configuration::ToString(change) << '\n';
  }
  aOutput.mOut << aPlan.mChanges.size() << " changes against generation "
               << aPlan.mGeneration << '\n';
}

void
Print(const operator_output& aOutput, const accepted_change& aAccepted)
{
  if (aOutput.mIsJson) {
    return PrintAnswer(aOutput,
                       { { "generation", aAccepted.mGeneration },
                         { "in_force", aAccepted.mInForce },
                         { "waiting", aAccepted.mWaiting },
                         { "read_back", aAccepted.mIsReadBack } });
  }
  aOutput.mOut << "generation " << aAccepted.mGeneration << " accepted";
  if (aAccepted.mIsReadBack) {
    aOutput.mOut << " (the answer was lost and read back)";
  }
  aOutput.mOut << '\n';
  for (const auto& name : aAccepted.mWaiting) {
    aOutput.mOut << "waiting for " << name << '\n';
  }
}

void
Print(const operator_output& aOutput, const configuration_view& aView)
{
  if (aOutput.mIsJson) {
    return PrintAnswer(aOutput,
                       { { "generation", aView.mGeneration },
                         { "text", aView.mText },
                         { "request", aView.mRequest },
                         { "by", aView.mBy } });
  }
  aOutput.mOut << "; generation " << aView.mGeneration << " by "
               << (aView.mBy.empty() ? "-" : aView.mBy) << '\n'
               << aView.mText;
}

void
PrintStatus(const operator_output& aOutput, const json& aStatus)
{
  const auto peers = aStatus.find("peers");
  if (aOutput.mIsJson || peers == aStatus.end() || !peers->is_array()) {
    return PrintAnswer(aOutput, aStatus);
  }
  aOutput.mOut << "entry " << Cell(aStatus, "entry") << ", generation "
               << Cell(aStatus, "generation") << '\n'
               << std::left;
  for (const auto& column : kPeerColumns) {
    aOutput.mOut << std::setw(column.mWidth) << column.mTitle << ' ';
  }
  aOutput.mOut << '\n';
  for (const auto& peer : *peers) {
    for (const auto& column : kPeerColumns) {
      aOutput.mOut << std::setw(column.mWidth) << Cell(peer, column.mKey)
                   << ' ';
    }
    aOutput.mOut << '\n';
  }
}

void
PrintAnswer(const operator_output& aOutput, const json& aAnswer)
{
  aOutput.mOut << Dump(aAnswer, kIndent) << '\n';
}

} // namespace gooseberry::io
