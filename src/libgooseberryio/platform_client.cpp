#include "libgooseberryio/platform_client.h"

#include "libgooseberryio/platform_row.h"
#include "libgooseberryio/platform_transport.h"
#include "libgooseberryio/platform_write.h"

namespace gooseberry::io {
namespace {

core::error
StatusError(const std::string& aStep,
            const std::string& aUrl,
            const http_reply& aReply)
{
  return { .mStep = aStep,
           .mPeer = aUrl,
           .mReason = "status " + std::to_string(aReply.mStatus) };
}

} // namespace

struct platform_client::state
{
  explicit state(const platform_settings& aSettings)
    : mTransport(aSettings)
  {
  }

  std::string RowsUrl(const std::string& aTable) const
  {
    return mTransport.Settings().mUrl + "/v1/tables/" + EscapeUrl(aTable) +
           "/rows";
  }

  std::string RowUrl(const std::string& aTable, const std::string& aKey) const
  {
    return RowsUrl(aTable) + "/" + EscapeUrl(aKey);
  }

  std::string ObjectUrl(const std::string& aName) const
  {
    return mTransport.Settings().mUrl + "/v1/objects/" + EscapeUrl(aName);
  }

  platform_transport mTransport;
};

platform_client::platform_client(const platform_settings& aSettings)
  : mState(std::make_unique<state>(aSettings))
{
}

platform_client::~platform_client() = default;

read_result
platform_client::ReadRow(const std::string& aTable, const std::string& aKey)
{
  retry_budget budget(mState->mTransport.Settings());
  auto row = ReadStoredRow(
    mState->mTransport, mState->RowUrl(aTable, aKey), aKey, budget);
  if (auto* const found = std::get_if<stored_row>(&row)) {
    return std::move(found->mRow);
  }
  if (auto* const failure = std::get_if<core::error>(&row)) {
    return std::move(*failure);
  }
  return not_found{};
}

list_result
platform_client::ListRows(const std::string& aTable)
{
  retry_budget budget(mState->mTransport.Settings());
  http_call call;
  call.mUrl = mState->RowsUrl(aTable);
  auto answer = mState->mTransport.Repeat(call, budget);
  if (auto* const failure = std::get_if<core::error>(&answer)) {
    return std::move(*failure);
  }
  const auto& reply = std::get<http_reply>(answer);
  if (!IsDone(reply.mStatus)) {
    return StatusError("list rows", call.mUrl, reply);
  }
  return ParseRows(reply.mBody);
}

write_result
platform_client::WriteRow(const std::string& aTable,
                          const std::string& aKey,
                          const std::string& aValue,
                          std::optional<row_version> aExpected)
{
  row_write write(
    mState->mTransport, mState->RowUrl(aTable, aKey), aKey, aExpected);
  return write.Run(aValue);
}

delete_result
platform_client::DeleteRow(const std::string& aTable,
                           const std::string& aKey,
                           std::optional<row_version> aExpected)
{
  retry_budget budget(mState->mTransport.Settings());
  http_call call;
  call.mMethod = "DELETE";
  call.mUrl = mState->RowUrl(aTable, aKey);
  if (aExpected) {
    call.mUrl += "?if_version=" + std::to_string(*aExpected);
  }
  auto answer = mState->mTransport.Repeat(call, budget);
  if (auto* const failure = std::get_if<core::error>(&answer)) {
    return std::move(*failure);
  }
  const auto& reply = std::get<http_reply>(answer);
  if (IsDone(reply.mStatus) || reply.mStatus == kStatusNotFound) {
    return row_deleted{};
  }
  if (reply.mStatus != kStatusConflict) {
    return StatusError("delete row", call.mUrl, reply);
  }
  write_conflict conflict;
  auto row = ParseRow(aKey, reply.mBody);
  if (auto* const current = std::get_if<stored_row>(&row)) {
    conflict.mCurrent = std::move(current->mRow);
  }
  return conflict;
}

put_result
platform_client::PutObject(const std::string& aName, const std::string& aBytes)
{
  retry_budget budget(mState->mTransport.Settings());
  http_call call;
  call.mMethod = "PUT";
  call.mUrl = mState->ObjectUrl(aName);
  call.mContentType = "application/octet-stream";
  call.mBody = aBytes;
  auto answer = mState->mTransport.Repeat(call, budget);
  if (auto* const failure = std::get_if<core::error>(&answer)) {
    return std::move(*failure);
  }
  const auto& reply = std::get<http_reply>(answer);
  if (!IsDone(reply.mStatus)) {
    return StatusError("put object", call.mUrl, reply);
  }
  return object_stored{};
}

get_result
platform_client::GetObject(const std::string& aName)
{
  retry_budget budget(mState->mTransport.Settings());
  http_call call;
  call.mUrl = mState->ObjectUrl(aName);
  auto answer = mState->mTransport.Repeat(call, budget);
  if (auto* const failure = std::get_if<core::error>(&answer)) {
    return std::move(*failure);
  }
  auto& reply = std::get<http_reply>(answer);
  if (reply.mStatus == kStatusNotFound) {
    return not_found{};
  }
  if (!IsDone(reply.mStatus)) {
    return StatusError("get object", call.mUrl, reply);
  }
  return std::move(reply.mBody);
}

void
platform_client::Stop()
{
  mState->mTransport.Stop();
}

} // namespace gooseberry::io
