#include "entry/effect_runner.h"

#include "libgooseberryio/clock.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/rows.h"

namespace gooseberry::entry_program {

namespace {

/** A stored configuration, with the table's version of its row. */
core::result<entry::configuration_row>
ToConfiguration(const io::table_row& aRow)
{
  auto parsed = io::ParseConfiguration(aRow.mValue);
  if (auto* row = std::get_if<entry::configuration_row>(&parsed)) {
    row->mRowVersion = aRow.mVersion;
  }
  return parsed;
}

/** The stored configuration; an empty one where there is none yet. */
core::result<entry::configuration_row>
ReadConfiguration(io::table_store& aClient)
{
  const auto read =
    aClient.ReadRow(io::kConfigurationTable, io::kConfigurationKey);
  if (const auto* error = std::get_if<core::error>(&read)) {
    return *error;
  }
  const auto* row = std::get_if<io::table_row>(&read);
  return row == nullptr ? entry::configuration_row{} : ToConfiguration(*row);
}

entry::write_result
ToWriteResult(const io::write_result& aResult, entry::configuration_row aRow)
{
  entry::write_result result;
  result.mRow = std::move(aRow);
  if (const auto* written = std::get_if<io::row_written>(&aResult)) {
    result.mRow.mRowVersion = written->mVersion;
    return result;
  }
  if (const auto* conflict = std::get_if<io::write_conflict>(&aResult)) {
    result.mStatus = entry::apply_status::Conflict;
    result.mRow = {};
    if (conflict->mCurrent) {
      auto winner = ToConfiguration(*conflict->mCurrent);
      if (auto* row = std::get_if<entry::configuration_row>(&winner)) {
        result.mRow = std::move(*row);
      }
    }
    result.mError = { "apply configuration",
                      result.mRow.mBy,
                      "another change came first" };
    return result;
  }
  result.mStatus = entry::apply_status::Unsettled;
  result.mError = std::get<core::error>(aResult);
  return result;
}

} // namespace

void
runner::PostPlatform(platform_worker::call aCall, input aOnDropped)
{
  if (!mPlatform.Post(std::move(aCall))) {
    Feed(std::move(aOnDropped));
  }
}

void
runner::Do(const entry::read_members& aEffect)
{
  static_cast<void>(aEffect);
  const auto failed = [](auto& aControl, auto aNow, auto& aEffects) {
    entry::OnMembersFailed(aControl, aNow, aEffects);
  };
  PostPlatform(
    [this, failed](io::table_store& aClient) {
      const core::instant sentAt = io::Now();
      const auto result = aClient.ListRows(io::kMembersTable);
      const auto* rows = std::get_if<std::vector<io::table_row>>(&result);
      if (rows == nullptr) {
        Feed(failed);
        return;
      }
      Feed([members = io::ParseMembers(*rows, mLoggedRows),
            sentAt](auto& aControl, auto aNow, auto& aEffects) {
        entry::OnMembers(aControl, members, sentAt, aNow, aEffects);
      });
    },
    failed);
}

void
runner::Do(const entry::write_member& aEffect)
{
  PostPlatform(
    [this, row = aEffect.mRow](io::table_store& aClient) {
      const auto result = aClient.WriteRow(io::kMembersTable,
                                           membership::RowKey(row),
                                           io::FormatMember(row),
                                           std::nullopt);
      const bool stands = std::holds_alternative<io::row_written>(result);
      Feed([stands](auto& aControl, auto aNow, auto& aEffects) {
        entry::OnMemberWritten(aControl, stands, aNow, aEffects);
      });
    },
    [](auto& aControl, auto aNow, auto& aEffects) {
      entry::OnMemberWritten(aControl, false, aNow, aEffects);
    });
}

void
runner::Do(const entry::delete_member& aEffect)
{
  static_cast<void>(
    mPlatform.Post([row = aEffect.mRow](io::table_store& aClient) {
      static_cast<void>(aClient.DeleteRow(
        io::kMembersTable, membership::RowKey(row), std::nullopt));
    }));
}

void
runner::Do(const entry::read_configuration& aEffect)
{
  static_cast<void>(aEffect);
  const auto failed = [](const core::error& aError, core::instant aSentAt) {
    return [aError, aSentAt](auto& aControl, auto aNow, auto& aEffects) {
      entry::OnConfigurationReadFailed(
        aControl, aError, aSentAt, aNow, aEffects);
    };
  };
  PostPlatform(
    [this, failed](io::table_store& aClient) {
      const core::instant sentAt = io::Now();
      const auto read = ReadConfiguration(aClient);
      if (const auto* error = std::get_if<core::error>(&read)) {
        return Feed(failed(*error, sentAt));
      }
      Feed([row = std::get<entry::configuration_row>(read),
            sentAt](auto& aControl, auto aNow, auto& aEffects) {
        entry::OnConfigurationRead(aControl, row, sentAt, aNow, aEffects);
      });
    },
    failed(
      { "read configuration", "table service", "too many calls are waiting" },
      io::Now()));
}

void
runner::Do(const entry::write_configuration& aEffect)
{
  PostPlatform(
    [this, row = aEffect.mRow](io::table_store& aClient) {
      const auto result = aClient.WriteRow(io::kConfigurationTable,
                                           io::kConfigurationKey,
                                           io::FormatConfiguration(row),
                                           row.mRowVersion);
      Feed([request = row.mRequest, written = ToWriteResult(result, row)](
             auto& aControl, auto aNow, auto& aEffects) {
        entry::OnConfigurationWritten(
          aControl, request, written, aNow, aEffects);
      });
    },
    [request =
       aEffect.mRow.mRequest](auto& aControl, auto aNow, auto& aEffects) {
      entry::write_result result;
      result.mStatus = entry::apply_status::Unsettled;
      result.mError = { "apply configuration",
                        "table service",
                        "too many calls are waiting" };
      entry::OnConfigurationWritten(aControl, request, result, aNow, aEffects);
    });
}

} // namespace gooseberry::entry_program
