#pragma once

#include <cstddef>
#include <vector>

namespace gooseberry::tools::load {

/** The usual points of a distribution. */
struct percentiles
{
  std::size_t mCount = 0;
  double mP50 = 0;
  double mP95 = 0;
  double mP99 = 0;
  double mMax = 0;
};

/**
 * The smallest sample such that at least `aShare` of all are not above it
 * (nearest rank). `aSorted` ascends and is not empty.
 */
double
Percentile(const std::vector<double>& aSorted, double aShare);

/** All samples count; nothing is rounded into buckets. */
percentiles
PercentilesOf(std::vector<double> aSamples);

} // namespace gooseberry::tools::load
