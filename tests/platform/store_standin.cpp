#include "store_standin.h"

#include "libgooseberryio/json.h"
#include "platform/base64.h"

#include <stdexcept>
#include <thread>

namespace gooseberry::test {

namespace {

using nlohmann::json;

constexpr core::duration kClientDeadline = std::chrono::milliseconds(150);

json
RowOf(const std::string& aTable,
      const std::string& aKey,
      const std::string& aValue,
      std::uint64_t aVersion)
{
  return { { "table", aTable },
           { "part", "" },
           { "key", aKey },
           { "value", aValue },
           { "rowVersion", aVersion } };
}

io::http_response
Status(unsigned aStatus)
{
  io::http_response response;
  response.mStatus = aStatus;
  return response;
}

} // namespace

store_standin::store_standin()
  : mServer({ .mAddress = "127.0.0.1:0" })
{
  mServer.Route("GET", "/rows-get", [this](const auto& aRequest) {
    return Serve(aRequest, true);
  });
  mServer.Route("POST", "/rows-tx", [this](const auto& aRequest) {
    return Serve(aRequest, false);
  });
  if (const auto error = mServer.Start()) {
    throw std::runtime_error(error->mReason);
  }
}

io::platform_settings
store_standin::Settings() const
{
  io::platform_settings settings;
  settings.mUrl = "http://127.0.0.1:" + std::to_string(mServer.Port());
  settings.mDeadline = kClientDeadline;
  settings.mBudget = 4 * kClientDeadline;
  settings.mFirstPause = std::chrono::milliseconds(1);
  return settings;
}

void
store_standin::Fail(std::deque<store_fault> aFaults)
{
  const std::lock_guard lock(mMutex);
  mFaults = std::move(aFaults);
}

void
store_standin::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  ++mVersion;
  mTables[aTable].erase(aKey);
}

void
store_standin::Put(const std::string& aTable,
                   const std::string& aKey,
                   const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  mTables[aTable][aKey] = { platform::EncodeBase64(aText), ++mVersion };
}

void
store_standin::Say(std::deque<std::string> aBodies)
{
  const std::lock_guard lock(mMutex);
  mBodies = std::move(aBodies);
}

std::size_t
store_standin::Calls() const
{
  const std::lock_guard lock(mMutex);
  return mCalls;
}

std::size_t
store_standin::BytesRead() const
{
  const std::lock_guard lock(mMutex);
  return mBytesRead;
}

io::http_response
store_standin::Serve(const io::http_request& aRequest, bool aIsRead)
{
  auto fault = store_fault::None;
  io::http_response response;
  {
    const std::lock_guard lock(mMutex);
    ++mCalls;
    if (!mFaults.empty()) {
      fault = mFaults.front();
      mFaults.pop_front();
    }
    if (fault == store_fault::Unavailable || fault == store_fault::TooMany) {
      return Status(fault == store_fault::TooMany ? 429 : 503);
    }
    if (!mBodies.empty()) {
      response.mBody = mBodies.front();
      if (mBodies.size() > 1) {
        mBodies.pop_front();
      }
      return response;
    }
    response = aIsRead ? Read(aRequest) : Write(aRequest);
  }
  if (fault == store_fault::Unreadable) {
    response.mBody = "{\"rows\": [\xff";
  }
  response.mCutShort = fault == store_fault::AnswerLost;
  if (fault == store_fault::Late) {
    std::this_thread::sleep_for(2 * kClientDeadline);
  }
  return response;
}

io::http_response
store_standin::Read(const io::http_request& aRequest) const
{
  json rows = json::array();
  const std::string& table = aRequest.mQuery.at("table");
  if (const auto found = mTables.find(table); found != mTables.end()) {
    const auto from = aRequest.mQuery.find("from");
    for (const auto& [key, row] : found->second) {
      if (from == aRequest.mQuery.end() || key >= from->second) {
        rows.push_back(RowOf(table, key, row.mValue, row.mVersion));
      }
    }
  }
  io::http_response response;
  response.mBody = json{
    { "rows", rows }, { "morePages", false }, { "rowVersion", mVersion }
  }.dump();
  mBytesRead += response.mBody.size();
  return response;
}

io::http_response
store_standin::Write(const io::http_request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  for (const json& expected : body.value("expectedRev", json::array())) {
    const row& known = mTables[expected.at("table")][expected.at("key")];
    if (known.mVersion != expected.at("rowVersion").get<std::uint64_t>()) {
      return Status(412);
    }
  }
  ++mVersion;
  for (const json& write : body.value("writes", json::array())) {
    mTables[write.at("table")][write.at("key")] = { write.at("value"),
                                                    mVersion };
  }
  for (const json& gone : body.value("remove", json::array())) {
    mTables[gone.at("table")].erase(gone.at("key").get<std::string>());
  }
  io::http_response response;
  response.mBody = json{ { "rowVersion", mVersion } }.dump();
  return response;
}

} // namespace gooseberry::test
