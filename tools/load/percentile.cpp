#include "load/percentile.h"

#include <algorithm>
#include <cmath>

namespace gooseberry::tools::load {

double
Percentile(const std::vector<double>& aSorted, double aShare)
{
  const double rank = std::ceil(aShare * static_cast<double>(aSorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return aSorted[std::min(index, aSorted.size() - 1)];
}

percentiles
PercentilesOf(std::vector<double> aSamples)
{
  if (aSamples.empty()) {
    return {};
  }
  std::sort(aSamples.begin(), aSamples.end());
  return { aSamples.size(),
           Percentile(aSamples, 0.50),
           Percentile(aSamples, 0.95),
           Percentile(aSamples, 0.99),
           aSamples.back() };
}

} // namespace gooseberry::tools::load
