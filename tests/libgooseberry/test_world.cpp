#include "world.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;
using core::job_outcome;

BOOST_AUTO_TEST_SUITE(whole_path)

BOOST_AUTO_TEST_CASE(a_first_attempt_comes_back_whole)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(2s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 1U);
  BOOST_TEST(cluster.Starts().size() == 5U);
}

BOOST_AUTO_TEST_CASE(a_resubmission_elsewhere_attaches)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(10ms);
  cluster.Submit(1, "a", 2, 5, false);
  cluster.Submit(2, "a", 2, 5, false);
  cluster.RunFor(3s);
  cluster.Submit(2, "a", 3, 5, false);
  cluster.RunFor(3s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 4U);
  BOOST_TEST(cluster.Starts().size() == 5U);
}

BOOST_AUTO_TEST_CASE(rival_resubmissions_of_an_unknown_job_run_it_once)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  for (std::size_t entry = 0; entry < 3; ++entry) {
    cluster.Submit(entry, "a", 2, 4, false);
  }
  cluster.RunFor(5s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 3U);
  BOOST_TEST(cluster.Starts().size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_job_is_recovered_after_its_entry_died)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 12, false);
  cluster.RunFor(100ms);
  cluster.KillEntry(0);
  cluster.Submit(1, "a", 2, 12, false);
  cluster.RunFor(10s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 1U);
  BOOST_TEST(cluster.Starts().size() == 12U);
}

BOOST_AUTO_TEST_CASE(a_paused_entry_loses_its_job_and_starts_no_more)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 30, false);
  cluster.RunFor(50ms);
  cluster.PauseEntry(0, 8s);
  cluster.Submit(1, "a", 2, 30, false);
  cluster.RunFor(20s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 2U);
  BOOST_TEST(cluster.Starts().size() == 30U);
}

BOOST_AUTO_TEST_CASE(a_dead_agent_leaves_the_outcome_unknown)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.Submit(0, "a", 1, 6, true);
  cluster.RunFor(20ms);
  cluster.KillAgent(1);
  cluster.RunFor(100ms);
  cluster.StartAgent(1);
  cluster.RunFor(20s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_REQUIRE(cluster.CountAnswers(job_outcome::Failed) == 1U);
  BOOST_TEST(cluster.Answers()[0].mAnswer.mReason.find("outcome unknown") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_domain_taken_out_gets_no_start)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  for (int i = 0; i < 100; ++i) {
    cluster.Submit(i % 3, "job-" + std::to_string(i), 1, 3, true, 60s);
    if (i == 20) {
      cluster.SetDomain(1, "brasov", false);
    }
    if (i == 70) {
      cluster.SetDomain(2, "brasov", true);
    }
    cluster.RunFor(100ms);
  }
  cluster.RunFor(30s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 100U);
}

BOOST_AUTO_TEST_CASE(work_goes_on_while_the_store_is_down)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.SetStore(false);
  cluster.RunFor(10s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(3s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::Complete) == 1U);
}

BOOST_AUTO_TEST_CASE(a_lone_entry_without_the_store_says_not_run)
{
  world::cluster cluster({});
  cluster.RunFor(3s);
  cluster.SetStore(false);
  cluster.KillEntry(1);
  cluster.KillEntry(2);
  cluster.RunFor(5s);
  cluster.Submit(0, "a", 1, 5, false);
  cluster.RunFor(3s);
  BOOST_TEST(cluster.Check() == "");
  BOOST_TEST(cluster.CountAnswers(job_outcome::NotRun) == 1U);
  BOOST_TEST(cluster.Starts().empty());
}

BOOST_AUTO_TEST_SUITE_END()
