#include "agent/target_call.h"

#include "libgooseberryio/http_server.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/** A target whose first call gets no answer, and whose copies do. */
class forgetful_target
{
public:
  forgetful_target()
    : mServer(io::http_server_settings{})
  {
    mServer.Route("POST", "/v1/tasks", [this](const io::http_request& aCall) {
      if (aCall.mHeaders.count("x-gooseberry-copy") == 0) {
        ++mRuns;
        std::unique_lock lock(mMutex);
        mEnded.wait(lock, [this] { return mStopping; });
        return io::http_response{};
      }
      ++mCopies;
      io::http_response response;
      response.mBody = "the result";
      return response;
    });
    BOOST_REQUIRE(!mServer.Start());
  }

  ~forgetful_target()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mEnded.notify_all();
    mServer.Stop();
  }

  agent::run_task Task() const
  {
    agent::run_task task;
    task.mTargetAddress = "127.0.0.1:" + std::to_string(mServer.Port());
    task.mStart.mTask = { "team/job", 0 };
    task.mMaxTime = 60s;
    return task;
  }

  std::atomic<int> mRuns{ 0 };
  std::atomic<int> mCopies{ 0 };

private:
  std::mutex mMutex;
  std::condition_variable mEnded;
  bool mStopping = false;
  io::http_server mServer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_call_suite)

BOOST_AUTO_TEST_CASE(a_copy_finds_the_run_of_a_call_without_an_answer)
{
  forgetful_target target;
  io::http_client client;
  agent::run_task task = target.Task();
  task.mResendAfter = 100ms;
  const auto report = agentd::CallTarget(client, task, 1000);
  BOOST_TEST((report.mEnd == core::task_end::Succeeded));
  BOOST_TEST(report.mPayload == "the result");
  BOOST_TEST(target.mRuns == 1);
  BOOST_TEST(target.mCopies >= 1);
}

BOOST_AUTO_TEST_CASE(without_leave_a_call_is_sent_once_and_its_end_is_unknown)
{
  forgetful_target target;
  io::http_client client;
  agent::run_task task = target.Task();
  task.mMaxTime = 300ms;
  const auto report = agentd::CallTarget(client, task, 1000);
  BOOST_TEST((report.mEnd == core::task_end::Unknown));
  BOOST_TEST(target.mRuns == 1);
  BOOST_TEST(target.mCopies == 0);
}

BOOST_AUTO_TEST_SUITE_END()
