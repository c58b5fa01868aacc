#include "platform/job_body.h"

#include <boost/test/unit_test.hpp>

using namespace gooseberry;

namespace {

constexpr const char* kName = "5c0e7a21d94b36f8";
constexpr std::size_t kMaxTasks = 870;

const job::submission&
Taken(const std::variant<platform::job_request, platform::job_refusal>& aParsed)
{
  BOOST_REQUIRE(std::holds_alternative<platform::job_request>(aParsed));
  return std::get<platform::job_request>(aParsed).mSubmission;
}

bool
IsMalformed(const std::string& aBody)
{
  const auto parsed = platform::ParseJob(kName, aBody, kMaxTasks);
  BOOST_REQUIRE(std::holds_alternative<platform::job_refusal>(parsed));
  return std::get<platform::job_refusal>(parsed).mIsMalformed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_body)

BOOST_AUTO_TEST_CASE(a_job_of_one_step_is_taken)
{
  const auto parsed = platform::ParseJob(
    kName,
    R"({"spec":"cut","bestEffort":true,"steps":[)"
    R"({"count":3,"cpu":1600,"memMb":64,"estimateMs":900}]})",
    kMaxTasks);
  const auto& submission = Taken(parsed);
  BOOST_TEST(submission.mKey == kName);
  BOOST_REQUIRE_EQUAL(submission.mTasks.size(), 3U);
  BOOST_TEST(submission.mTasks.back().mNeeds.mCpu == 1'600U);
  BOOST_TEST(submission.mTasks.back().mNeeds.mMemory == 64U);
  BOOST_TEST(
    (submission.mTasks.back().mDeclared == std::chrono::milliseconds(900)));
  BOOST_TEST(submission.mTasks.back().mPayload.Get() == "cut");
}

BOOST_AUTO_TEST_CASE(kinds_that_are_not_served_are_told_from_malformed_ones)
{
  BOOST_TEST(!IsMalformed(R"({"spec":"","steps":[{"count":1}]})"));
  BOOST_TEST(!IsMalformed(
    R"({"spec":"","bestEffort":true,"steps":[{"count":1,"gang":true}]})"));
  BOOST_TEST(!IsMalformed(
    R"({"spec":"","bestEffort":true,"steps":[{"count":1},{"count":1}]})"));
}

BOOST_AUTO_TEST_CASE(malformed_bodies_are_refused)
{
  for (const char* const body :
       { "",
         "{",
         "[]",
         "7",
         "null",
         R"({"spec":"x"})",
         R"({"steps":[{"count":1}],"bestEffort":true})",
         R"({"spec":7,"steps":[{"count":1}],"bestEffort":true})",
         R"({"spec":"","steps":{},"bestEffort":true})",
         R"({"spec":"","steps":[],"bestEffort":true})",
         R"({"spec":"","steps":[7],"bestEffort":true})",
         R"({"spec":"","steps":[{"count":0}],"bestEffort":true})",
         R"({"spec":"","steps":[{"count":-1}],"bestEffort":true})",
         R"({"spec":"","steps":[{"count":99999}],"bestEffort":true})",
         R"({"spec":"","steps":[{"count":"4"}],"bestEffort":true})" }) {
    BOOST_TEST_CONTEXT(body)
    {
      BOOST_TEST(IsMalformed(body));
    }
  }
}

BOOST_AUTO_TEST_CASE(numbers_that_cannot_be_true_are_refused)
{
  for (const char* const field :
       { "count", "cpu", "memMb", "gpus", "estimateMs" }) {
    for (const char* const number : { "-1",
                                      "1e300",
                                      "-1e300",
                                      "4294967297",
                                      "18446744073709551615",
                                      "18446744073709551616",
                                      "true",
                                      "null",
                                      "\"1\"",
                                      "[1]" }) {
      BOOST_TEST_CONTEXT(field << ": " << number)
      {
        const std::string rest =
          std::string(field) == "count" ? "" : R"("count":1,)";
        BOOST_TEST(IsMalformed(R"({"spec":"","bestEffort":true,"steps":[{)" +
                               rest + '"' + field + "\":" + number + "}]}"));
      }
    }
  }
  for (const char* const number : { "-1", "1e300", "\"1\"", "4294967296.5" }) {
    BOOST_TEST_CONTEXT(number)
    {
      BOOST_TEST(IsMalformed(
        R"({"spec":"","bestEffort":true,"steps":[{"count":1}],"repeatCount":)" +
        std::string(number) + "}"));
    }
  }
}

// Memory: each task of a job takes room before the job is admitted, however
// small its body is.
BOOST_AUTO_TEST_CASE(a_job_has_a_largest_number_of_tasks)
{
  const auto body = [](std::size_t aCount) {
    return R"({"spec":"","bestEffort":true,"steps":[{"count":)" +
           std::to_string(aCount) + "}]}";
  };
  BOOST_TEST(IsMalformed(body(kMaxTasks + 1)));
  const auto parsed = platform::ParseJob(kName, body(kMaxTasks), kMaxTasks);
  BOOST_TEST(Taken(parsed).mTasks.size() == kMaxTasks);
}

BOOST_AUTO_TEST_CASE(a_rough_estimate_need_not_be_whole)
{
  const auto parsed =
    platform::ParseJob(kName,
                       R"({"spec":"","bestEffort":true,"steps":[)"
                       R"({"count":1,"cpu":500.0,"estimateMs":903.7}]})",
                       kMaxTasks);
  const auto& task = Taken(parsed).mTasks.front();
  BOOST_TEST((task.mDeclared == std::chrono::milliseconds(903)));
  BOOST_TEST(task.mNeeds.mCpu == 500U);
}

BOOST_AUTO_TEST_CASE(the_callers_own_deadline_goes_before_the_queues)
{
  configuration::named_queue queue{ "q", {} };
  queue.mQueue.mTimeout = std::chrono::milliseconds(1'500);
  queue.mQueue.mMaxTries = 3;
  job::submission submission;
  platform::ApplyQueue(queue, std::nullopt, submission);
  BOOST_TEST((submission.mDeadline == std::chrono::milliseconds(1'500)));
  platform::ApplyQueue(queue, std::chrono::milliseconds(2'500), submission);
  BOOST_TEST((submission.mDeadline == std::chrono::milliseconds(2'500)));
  BOOST_TEST(submission.mMaxTries == 3U);
}

BOOST_AUTO_TEST_CASE(task_names_are_read_back)
{
  const core::task_ref task{ kName, 17 };
  const std::string name = platform::FormatTaskName(task);
  BOOST_TEST(name == std::string(kName) + ".0.0.17");
  BOOST_TEST((platform::ParseTaskName(name) == task));
  for (const char* const other : { "",
                                   "x",
                                   "5c0e7a21d94b36f8",
                                   "5c0e7a21d94b36f8.0.0.",
                                   "5c0e7a21d94b36f8.0.0.x",
                                   "5c0e7a21d94b36f8.0.1.17",
                                   "5c0e7a21d94b36fz.0.0.17",
                                   "5c0e7a21d94b36f8.0.0.17.1" }) {
    BOOST_TEST_CONTEXT(other)
    {
      BOOST_TEST(!platform::ParseTaskName(other).has_value());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
