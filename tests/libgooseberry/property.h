#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace gooseberry::test {

/** Seed of the generated cases: each run sees the same ones. */
inline constexpr std::uint64_t kPropertySeed = 20261204;

/** Whether the property holds for `aCases` generated cases. */
template<typename Property>
bool
Holds(Property aProperty, int aCases = 300)
{
  rc::detail::TestParams params;
  params.seed = kPropertySeed;
  params.maxSuccess = aCases;
  const auto result =
    rc::detail::checkTestable(aProperty, rc::detail::TestMetadata{}, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  const bool holds = result.template is<rc::detail::SuccessResult>();
  if (!holds) {
    BOOST_ERROR("seed " << kPropertySeed << ": " << text.str());
  }
  return holds;
}

} // namespace gooseberry::test
