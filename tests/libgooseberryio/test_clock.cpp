#include "libgooseberryio/clock.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(clock_never_goes_back)
{
  const auto first = gooseberry::io::Now();
  BOOST_TEST((gooseberry::io::Now() >= first));
}
