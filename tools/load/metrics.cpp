#include "load/metrics.h"

#include "common/http_call.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace gooseberry::tools::load {

namespace {

constexpr std::string_view kMessagesCounter = "gooseberry_messages_total";
constexpr std::string_view kTypeLabel = "type";

std::string
LabelOf(std::string_view aLine, std::string_view aLabel)
{
  const std::string open = std::string(aLabel) + "=\"";
  const std::size_t begin = aLine.find(open);
  if (begin == std::string_view::npos) {
    return "";
  }
  const std::size_t from = begin + open.size();
  return std::string(aLine.substr(from, aLine.find('"', from) - from));
}

} // namespace

counts_by_label
SumCounter(std::string_view aText,
           std::string_view aCounter,
           std::string_view aLabel)
{
  counts_by_label counts;
  std::istringstream stream{ std::string(aText) };
  const std::string open = std::string(aCounter) + "{";
  for (std::string line; std::getline(stream, line);) {
    const std::size_t close = line.rfind('}');
    if (line.rfind(open, 0) == 0 && close != std::string::npos) {
      counts[LabelOf(line, aLabel)] +=
        std::strtod(line.c_str() + close + 1, nullptr);
    }
  }
  return counts;
}

counts_by_label
FetchMessages(const std::vector<std::string>& aUrls)
{
  counts_by_label sum;
  for (const std::string& url : aUrls) {
    common::http_call call;
    call.mUrl = url;
    const auto answer = common::Call(call);
    if (const auto* failure = std::get_if<core::error>(&answer)) {
      std::cerr << "event=metrics error=\"" << core::ToString(*failure) << "\""
                << std::endl;
      continue;
    }
    for (const auto& [type, count] :
         SumCounter(std::get<common::http_answer>(answer).mBody,
                    kMessagesCounter,
                    kTypeLabel)) {
      sum[type] += count;
    }
  }
  return sum;
}

} // namespace gooseberry::tools::load
