#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace gooseberry::test {

/** Seed of the generated cases: each run sees the same ones. */
inline constexpr std::uint64_t kPropertySeed = 20261204;

/**
 * A number from `aFirst` to below `aEnd`, each as likely in the first cases as
 * in the last; `rc::gen::inRange` alone starts out near `aFirst`.
 */
template<typename Number>
Number
Between(Number aFirst, Number aEnd)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aFirst, aEnd));
}

/** Checks a property against `aCases` generated cases. */
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
