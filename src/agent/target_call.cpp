#include "agent/target_call.h"

#include "libgooseberryio/clock.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <variant>

namespace gooseberry::agentd {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kFirstErrorStatus = 400;
constexpr core::duration kConnectDeadline = std::chrono::milliseconds(500);

io::http_call
MakeCall(const agent::run_task& aTask, std::size_t aMaxResult)
{
  const auto& start = aTask.mStart;
  io::http_call call;
  call.mMethod = "POST";
  call.mUrl = "http://" + aTask.mTargetAddress + "/v1/tasks";
  call.mHeaders = { { "X-Gooseberry-Task", core::ToString(start.mTask) },
                    { "X-Gooseberry-Try", std::to_string(start.mTry) },
                    { "X-Gooseberry-Service", start.mService },
                    { "X-Gooseberry-Kind", start.mKind } };
  call.mContentType = "application/octet-stream";
  call.mBody = start.mPayload;
  call.mDeadline = aTask.mMaxTime;
  call.mConnectDeadline = kConnectDeadline;
  call.mMaxReply = aMaxResult;
  return call;
}

/** Any status but 200 is a definite failure, as long as it is final. */
core::task_end
EndOf(unsigned aStatus)
{
  if (aStatus == kStatusOk) {
    return core::task_end::Succeeded;
  }
  return aStatus >= kFirstErrorStatus ? core::task_end::Failed
                                      : core::task_end::Unknown;
}

/** Whether the call, or an earlier copy of it, may have reached the target. */
bool
MayHaveArrived(const io::call_result<io::http_reply>& aResult)
{
  const auto* failure = std::get_if<io::call_error>(&aResult);
  return failure != nullptr && failure->mDelivered;
}

/**
 * Sends the call, and sends it again over a new connection while a target that
 * allows it gives no answer: a connection that went silent costs one interval.
 */
io::call_result<io::http_reply>
SendUntilAnswered(io::http_client& aClient,
                  const agent::run_task& aTask,
                  std::size_t aMaxResult)
{
  io::http_call call = MakeCall(aTask, aMaxResult);
  if (!aTask.mResendAfter) {
    return aClient.Send(call);
  }
  const core::instant end = io::Now() + aTask.mMaxTime;
  call.mDeadline = std::min(*aTask.mResendAfter, aTask.mMaxTime);
  auto result = aClient.Send(call);
  for (int copy = 1; MayHaveArrived(result) && io::Now() < end; ++copy) {
    call.mHeaders["X-Gooseberry-Copy"] = std::to_string(copy);
    call.mDeadline = std::min(*aTask.mResendAfter, end - io::Now());
    if (auto again = aClient.Send(call);
        MayHaveArrived(again) ||
        std::holds_alternative<io::http_reply>(again)) {
      result = std::move(again);
    } else {
      std::this_thread::sleep_for(call.mDeadline);
    }
  }
  return result;
}

} // namespace

agent::task_report
CallTarget(io::http_client& aClient,
           const agent::run_task& aTask,
           std::size_t aMaxResult)
{
  agent::task_report report;
  report.mTask = aTask.mStart.mTask;
  report.mTry = aTask.mStart.mTry;
  const auto before = io::Now();
  auto result = SendUntilAnswered(aClient, aTask, aMaxResult);
  report.mRunTime = io::Now() - before;
  if (auto* reply = std::get_if<io::http_reply>(&result)) {
    report.mEnd = EndOf(reply->mStatus);
    report.mPayload = std::move(reply->mBody);
  } else {
    const auto& failure = std::get<io::call_error>(result);
    report.mEnd =
      failure.mDelivered ? core::task_end::Unknown : core::task_end::Returned;
    report.mPayload = core::ToString(failure.mError);
  }
  return report;
}

} // namespace gooseberry::agentd
