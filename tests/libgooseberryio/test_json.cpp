#include "libgooseberryio/json.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

using nlohmann::json;

constexpr io::number_range kRange{ 1, 100 };

/** What is thrown for the field `n` of this value. */
std::string
Refusal(const json& aValue, const io::number_range& aRange = kRange)
{
  try {
    static_cast<void>(io::NumberField(json{ { "n", aValue } }, "n", aRange));
  } catch (const json::exception& refused) {
    return refused.what();
  }
  return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(json_fields)

BOOST_AUTO_TEST_CASE(whole_numbers_within_the_range_are_read)
{
  for (const json& value : { json(1), json(1U), json(100), json(42.0) }) {
    BOOST_TEST_CONTEXT(value.dump())
    {
      BOOST_TEST(Refusal(value).empty());
    }
  }
  BOOST_TEST(io::NumberField({ { "n", 7 } }, "n", kRange) == 7U);
  BOOST_TEST(io::NumberField({ { "m", 7 } }, "n", kRange, 3) == 3U);
  const io::number_range all{ 0, ~0ULL };
  BOOST_TEST(*io::ToNumber(json(~0ULL), all) == ~0ULL);
}

BOOST_AUTO_TEST_CASE(other_values_are_refused_with_the_fields_name)
{
  for (const json& value : { json(0),
                             json(-1),
                             json(101),
                             json(1.5),
                             json(-1.0),
                             json(1e300),
                             json(-1e300),
                             json(4'294'967'297ULL),
                             json(~0ULL),
                             json("7"),
                             json(""),
                             json(true),
                             json(nullptr),
                             json::array({ 7 }),
                             json::object() }) {
    BOOST_TEST_CONTEXT(value.dump())
    {
      BOOST_TEST(Refusal(value).find("n: expected a whole number") !=
                 std::string::npos);
      BOOST_CHECK_THROW(io::NumberField(json{ { "n", value } }, "n", kRange, 3),
                        json::exception);
    }
  }
  BOOST_TEST(!Refusal(json(1e300), { 0, ~0ULL }).empty());
  BOOST_CHECK_THROW(io::NumberField(json::object(), "n", kRange),
                    json::exception);
  BOOST_CHECK_THROW(io::NumberField(json::array(), "n", kRange, 3),
                    json::exception);
}

BOOST_AUTO_TEST_CASE(fractions_and_texts_are_bounded)
{
  constexpr io::fraction_range kFractions{ 0.5, 8 };
  const auto fraction = [&](const json& aValue) {
    return io::FractionField({ { "n", aValue } }, "n", kFractions, 1);
  };
  BOOST_TEST(fraction(1.5) == 1.5);
  BOOST_TEST(fraction(2) == 2.0);
  BOOST_TEST(io::FractionField(json::object(), "n", kFractions, 1) == 1.0);
  for (const json& value :
       { json(0.1), json(9), json(1e300), json(-1e300), json("1") }) {
    BOOST_CHECK_THROW(fraction(value), json::exception);
  }
  const auto text = [&](const json& aValue) {
    return io::TextField({ { "n", aValue } }, "n", 3);
  };
  BOOST_TEST(text("abc") == "abc");
  for (const json& value : { json(""), json("abcd"), json(7), json() }) {
    BOOST_CHECK_THROW(text(value), json::exception);
  }
}

BOOST_AUTO_TEST_SUITE_END()
