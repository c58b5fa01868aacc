#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace gooseberry::test {

/** Seed of the generated cases, so that each run checks the same ones. */
inline constexpr std::uint64_t kPropertySeed = 20261204;

/**
 * Generates a number from `aFirst` to below `aEnd`, uniformly in all cases;
 * `rc::gen::inRange` alone stays near `aFirst` in the first cases.
 */
template<typename Number>
Number
Between(Number aFirst, Number aEnd)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aFirst, aEnd));
}

/** Checks a property on `aCases` generated cases. */
template<typename Property>
void
CheckProperty(Property aProperty, int aCases = 300)
{
  rc::detail::TestParams params;
  params.seed = kPropertySeed;
  params.maxSuccess = aCases;
  const auto result =
    rc::detail::checkTestable(aProperty, rc::detail::TestMetadata{}, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  BOOST_TEST(result.template is<rc::detail::SuccessResult>(),
             "seed " << kPropertySeed << ": " << text.str());
}

} // namespace gooseberry::test
