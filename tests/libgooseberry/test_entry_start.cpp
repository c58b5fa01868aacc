#include "entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

/** Load pattern: all processes restart while callers submit jobs. Guards
 * against refusals before the first load reports have arrived. */
namespace {

/** An entry with its configuration and without known targets. */
struct start_fixture : entry::test::leased_entry
{
  void Submit()
  {
    entry::OnSubmit(
      mControl, 1, entry::test::MakeSubmission("j", 60ms), mNow, mEffects);
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
