#include "libgooseberry/configuration/desired_state.h"
#include "libgooseberryio/agent_settings.h"
#include "libgooseberryio/entry_settings.h"
#include "libgooseberryio/program.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace gooseberry::io;

namespace {

const std::string kSource = GOOSEBERRY_SOURCE_DIR "/";

std::string
Load(const std::string& aName)
{
  return std::get<std::string>(ReadTextFile(kSource + aName));
}

/** The value, with a failure that shows the error. */
template<typename Value>
Value
Expect(const core::result<Value>& aResult)
{
  if (const auto* problem = std::get_if<core::error>(&aResult)) {
    BOOST_FAIL(core::ToString(*problem));
  }
  return std::get<Value>(aResult);
}

/** A section of docs/OPERATING.md up to the next heading. */
std::string
DocumentedTable(const std::string& aHeading)
{
  const auto text = Load("docs/OPERATING.md");
  const auto heading = text.find("\n### " + aHeading + "\n");
  BOOST_REQUIRE(heading != std::string::npos);
  const auto begin = text.find("\n| ", heading) + 1;
  return text.substr(begin, text.find("\n\n", begin) + 1 - begin);
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_files)

BOOST_AUTO_TEST_CASE(processor_time_is_read_in_thousandths)
{
  const auto text = Load("examples/entry.ini");
  const auto with = [&text](const std::string& aValue) {
    auto changed = text;
    return changed.insert(changed.find("[entry]") + 7,
                          "\nprocessor = " + aValue);
  };
  BOOST_TEST(Expect(ParseEntrySettings(text, "x")).mMillicores == 0U);
  BOOST_TEST(Expect(ParseEntrySettings(with("0.12"), "x")).mMillicores == 120U);
  BOOST_TEST(Expect(ParseEntrySettings(with("2"), "x")).mMillicores == 2000U);
  for (const char* bad : { "-1", "nan", "0.1x", "1e9", "2000" }) {
    BOOST_TEST_INFO(bad);
    const auto read = ParseEntrySettings(with(bad), "x");
    BOOST_REQUIRE(std::holds_alternative<core::error>(read));
    BOOST_TEST(core::ToString(std::get<core::error>(read))
                 .find("expected a number of cores from 0 to 1024") !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(entry_example_is_read)
{
  const auto settings =
    Expect(ParseEntrySettings(Load("examples/entry.ini"), "entry.ini"));
  BOOST_TEST(settings.mName == "entry-1");
  BOOST_TEST(settings.mHttpAddress == "127.0.0.1:7000");
  BOOST_TEST(settings.mPlatform.mUrl == "http://127.0.0.1:6000");
  BOOST_TEST(settings.mLimits.mMaxTasks == 870U);
  BOOST_TEST((settings.mLimits.mMaxQueueWait == std::chrono::seconds(2)));
  BOOST_TEST(settings.mProtocol.mTrustFirstAttempt);
  BOOST_TEST((settings.mOrder == job::order_policy::LeastRemaining));
  BOOST_TEST(settings.mRetryShare == 0.1);
  BOOST_TEST(settings.mLog.mFile.empty());
}

BOOST_AUTO_TEST_CASE(agent_example_is_read)
{
  const auto settings =
    Expect(ParseAgentSettings(Load("examples/agent.ini"), "agent.ini"));
  BOOST_TEST(settings.mRack == "rack-1");
  BOOST_TEST(settings.mLimits.mResultBytes == std::size_t{ 8 } << 20U);
  BOOST_TEST((settings.mLimits.mTargetLease == std::chrono::seconds(3)));
  BOOST_TEST(settings.mLogDecisions);
}

BOOST_AUTO_TEST_CASE(baselines_can_be_set)
{
  const auto settings =
    Expect(ParseEntrySettings("[entry]\nname = e\nhttp_address = 127.0.0.1:1\n"
                              "peer_address = [::1]:2\nfailure_domain = d\n"
                              "[platform]\naddress = 127.0.0.1:3\n"
                              "[policy]\nplacement = random\norder = fifo\n"
                              "[log]\ndecisions = off\n",
                              "e.ini"));
  BOOST_TEST((settings.mOrder == job::order_policy::Fifo));
  BOOST_TEST((settings.mPlacement.mPolicy == target::placement_policy::Random));
  BOOST_TEST(!settings.mLogDecisions);
}

BOOST_AUTO_TEST_CASE(operator_examples_are_read)
{
  using configuration::desired_state;
  for (const char* name : { "tabcraft", "qamar" }) {
    const auto file = std::string("examples/") + name + ".ini";
    const auto state =
      Expect<desired_state>(configuration::Parse(Load(file), file));
    BOOST_TEST(state.mName == name);
    BOOST_TEST(state.mFailureDomains.size() == 3U);
    BOOST_TEST(state.mServices.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(documented_tables_are_the_printed_ones)
{
  BOOST_TEST(DocumentedTable("gooseberry-entry") == EntrySettingsReference());
  BOOST_TEST(DocumentedTable("gooseberry-agent") == AgentSettingsReference());
}

BOOST_AUTO_TEST_SUITE_END()
