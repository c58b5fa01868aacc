#include "platform/operator_rows.h"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
