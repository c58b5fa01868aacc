#include "libgooseberryio/platform_write.h"

namespace gooseberry::io {
namespace {

std::string
NewRequestId()
{
  return std::to_string(RandomNumber()) + "-" + std::to_string(RandomNumber());
}

} // namespace

std::variant<stored_row, not_found, core::error>
ReadStoredRow(platform_transport& aTransport,
              const std::string& aUrl,
              const std::string& aKey,
              retry_budget& aBudget)
{
  http_call call;
  call.mUrl = aUrl;
  auto answer = aTransport.Repeat(call, aBudget);
  if (auto* const failure = std::get_if<core::error>(&answer)) {
    return std::move(*failure);
  }
  const auto& reply = std::get<http_reply>(answer);
  if (reply.mStatus == kStatusNotFound) {
    return not_found{};
  }
  if (!IsDone(reply.mStatus)) {
    return core::error{ .mStep = "read row",
                        .mPeer = aUrl,
                        .mReason = "status " + std::to_string(reply.mStatus) };
  }
  auto row = ParseRow(aKey, reply.mBody);
  if (auto* const failure = std::get_if<core::error>(&row)) {
    return std::move(*failure);
  }
  return std::move(std::get<stored_row>(row));
}

row_write::row_write(platform_transport& aTransport,
                     std::string aUrl,
                     std::string aKey,
                     std::optional<row_version> aExpected)
  : mTransport(aTransport)
  , mUrl(std::move(aUrl))
  , mKey(std::move(aKey))
  , mExpected(aExpected)
  , mRequestId(NewRequestId())
  , mBudget(aTransport.Settings())
{
}

write_result
row_write::Run(const std::string& aValue)
{
  auto body = FormatRowWrite(aValue, mRequestId, mExpected);
  if (auto* const bad = std::get_if<core::error>(&body)) {
    return std::move(*bad);
  }
  http_call call;
  call.mMethod = "PUT";
  call.mUrl = mUrl;
  call.mBody = std::move(std::get<std::string>(body));
  while (true) {
    if (auto outcome = Judge(mTransport.Send(call, mBudget))) {
      return std::move(*outcome);
    }
    if (mUnclear) {
      if (auto outcome = ReadBack()) {
        return std::move(*outcome);
      }
    }
    // Sent again it takes effect at most once where a version is expected.
    if (!mTransport.Pause(mBudget)) {
      return Failure(mLastReason);
    }
  }
}

std::optional<write_result>
row_write::Judge(const call_result<http_reply>& aAnswer)
{
  if (const auto* const failure = std::get_if<call_error>(&aAnswer)) {
    mUnclear = mUnclear || failure->mDelivered;
    mLastReason = failure->mError.mReason;
    return std::nullopt;
  }
  const auto& reply = std::get<http_reply>(aAnswer);
  mLastReason = "status " + std::to_string(reply.mStatus);
  if (IsDone(reply.mStatus)) {
    const auto version = ParseVersion(reply.mBody);
    if (const auto* const number = std::get_if<row_version>(&version)) {
      return row_written{ *number };
    }
    mUnclear = true;
    return std::nullopt;
  }
  if (reply.mStatus == kStatusConflict) {
    const auto row = ParseRow(mKey, reply.mBody);
    if (const auto* const current = std::get_if<stored_row>(&row)) {
      return JudgeRow(*current);
    }
    if (mUnclear) {
      return Failure("the row is gone");
    }
    return write_conflict{};
  }
  if (IsTransient(reply.mStatus)) {
    mUnclear = true;
    return std::nullopt;
  }
  return Failure(mLastReason);
}

std::optional<write_result>
row_write::JudgeRow(const stored_row& aRow)
{
  if (aRow.mRequestId == mRequestId) {
    return row_written{ aRow.mRow.mVersion };
  }
  if (!mExpected || aRow.mRow.mVersion == *mExpected) {
    return std::nullopt; // Not yet written.
  }
  // The version after the expected one is another's: ours lost for certain.
  // Later ones do not tell whether ours came in between.
  if (!mUnclear || aRow.mRow.mVersion == *mExpected + 1) {
    return write_conflict{ aRow.mRow };
  }
  return Failure("the row was written again since");
}

std::optional<write_result>
row_write::ReadBack()
{
  const auto row = ReadStoredRow(mTransport, mUrl, mKey, mBudget);
  if (const auto* const current = std::get_if<stored_row>(&row)) {
    return JudgeRow(*current);
  }
  if (const auto* const failure = std::get_if<core::error>(&row)) {
    return Failure(failure->mReason);
  }
  if (mExpected && *mExpected != kAbsent) {
    return Failure("the row is gone");
  }
  return std::nullopt; // Absent, as it was.
}

core::error
row_write::Failure(const std::string& aReason) const
{
  const std::string prefix = mUnclear ? std::string(kUnsettled) + ": " : "";
  return { .mStep = "write row", .mPeer = mUrl, .mReason = prefix + aReason };
}

} // namespace gooseberry::io
