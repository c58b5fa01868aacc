#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::tools::load {

/** Values of one counter by the value of one of its labels. */
using counts_by_label = std::map<std::string, double>;

/** Adds up a counter of Prometheus' text format by the label `aLabel`. */
counts_by_label
SumCounter(std::string_view aText,
           std::string_view aCounter,
           std::string_view aLabel);

/**
 * Reads the messages counter from each process, `http://IP:PORT/metrics`, and
 * adds them up by type. Processes that don't answer count nothing.
 */
counts_by_label
FetchMessages(const std::vector<std::string>& aUrls);

} // namespace gooseberry::tools::load
