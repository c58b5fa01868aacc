#pragma once

#include "libgooseberryio/operator_edit.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace gooseberry::io {

/** Where a command's answer goes, and in which form. */
struct operator_output
{
  std::ostream& mOut;
  std::ostream& mError;
  bool mIsJson = false;
};

/** A problem: on the error stream, or as JSON on the output. */
void
Print(const operator_output& aOutput, const operator_problem& aProblem);

void
Print(const operator_output& aOutput, const change_plan& aPlan);

void
Print(const operator_output& aOutput, const accepted_change& aAccepted);

void
Print(const operator_output& aOutput, const configuration_view& aView);

/** The answer of `GET /v1/status` as a table. */
void
PrintStatus(const operator_output& aOutput, const nlohmann::json& aStatus);

/** Any other answer of an entry. */
void
PrintAnswer(const operator_output& aOutput, const nlohmann::json& aAnswer);

} // namespace gooseberry::io
