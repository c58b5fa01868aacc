#include "load/client.h"

#include "common/run_record.h"

#include <curl/curl.h>

#include <algorithm>

#include <memory>
#include <queue>
#include <unordered_map>

namespace gooseberry::tools::load {

namespace {

using steady = std::chrono::steady_clock;

constexpr long kKeptConnections = 4000;
constexpr std::chrono::milliseconds kLongestPoll{ 100 };
constexpr std::chrono::milliseconds kTurnDelay{ 2 };
/** Entries tried in turn when none accepts connections. */
constexpr std::uint32_t kMostTurns = 500;

enum class action : std::uint8_t
{
  Submit,
  Cancel,
};

/** Something to be sent at a certain time. */
struct event
{
  steady::time_point mAt;
  action mAction = action::Submit;
  std::size_t mJob = 0;
  std::uint32_t mAttempt = 1;
  std::uint32_t mTurn = 0; ///< Which entry: counted from that of the job.

  bool operator>(const event& aOther) const { return mAt > aOther.mAt; }
};

struct curl_deleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
using easy_handle = std::unique_ptr<CURL, curl_deleter>;

/** A request under way. */
struct transfer
{
  easy_handle mHandle;
  action mAction = action::Submit;
  std::size_t mJob = 0;
  std::uint32_t mTurn = 0;
  answer mAnswer;
  std::string mUrl;
  std::string mRequest;
  std::string mResponse;
};

struct sender
{
  const std::vector<job_plan>& mJobs;
  const client_settings& mSettings;
  CURLM* mMulti = nullptr;
  curl_slist* mHeaders = nullptr;
  steady::time_point mOrigin;
  load_result mResult;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::unordered_map<CURL*, transfer> mTransfers;
  std::vector<easy_handle> mIdle;
};

std::size_t
AppendResponse(char* aData, std::size_t aSize, std::size_t aCount, void* aText)
{
  static_cast<std::string*>(aText)->append(aData, aSize * aCount);
  return aSize * aCount;
}

easy_handle
TakeHandle(sender& aSender)
{
  if (aSender.mIdle.empty()) {
    return easy_handle(curl_easy_init());
  }
  easy_handle handle = std::move(aSender.mIdle.back());
  aSender.mIdle.pop_back();
  curl_easy_reset(handle.get());
  return handle;
}

/** Entries take turns; a resubmission goes to the next one. */
const std::string&
EntryFor(const sender& aSender, const event& aEvent)
{
  const auto& entries = aSender.mSettings.mEntries;
  return entries[(aEvent.mJob + aEvent.mTurn) % entries.size()];
}

void
Prepare(const sender& aSender, transfer& aTransfer)
{
  CURL* curl = aTransfer.mHandle.get();
  const auto timeout =
    aSender.mSettings.mDeadline + aSender.mSettings.mAnswerGrace;
  curl_easy_setopt(curl, CURLOPT_URL, aTransfer.mUrl.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, aSender.mHeaders);
  curl_easy_setopt(
    curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendResponse);
  if (aTransfer.mAction == action::Cancel) {
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "DELETE");
    return;
  }
  curl_easy_setopt(curl, CURLOPT_POST, 1L);
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aTransfer.mRequest.data());
  curl_easy_setopt(
    curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(aTransfer.mRequest.size()));
}

void
Launch(sender& aSender, const event& aEvent)
{
  const job_plan& job = aSender.mJobs[aEvent.mJob];
  job_run& run = aSender.mResult.mRuns[aEvent.mJob];
  transfer made;
  made.mHandle = TakeHandle(aSender);
  made.mAction = aEvent.mAction;
  made.mJob = aEvent.mJob;
  made.mTurn = aEvent.mTurn;
  made.mAnswer.mAttempt = aEvent.mAttempt;
  made.mAnswer.mEntry = EntryFor(aSender, aEvent);
  made.mUrl = "http://" + made.mAnswer.mEntry + "/v1/jobs";
  if (aEvent.mAction == action::Submit) {
    made.mRequest =
      RequestBody(job, aEvent.mAttempt, aSender.mSettings.mDeadline.count());
    ++run.mSubmissions;
  } else {
    if (!run.mAnswers.empty()) {
      return;
    }
    made.mUrl += "/" + job.mName + "?team=" + job.mTeam;
    run.mCancelled = true;
  }
  made.mAnswer.mSentUs = common::WallClockUs();
  CURL* key = made.mHandle.get();
  transfer& placed =
    aSender.mTransfers.emplace(key, std::move(made)).first->second;
  Prepare(aSender, placed);
  curl_easy_setopt(key, CURLOPT_WRITEDATA, &placed.mResponse);
  curl_multi_add_handle(aSender.mMulti, key);
}

/**
 * A connection that was refused carried nothing: the same attempt goes to the
 * next entry, as a balancer would send it.
 */
bool
TryNextEntry(sender& aSender, const transfer& aTransfer, CURLcode aCode)
{
  if (aCode != CURLE_COULDNT_CONNECT || aTransfer.mTurn >= kMostTurns) {
    return false;
  }
  --aSender.mResult.mRuns[aTransfer.mJob].mSubmissions;
  aSender.mEvents.push({ steady::now() + kTurnDelay,
                         action::Submit,
                         aTransfer.mJob,
                         aTransfer.mAnswer.mAttempt,
                         aTransfer.mTurn + 1 });
  return true;
}

