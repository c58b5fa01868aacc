#define BOOST_TEST_MODULE libgooseberry
#include <boost/test/unit_test.hpp>
