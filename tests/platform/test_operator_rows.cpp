#include "platform/operator_rows.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>

using namespace gooseberry;

namespace {

constexpr const char* kConfiguration =
  R"({"version":7,"routes":[{"name":"r-1","host":"a.example",)"
  R"("pathPrefix":"/cut/","type":"unsafe","timeoutMs":1500,)"
  R"("targetLatencyMs":60,"priority":2,"service":"press","attempts":2,)"
  R"("slackFactor":1.6},{"name":"r-2","host":"a.example",)"
  R"("pathPrefix":"/cut/fine/","service":"press"}],)"
  R"("services":[{"name":"press"}],"limits":{}})";

const platform::domain_names kDomains{ { "north", "south" }, "region" };

using nlohmann::json;

/** The configuration with a field of its first route changed. */
std::string
WithRoute(const char* aField, const json& aValue)
{
  json configuration = json::parse(kConfiguration);
  configuration["routes"][0][aField] = aValue;
  return configuration.dump();
}

core::result<configuration::desired_state>
Read(const std::string& aText)
{
  return platform::ToDesiredState({ { "config", aText } }, kDomains);
}

configuration::queue
FirstQueue(const std::string& aText)
{
  const auto read = Read(aText);
  BOOST_REQUIRE(std::holds_alternative<configuration::desired_state>(read));
  return std::get<configuration::desired_state>(read).mQueues.at("r-1");
}

/** The state as another process reads it. */
configuration::desired_state
PassedOn(const configuration::desired_state& aState)
{
  const auto read = configuration::Parse(configuration::Format(aState), "test");
  if (const auto* error = std::get_if<core::error>(&read)) {
    BOOST_FAIL(error->mReason.substr(0, 200));
  }
  return std::get<configuration::desired_state>(read);
}

/** Checks that a route is in force with this text, here and elsewhere. */
void
CheckHeld(const std::string& aConfiguration,
          const std::string& aField,
          const std::string& aText)
{
  const auto read = Read(aConfiguration);
  if (const auto* error = std::get_if<core::error>(&read)) {
    BOOST_FAIL(error->mReason.substr(0, 200));
  }
  const auto& state = std::get<configuration::desired_state>(read);
  BOOST_TEST((PassedOn(state) == state));
  BOOST_TEST(state.mQueues.size() == 2U);
  const std::string name = aField == "name" ? aText : "r-1";
  BOOST_REQUIRE(state.mQueues.contains(name));
  const auto& queue = state.mQueues.at(name);
  const auto found = configuration::FindQueue(
    state, queue.mHost, queue.mPath + "0123456789abcdef");
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((found->mName == name));
  const std::map<std::string, std::string> held{ { "name", found->mName },
                                                 { "host", queue.mHost },
                                                 { "service", queue.mService },
                                                 { "pathPrefix",
                                                   queue.mPath } };
  BOOST_TEST((held.at(aField) == aText));
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_rows)

BOOST_AUTO_TEST_CASE(routes_become_queues_and_zones_failure_domains)
{
  const auto read =
    platform::ToDesiredState({ { "config", kConfiguration } }, kDomains);
  BOOST_REQUIRE(std::holds_alternative<configuration::desired_state>(read));
  const auto& state = std::get<configuration::desired_state>(read);
  const auto& queue = state.mQueues.at("r-1");
  BOOST_TEST(queue.mMaxTries == 2U);
  BOOST_TEST(queue.mPriority == 2U);
  BOOST_TEST(queue.mSlackPercent == 160U);
  BOOST_TEST((queue.mTargetLatency == std::chrono::milliseconds(60)));
  BOOST_TEST(configuration::IsDomainIn(state, "north"));
  BOOST_TEST(
    configuration::FindQueue(state, "a.example", "/cut/fine/1")->mName ==
    "r-2");
  BOOST_TEST(configuration::FindQueue(state, "a.example", "/cut/1")->mName ==
             "r-1");
  BOOST_TEST(
    !configuration::FindQueue(state, "b.example", "/cut/1").has_value());
}

BOOST_AUTO_TEST_CASE(an_evacuated_zone_is_out)
{
  const auto read = platform::ToDesiredState(
    { { "config", kConfiguration }, { "evacuate/south", "{}" } }, kDomains);
  BOOST_REQUIRE(std::holds_alternative<configuration::desired_state>(read));
  const auto& state = std::get<configuration::desired_state>(read);
  BOOST_TEST(configuration::IsDomainIn(state, "north"));
  BOOST_TEST(!configuration::IsDomainIn(state, "south"));
}

BOOST_AUTO_TEST_CASE(what_is_read_survives_the_products_own_format)
{
  const auto read =
    platform::ToDesiredState({ { "config", kConfiguration } }, kDomains);
  const auto& state = std::get<configuration::desired_state>(read);
  const auto again = configuration::Parse(configuration::Format(state), "test");
  BOOST_REQUIRE(std::holds_alternative<configuration::desired_state>(again));
  BOOST_TEST((std::get<configuration::desired_state>(again) == state));
}

BOOST_AUTO_TEST_CASE(no_configuration_and_unreadable_ones_are_errors)
{
  for (const char* const text : { "",
                                  "{",
                                  "[]",
                                  R"({"routes":7})",
                                  R"({"routes":[{}],"services":[]})" }) {
    BOOST_TEST_CONTEXT(text)
    {
      BOOST_TEST(std::holds_alternative<core::error>(
        platform::ToDesiredState({ { "config", text } }, kDomains)));
    }
  }
  BOOST_TEST(std::holds_alternative<core::error>(
    platform::ToDesiredState({}, kDomains)));
}

BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_errors)
{
  for (const char* const field : { "priority",
                                   "attempts",
                                   "timeoutMs",
                                   "targetLatencyMs",
                                   "slackFactor" }) {
    for (const json& value : { json(-1),
                               json(1e300),
                               json(-1e300),
                               json(~0ULL),
                               json(4'294'967'297ULL),
                               json("1"),
                               json(true),
                               json(nullptr),
                               json::array({ 1 }) }) {
      BOOST_TEST_CONTEXT(field << ": " << value.dump())
      {
        const auto read = Read(WithRoute(field, value));
        const auto* error = std::get_if<core::error>(&read);
        BOOST_REQUIRE(error != nullptr);
        BOOST_TEST(error->mReason.find(field) != std::string::npos);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(numbers_beyond_the_products_bounds_are_cut_to_them)
{
  BOOST_TEST(FirstQueue(WithRoute("priority", 5'000)).mPriority == 1'000U);
  BOOST_TEST(FirstQueue(WithRoute("attempts", 0)).mMaxTries == 1U);
  BOOST_TEST(FirstQueue(WithRoute("attempts", 40)).mMaxTries == 10U);
  BOOST_TEST((FirstQueue(WithRoute("timeoutMs", 3'600'000)).mTimeout ==
              std::chrono::minutes(10)));
  BOOST_TEST((FirstQueue(WithRoute("timeoutMs", 0)).mTimeout ==
              std::chrono::milliseconds(1)));
  BOOST_TEST(FirstQueue(WithRoute("slackFactor", 1e5)).mSlackPercent ==
             100'000U);
  BOOST_TEST(FirstQueue(WithRoute("slackFactor", 0)).mSlackPercent == 1U);
}

// A long or odd name kept its version, and all later ones, out of force.
BOOST_AUTO_TEST_CASE(names_and_paths_of_any_length_come_into_force)
{
  const std::vector<std::string> texts{
    "/" + std::string(63, 'x'),    "/" + std::string(64, 'x'),
    "/" + std::string(184, 'x'),   "/" + std::string(200, 'x'),
    std::string(201, '/'),         "/" + std::string(800, 'x') + "/",
    "/" + std::string(50'000, ';')
  };
  for (const char* const field : { "name", "host", "service", "pathPrefix" }) {
    for (const std::string& text : texts) {
      BOOST_TEST_CONTEXT(field << ": " << text.size() << " bytes")
      {
        CheckHeld(WithRoute(field, text), field, text);
      }
    }
  }
}

// A comma in a prefix got a space behind it, so that no request matched it; a
// space kept the version, and all later ones, out of force.
BOOST_AUTO_TEST_CASE(names_and_paths_of_any_characters_come_into_force)
{
  for (const char* const field : { "name", "host", "service", "pathPrefix" }) {
    for (const char* const text : { "/a,b/",
                                    "/a;b",
                                    "/;/#[]=%",
                                    "/%41/%zz/%",
                                    "/\"quoted\"/\\",
                                    "/caf\xC3\xA9/\xE2\x82\xAC",
                                    "/no-slash-at-the-end",
                                    "/a b/ ",
                                    "/a\nslack_percent = 1\n/",
                                    "/\t\x01\x7f" }) {
      BOOST_TEST_CONTEXT(field << ": " << text)
      {
        CheckHeld(WithRoute(field, text), field, text);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(many_failure_domains_come_into_force)
{
  platform::domain_names domains{ {}, "region" };
  for (int i = 0; i < 40; ++i) {
    domains.mNames.push_back("a-failure-domain-" + std::to_string(i));
  }
  const auto read =
    platform::ToDesiredState({ { "config", kConfiguration } }, domains);
  const auto& state = std::get<configuration::desired_state>(read);
  BOOST_TEST((PassedOn(state) == state));
}

BOOST_AUTO_TEST_CASE(names_and_paths_that_the_product_cannot_hold_are_errors)
{
  for (const char* const field : { "name", "host", "service", "pathPrefix" }) {
    for (const json& value : { json(""),
                               json(7),
                               json(nullptr),
                               json::array({ "/a" }),
                               json(std::string(70'000, '/')) }) {
      BOOST_TEST_CONTEXT(field << ": " << value.dump())
      {
        BOOST_TEST(
          std::holds_alternative<core::error>(Read(WithRoute(field, value))));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(what_is_taken_is_read_back_by_the_product)
{
  for (const char* const field : { "priority",
                                   "attempts",
                                   "timeoutMs",
                                   "targetLatencyMs",
                                   "slackFactor" }) {
    for (const json& value : { json(0), json(1), json(999'999), json(7.0) }) {
      BOOST_TEST_CONTEXT(field << ": " << value.dump())
      {
        const auto read = Read(WithRoute(field, value));
        BOOST_REQUIRE(
          std::holds_alternative<configuration::desired_state>(read));
        const auto& state = std::get<configuration::desired_state>(read);
        const auto again =
          configuration::Parse(configuration::Format(state), "test");
        BOOST_REQUIRE(
          std::holds_alternative<configuration::desired_state>(again));
        BOOST_TEST((std::get<configuration::desired_state>(again) == state));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(odd_rows_beside_the_configuration_do_not_cost_it)
{
  const auto read =
    platform::ToDesiredState({ { "", "" },
                               { "\xff", "\xff" },
                               { "evacuate/", "" },
                               { "evacuate/nowhere", "[]" },
                               { "config2", "[" },
                               { "config/", "{}" },
                               { "config", kConfiguration },
                               { "zzz", std::string(100'000, '[') } },
                             kDomains);
  BOOST_REQUIRE(std::holds_alternative<configuration::desired_state>(read));
  const auto& state = std::get<configuration::desired_state>(read);
  BOOST_TEST(state.mQueues.size() == 2U);
  BOOST_TEST(configuration::IsDomainIn(state, "north"));
  BOOST_TEST(configuration::IsDomainIn(state, "south"));
}

BOOST_AUTO_TEST_SUITE_END()