void
FinishSubmission(sender& aSender, transfer& aTransfer, CURLcode aCode)
{
  const job_plan& job = aSender.mJobs[aTransfer.mJob];
  job_run& run = aSender.mResult.mRuns[aTransfer.mJob];
  answer& got = aTransfer.mAnswer;
  if (TryNextEntry(aSender, aTransfer, aCode)) {
    return;
  }
  got.mAnsweredUs = common::WallClockUs();
  if (aCode == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(aTransfer.mHandle.get(), CURLINFO_RESPONSE_CODE, &status);
    ReadAnswer(job, status, aTransfer.mResponse, got);
  } else {
    got.mReason = curl_easy_strerror(aCode);
  }
  if (got.mOutcome == core::job_outcome::Complete && !run.mResponse) {
    run.mResponse = std::chrono::duration_cast<microseconds>(
      steady::now() - (aSender.mOrigin + job.mArrival));
  }
  const bool isLost = aCode != CURLE_OK && !run.mResponse;
  if (isLost && run.mSubmissions < aSender.mSettings.mMaxAttempts) {
    aSender.mEvents.push({ steady::now() + aSender.mSettings.mLostDelay,
                           action::Submit,
                           aTransfer.mJob,
                           run.mSubmissions + 1,
                           aTransfer.mTurn + 1 });
  }
  run.mAnswers.push_back(got);
}

void
CollectFinished(sender& aSender)
{
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(aSender.mMulti, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    const auto it = aSender.mTransfers.find(message->easy_handle);
    if (it->second.mAction == action::Submit) {
      FinishSubmission(aSender, it->second, code);
    }
    curl_multi_remove_handle(aSender.mMulti, it->first);
    aSender.mIdle.push_back(std::move(it->second.mHandle));
    aSender.mTransfers.erase(it);
  }
}

void
PlanEvents(sender& aSender)
{
  const client_settings& settings = aSender.mSettings;
  // Spreads the cancelled jobs evenly, whatever their number.
  double cancelDebt = 0;
  for (std::size_t i = 0; i < aSender.mJobs.size(); ++i) {
    const auto at = aSender.mOrigin + aSender.mJobs[i].mArrival;
    aSender.mEvents.push({ at, action::Submit, i, 1, 0 });
    if (settings.mResubmitAll) {
      aSender.mEvents.push(
        { at + settings.mResubmitDelay, action::Submit, i, 2, 1 });
    }
    cancelDebt += settings.mCancelShare;
    if (cancelDebt >= 1) {
      cancelDebt -= 1;
      const auto wave = aSender.mJobs[i].mArrival / settings.mCancelPeriod + 1;
      aSender.mEvents.push({ aSender.mOrigin + wave * settings.mCancelPeriod,
                             action::Cancel,
                             i,
                             1,
                             0 });
    }
  }
}

/** Waits for traffic, but not past the next event. */
void
WaitForWork(sender& aSender)
{
  auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(kLongestPoll);
  if (!aSender.mEvents.empty()) {
    const auto left = aSender.mEvents.top().mAt - steady::now();
    // Rounds down: the last part of a millisecond is spent polling.
    wait =
      std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                 std::chrono::milliseconds(0),
                 kLongestPoll);
  }
  curl_multi_poll(
    aSender.mMulti, nullptr, 0, static_cast<int>(wait.count()), nullptr);
}

void
RunLoop(sender& aSender)
{
  while (!aSender.mEvents.empty() || !aSender.mTransfers.empty()) {
    const auto now = steady::now();
    while (!aSender.mEvents.empty() && aSender.mEvents.top().mAt <= now) {
      const event next = aSender.mEvents.top();
      aSender.mEvents.pop();
      Launch(aSender, next);
    }
    int running = 0;
    curl_multi_perform(aSender.mMulti, &running);
    CollectFinished(aSender);
    WaitForWork(aSender);
  }
}

} // namespace

load_result
SendJobs(const std::vector<job_plan>& aJobs, const client_settings& aSettings)
{
  sender state{ aJobs, aSettings, {}, {}, {}, {}, {}, {}, {} };
  state.mMulti = curl_multi_init();
  curl_multi_setopt(state.mMulti, CURLMOPT_MAXCONNECTS, kKeptConnections);
  curl_multi_setopt(
    state.mMulti, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
  state.mHeaders = curl_slist_append(nullptr, "Content-Type: application/json");
  // Without this libcurl asks before it sends a large body.
  state.mHeaders = curl_slist_append(state.mHeaders, "Expect:");
  state.mResult.mRuns.resize(aJobs.size());
  state.mOrigin = steady::now();
  state.mResult.mOriginUs = common::WallClockUs();
  PlanEvents(state);
  RunLoop(state);
  state.mIdle.clear();
  curl_slist_free_all(state.mHeaders);
  curl_multi_cleanup(state.mMulti);
  return std::move(state.mResult);
}

} // namespace gooseberry::tools::load
