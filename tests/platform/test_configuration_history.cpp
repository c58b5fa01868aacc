#include "libgooseberry/entry/entry_control.h"
#include "libgooseberryio/rows.h"
#include "platform/store_client.h"
#include "store_standin.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

constexpr const char* kConfiguration =
  R"({"version":1,"routes":[{"name":"r-1","host":"a.example",)"
  R"("pathPrefix":"/cut/","service":"press"}],)"
  R"("services":[{"name":"press"}]})";

entry::entry_options
Options(const std::string& aName)
{
  entry::entry_options options;
  options.mName = aName;
  options.mAddress = aName + ":1";
  options.mLeasedRuns = true;
  return options;
}

/** An entry with its own client of the store. */
struct reading_entry
{
  core::instant mNow{ std::chrono::seconds(1'000) };
  entry::effects mEffects;
  entry::entry_control mControl;
  platform::store_client mClient;

  reading_entry(const test::store_standin& aStore, const std::string& aName)
    : mControl(entry::MakeEntry(Options(aName), 1, 1, mNow, mEffects))
    , mClient(aStore.Settings(), { { "a", "b" }, "r" })
  {
  }

  void Read()
  {
    const auto read = mClient.ReadRow("configuration", "current");
    const auto* row = std::get_if<io::table_row>(&read);
    BOOST_REQUIRE(row != nullptr);
    const auto parsed = io::ParseConfiguration(row->mValue);
    const auto* stored = std::get_if<entry::configuration_row>(&parsed);
    BOOST_REQUIRE(stored != nullptr);
    entry::OnConfigurationRead(mControl, *stored, mNow, mNow, mEffects);
  }

  /** Takes in what another entry sends in its reply to a heartbeat. */
  void HearFrom(const reading_entry& aOther)
  {
    core::heartbeat beat;
    beat.mEntry = aOther.mControl.mSelf;
    beat.mGeneration = aOther.Generation();
    beat.mConfiguration = aOther.mControl.mRow.mConfiguration;
    entry::OnHeartbeatReply(mControl, beat, mNow, mNow, mEffects);
  }

  core::generation Generation() const
  {
    return mControl.mRow.mConfiguration.mGeneration;
  }

  bool IsIn(const char* aDomain) const
  {
    return configuration::IsDomainIn(mControl.mDesired, aDomain);
  }

  bool HasQueue(const char* aName) const
  {
    return mControl.mDesired.mQueues.contains(aName);
  }
};

struct history
{
  test::store_standin mStore;
  reading_entry mFirst{ mStore, "first" };
  reading_entry mSecond{ mStore, "second" };

  history() { mStore.Put("op", "config", kConfiguration); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_history, history)

// A domain taken out, back and out again got work for good: the entry that had
// missed the return gave the state its old generation.
BOOST_AUTO_TEST_CASE(a_domain_taken_out_again_is_out)
{
  mStore.Put("op", "evacuate/a", "{}");
  mFirst.Read();
  mStore.Remove("op", "evacuate/a");
  mSecond.Read();
  mFirst.HearFrom(mSecond);
  BOOST_TEST(mFirst.IsIn("a"));
  mStore.Put("op", "evacuate/a", "{}");
  mFirst.Read();
  BOOST_TEST(!mFirst.IsIn("a"));
  mSecond.HearFrom(mFirst);
  BOOST_TEST(!mSecond.IsIn("a"));
}

BOOST_AUTO_TEST_CASE(a_domain_taken_back_again_is_in)
{
  mFirst.Read();
  mStore.Put("op", "evacuate/a", "{}");
  mSecond.Read();
  mFirst.HearFrom(mSecond);
  BOOST_TEST(!mFirst.IsIn("a"));
  mStore.Remove("op", "evacuate/a");
  mFirst.Read();
  BOOST_TEST(mFirst.IsIn("a"));
}

BOOST_AUTO_TEST_CASE(a_route_removed_and_added_again_is_there)
{
  mFirst.Read();
  mStore.Put("op", "config", R"({"version":2,"routes":[],"services":[]})");
  mSecond.Read();
  mFirst.HearFrom(mSecond);
  BOOST_TEST(!mFirst.HasQueue("r-1"));
  mStore.Put("op", "config", kConfiguration);
  mFirst.Read();
  BOOST_TEST(mFirst.HasQueue("r-1"));
}

// An entry that stood still brings what was changed back meanwhile.
BOOST_AUTO_TEST_CASE(an_entry_behind_the_last_read_changes_nothing)
{
  mStore.Put("op", "evacuate/a", "{}");
  mFirst.Read();
  mStore.Remove("op", "evacuate/a");
  mSecond.Read();
  mStore.Put("op", "evacuate/a", "{}");
  mFirst.Read();
  mFirst.HearFrom(mSecond);
  BOOST_TEST(!mFirst.IsIn("a"));
  mSecond.HearFrom(mFirst);
  BOOST_TEST(!mSecond.IsIn("a"));
  BOOST_TEST(mSecond.Generation() == mFirst.Generation());
}

BOOST_AUTO_TEST_CASE(the_configuration_keeps_its_generation_until_it_changes)
{
  mFirst.Read();
  const auto first = mFirst.Generation();
  mStore.Put("members", "k", "text");
  mFirst.mEffects.clear();
  mFirst.Read();
  BOOST_TEST(mFirst.Generation() == first);
  BOOST_TEST(mFirst.mEffects.empty());
  mStore.Put("op", "config", "[]");
  mFirst.Read();
  BOOST_TEST(mFirst.Generation() == first);
  BOOST_TEST(mFirst.mEffects.empty());
  mStore.Put("op", "evacuate/a", "{}");
  mFirst.Read();
  BOOST_TEST(mFirst.Generation() > first);
}

BOOST_AUTO_TEST_SUITE_END()
