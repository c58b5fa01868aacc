#include "target/settings.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

namespace gooseberry::tools::target {

namespace {

constexpr std::size_t kTargetFields = 5;
constexpr int kExitUsage = 2;

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> fields;
  std::istringstream stream(aText);
  for (std::string field; std::getline(stream, field, ',');) {
    fields.push_back(field);
  }
  return fields;
}

[[noreturn]] void
Refuse(const core::error& aError)
{
  std::cerr << "target-standin: " << core::ToString(aError) << std::endl;
  std::exit(kExitUsage);
}

} // namespace

core::result<target_settings>
ParseTarget(const std::string& aText)
{
  const auto fields = Split(aText);
  const core::error wrong{ "--target",
                           aText,
                           "expected NAME,IP:PORT,AGENT-IP:PORT,SLOTS,DOMAIN" };
  if (fields.size() != kTargetFields ||
      fields[1].find(':') == std::string::npos ||
      fields[2].find(':') == std::string::npos) {
    return wrong;
  }
  const int slots = std::atoi(fields[3].c_str());
  if (slots < 1) {
    return wrong;
  }
  return target_settings{ fields[0], fields[1],
                          fields[2], static_cast<std::uint32_t>(slots),
                          fields[4], {} };
}

settings
ParseCommandLine(int aCount, char** aWords)
{
  TCLAP::CmdLine line("Stand-in for back ends that run tasks.", ' ', "0.1.0");
  TCLAP::MultiArg<std::string> targets(
    "t",
    "target",
    "One target to host.",
    true,
    "NAME,IP:PORT,AGENT-IP:PORT,SLOTS,DOMAIN",
    line);
  TCLAP::ValueArg<std::string> services("",
                                        "services",
                                        "Services that the targets offer.",
                                        false,
                                        "tab-order,almanac",
                                        "NAME,...",
                                        line);
  TCLAP::ValueArg<std::string> faultsJson(
    "", "faults", "As for PUT /v1/faults.", false, "{}", "JSON", line);
  TCLAP::ValueArg<std::uint64_t> seed(
    "", "seed", "Seed of the faults.", false, 1, "NUMBER", line);
  TCLAP::ValueArg<std::string> records(
    "", "records", "Write the records at the end.", false, "", "FILE", line);
  line.parse(aCount, aWords);
  settings result;
  for (const std::string& text : targets.getValue()) {
    auto parsed = ParseTarget(text);
    if (const auto* wrong = std::get_if<core::error>(&parsed)) {
      Refuse(*wrong);
    }
    result.mTargets.push_back(std::get<target_settings>(parsed));
    result.mTargets.back().mServices = Split(services.getValue());
  }
  const auto changed = Change({}, faultsJson.getValue());
  if (const auto* wrong = std::get_if<core::error>(&changed)) {
    Refuse(*wrong);
  }
  result.mFaults = std::get<faults>(changed);
  result.mSeed = seed.getValue();
  result.mRecordsFile = records.getValue();
  return result;
}

} // namespace gooseberry::tools::target
