#define BOOST_TEST_MODULE libgooseberryio
#include <boost/test/unit_test.hpp>
