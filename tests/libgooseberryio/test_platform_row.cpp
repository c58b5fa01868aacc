#include "libgooseberryio/platform_row.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

BOOST_AUTO_TEST_SUITE(platform_row)

BOOST_AUTO_TEST_CASE(odd_rows_of_a_list_do_not_cost_the_others)
{
  const std::string good =
    R"({"key":"a","version":1,"value":"{\"value\":\"x\",\"request\":\"r\"}"})";
  for (const std::string odd :
       { "7",
         "null",
         "[]",
         "{}",
         R"({"key":7,"version":1,"value":"x"})",
         R"({"key":"b","version":1,"value":"x"})",
         R"({"key":"b","version":1,"value":7})",
         R"({"key":"b","version":-1,"value":"{}"})",
         R"({"key":"b","version":1,"value":"{\"value\":7}"})",
         R"({"key":"b","version":1e300,"value":"{}"})" }) {
    BOOST_TEST_CONTEXT(odd)
    {
      std::string body = R"({"rows":[)";
      body.append(good).append(",").append(odd).append(",").append(good);
      body += "]}";
      const auto rows = io::ParseRows(body);
      const auto* list = std::get_if<std::vector<io::table_row>>(&rows);
      BOOST_REQUIRE(list != nullptr);
      BOOST_TEST(list->size() == 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(odd_lists_and_versions_are_errors)
{
  for (const char* const body :
       { "", "[]", "7", "{}", R"({"rows":7})", R"({"rows":{}})" }) {
    BOOST_TEST_CONTEXT(body)
    {
      BOOST_TEST(std::holds_alternative<core::error>(io::ParseRows(body)));
    }
  }
  for (const char* const body : { "{}",
                                  R"({"version":"1"})",
                                  R"({"version":-1})",
                                  R"({"version":1e300})",
                                  R"({"version":null})" }) {
    BOOST_TEST_CONTEXT(body)
    {
      BOOST_TEST(std::holds_alternative<core::error>(io::ParseVersion(body)));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
