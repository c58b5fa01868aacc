#include "agent/member_table.h"

#include "libgooseberryio/log.h"
#include "libgooseberryio/rows.h"

#include <utility>

namespace gooseberry::agentd {

namespace {

constexpr std::size_t kMaxRequests = 8;
constexpr core::duration kIdleWait = std::chrono::seconds(1);

void
LogFailure(const core::error& aError)
{
  io::log_event("member_table", io::log_level::Warning).Add(aError);
}

} // namespace

member_table::member_table(std::unique_ptr<io::table_store> aStore,
                           member_handlers aHandlers)
  : mStore(std::move(aStore))
  , mHandlers(std::move(aHandlers))
  , mRequests(kMaxRequests)
  , mThread([this] { Run(); })
{
}

member_table::~member_table()
{
  Stop();
}

void
member_table::Post(member_request aRequest)
{
  // Requests are repeated until they are answered, so that none is missed.
  static_cast<void>(mRequests.Push(std::move(aRequest)));
}

void
member_table::Stop()
{
  mRequests.Close();
  mStore->Stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
member_table::Run()
{
  while (true) {
    if (const auto request = mRequests.Pop(kIdleWait); request) {
      Do(*request);
    } else if (mRequests.IsClosed()) {
      return;
    }
  }
}

void
member_table::Do(const member_request& aRequest)
{
  if (std::holds_alternative<read_members>(aRequest)) {
    const auto rows = mStore->ListRows(io::kMembersTable);
    if (const auto* error = std::get_if<core::error>(&rows)) {
      LogFailure(*error);
    } else {
      mHandlers.mOnRows(io::ParseMembers(
        std::get<std::vector<io::table_row>>(rows), mLoggedRows));
    }
  } else if (const auto* write = std::get_if<write_member>(&aRequest)) {
    const auto result = mStore->WriteRow(io::kMembersTable,
                                         membership::RowKey(write->mRow),
                                         io::FormatMember(write->mRow),
                                         std::nullopt);
    if (const auto* error = std::get_if<core::error>(&result)) {
      LogFailure(*error);
    } else {
      mHandlers.mOnWritten();
    }
  }
}

} // namespace gooseberry::agentd
