#include "libgooseberryio/rows.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace gooseberry;

namespace {

using nlohmann::json;

membership::member_row
Entry()
{
  return {
    membership::role::Entry, { "front-1", ~0ULL }, "10.1.0.13:7720", "north"
  };
}

/** The row's text with one field of another value. */
std::string
With(const char* aField, const json& aValue)
{
  json text = json::parse(io::FormatMember(Entry()));
  text[aField] = aValue;
  return text.dump();
}

std::vector<std::string>
OddTexts()
{
  std::vector<std::string> odd{ "",     "{",  "[]",   "7",
                                "null", "{}", "\xff", std::string(200, '[') };
  for (const char* const field :
       { "role", "name", "incarnation", "address", "failure_domain" }) {
    for (const json& value : { json(""),
                               json(7),
                               json(-1),
                               json(1e300),
                               json(nullptr),
                               json(true),
                               json("a b\n"),
                               json::array({ "x" }),
                               json::object() }) {
      if (std::string_view(field) != "failure_domain" || value != json("")) {
        odd.push_back(With(field, value));
      }
    }
    json missing = json::parse(io::FormatMember(Entry()));
    missing.erase(field);
    odd.push_back(missing.dump());
  }
  for (const char* const text : { "-1",
                                  "0",
                                  "+7",
                                  " 7",
                                  "7 ",
                                  "7x",
                                  "0x7",
                                  "1e3",
                                  "18446744073709551616" }) {
    odd.push_back(With("incarnation", text));
  }
  for (const char* const text : { "10.1.0.13",
                                  "10.1.0.13:0",
                                  "10.1.0.13:65536",
                                  "10.1.0.13:-1",
                                  "10.1.0.13:4294975016",
                                  "host:7720",
                                  ":7720" }) {
    odd.push_back(With("address", text));
  }
  odd.push_back(With("role", "leader"));
  odd.push_back(With("name", std::string(65, 'n')));
  return odd;
}

io::table_row
Stored(const std::string& aKey, const std::string& aText)
{
  return { aKey, aText, 3 };
}

} // namespace

BOOST_AUTO_TEST_SUITE(member_rows)

BOOST_AUTO_TEST_CASE(a_member_is_read_back)
{
  const auto read = io::ParseMember(io::FormatMember(Entry()));
  BOOST_REQUIRE(std::holds_alternative<membership::member_row>(read));
  BOOST_TEST((std::get<membership::member_row>(read) == Entry()));
}

BOOST_AUTO_TEST_CASE(odd_members_are_refused)
{
  for (const std::string& text : OddTexts()) {
    BOOST_TEST_CONTEXT(text)
    {
      BOOST_TEST(std::holds_alternative<core::error>(io::ParseMember(text)));
    }
  }
}

BOOST_AUTO_TEST_CASE(true_members_hold_beside_odd_ones)
{
  io::log_once logged;
  const std::string own = membership::RowKey(Entry());
  for (const std::string& text : OddTexts()) {
    BOOST_TEST_CONTEXT(text)
    {
      const auto members =
        io::ParseMembers({ Stored("entry/a/1", text),
                           Stored(own, io::FormatMember(Entry())),
                           Stored("zzz", text) },
                         logged);
      BOOST_REQUIRE_EQUAL(members.size(), 1U);
      BOOST_TEST((members.front() == Entry()));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_member_under_another_key_is_left_out)
{
  io::log_once logged;
  membership::member_row other = Entry();
  other.mAddress = "10.9.9.9:1";
  const auto members = io::ParseMembers(
    { Stored("a", io::FormatMember(other)),
      Stored("entry/front-1/7", io::FormatMember(other)),
      Stored("agent/front-1/18446744073709551615", io::FormatMember(other)),
      Stored(membership::RowKey(Entry()), io::FormatMember(Entry())) },
    logged);
  BOOST_REQUIRE_EQUAL(members.size(), 1U);
  BOOST_TEST((members.front() == Entry()));
}

BOOST_AUTO_TEST_CASE(an_odd_row_is_logged_once_for_each_version)
{
  io::log_once logged;
  BOOST_TEST(logged.IsNew("a@1"));
  BOOST_TEST(!logged.IsNew("a@1"));
  BOOST_TEST(logged.IsNew("a@2"));
  io::ParseMembers({ { "k", "odd", 5 } }, logged);
  BOOST_TEST(!logged.IsNew("k@5"));
  BOOST_TEST(logged.IsNew("k@6"));
}

BOOST_AUTO_TEST_CASE(odd_configurations_are_refused)
{
  const entry::configuration_row row{ { 7, "text" }, "by", "request", 1 };
  BOOST_TEST(std::holds_alternative<entry::configuration_row>(
    io::ParseConfiguration(io::FormatConfiguration(row))));
  for (const json& value : { json(-1),
                             json(1.5),
                             json(1e300),
                             json("7"),
                             json(nullptr),
                             json::array() }) {
    json odd = json::parse(io::FormatConfiguration(row));
    odd["generation"] = value;
    BOOST_TEST_CONTEXT(odd.dump())
    {
      BOOST_TEST(std::holds_alternative<core::error>(
        io::ParseConfiguration(odd.dump())));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
