#include "libgooseberry/core/identity.h"
#include "libgooseberry/core/message.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry::core;

BOOST_AUTO_TEST_SUITE(identity)

BOOST_AUTO_TEST_CASE(ballots_order_by_round_then_entry)
{
  BOOST_TEST((ballot{ 1, 9 } < ballot{ 2, 1 }));
  BOOST_TEST((ballot{ 2, 1 } < ballot{ 2, 2 }));
}

BOOST_AUTO_TEST_CASE(names_convert_both_ways)
{
  for (std::size_t i = 0; i < kStartVerdictNames.mNames.size(); ++i) {
    const auto verdict = static_cast<start_verdict>(i);
    const auto name = kStartVerdictNames.NameOf(verdict);
    BOOST_TEST((kStartVerdictNames.ValueOf(name) == verdict));
  }
  BOOST_TEST(!kStartVerdictNames.ValueOf("no such verdict").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
