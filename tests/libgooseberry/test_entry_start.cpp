#include "libgooseberry/entry/entry_control.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: all processes start anew while callers go on. */
namespace {

/** An entry that has its configuration, and has heard of no target. */
struct start_fixture
{
  core::instant mNow{ 1000s };
  entry::effects mEffects;
  entry::entry_control mControl;

  start_fixture()
    : mControl(entry::MakeEntry(Options(), 5, 1, mNow, mEffects))
  {
    const entry::configuration_row row{
      { 1, "[state]\nformat = 1\nname = x\n[service plans]\ntargets = *\n" },
      "",
      "",
      1
    };
    entry::OnConfigurationRead(mControl, row, mNow, mNow, mEffects);
    mEffects.clear();
  }

  static entry::entry_options Options()
  {
    entry::entry_options options;
    options.mName = "a";
    options.mAddress = "a:1";
    options.mLeasedRuns = true;
    options.mOrder.mPolicy = job::order_policy::Objective;
    return options;
  }

  void Submit()
  {
    job::submission submission;
    submission.mKey = "j";
    submission.mService = "plans";
    submission.mAttempt = job::kFirstAttempt;
    submission.mDeadline = 5s;
    submission.mObjective = { 150, 60ms };
    submission.mTasks.assign(1, { "kind", 100ms, "", {} });
    entry::OnSubmit(mControl, 1, submission, mNow, mEffects);
  }

  std::size_t Answers() const
  {
    std::size_t answers = 0;
    for (const auto& effect : mEffects) {
      answers += std::holds_alternative<entry::answer_caller>(effect) ? 1 : 0;
    }
    return answers;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_start)

BOOST_FIXTURE_TEST_CASE(an_entry_without_targets_is_not_ready_at_first,
                        start_fixture)
{
  BOOST_TEST(!entry::IsReady(mControl, mNow));
  BOOST_TEST(entry::IsReady(mControl, mNow + 3s));
}

BOOST_FIXTURE_TEST_CASE(a_job_waits_for_targets_that_are_expected,
                        start_fixture)
{
  Submit();
  BOOST_TEST(Answers() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_job_is_refused_once_no_target_has_come, start_fixture)
{
  mNow += 3s;
  Submit();
  BOOST_TEST(Answers() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
