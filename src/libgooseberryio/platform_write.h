#pragma once

#include "libgooseberryio/platform_row.h"
#include "libgooseberryio/platform_transport.h"

#include <optional>
#include <string>
#include <variant>

namespace gooseberry::io {

/** Reads a row with the id of the request that wrote it. */
std::variant<stored_row, not_found, core::error>
ReadStoredRow(platform_transport& aTransport,
              const std::string& aUrl,
              const std::string& aKey,
              retry_budget& aBudget);

/** One write, from the first sending to the point where it is settled. */
class row_write
{
public:
  row_write(platform_transport& aTransport,
            std::string aUrl,
            std::string aKey,
            std::optional<row_version> aExpected);

  /** Sends, repeats and reads back until the outcome is known. */
  write_result Run(const std::string& aValue);

private:
  /** The outcome that an answer settles, if it settles it. */
  std::optional<write_result> Judge(const call_result<http_reply>& aAnswer);
  /** The outcome that the row as it is now settles, if it settles it. */
  std::optional<write_result> JudgeRow(const stored_row& aRow);
  std::optional<write_result> ReadBack();
  core::error Failure(const std::string& aReason) const;

  platform_transport& mTransport;
  const std::string mUrl;
  const std::string mKey;
  const std::optional<row_version> mExpected;
  const std::string mRequestId;
  retry_budget mBudget;
  bool mUnclear = false; ///< An earlier sending may yet take effect.
  std::string mLastReason;
};

} // namespace gooseberry::io
