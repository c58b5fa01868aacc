#include "agent/store_thread.h"

#include "libgooseberryio/clock.h"
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
  io::log_event("table_service", io::log_level::Warning).Add(aError);
}

} // namespace

store_thread::store_thread(std::unique_ptr<io::table_store> aStore,
                           store_handlers aHandlers)
  : mStore(std::move(aStore))
  , mHandlers(std::move(aHandlers))
  , mRequests(kMaxRequests)
  , mThread([this] { Run(); })
{
}

store_thread::~store_thread()
{
  Stop();
}

void
store_thread::Post(store_request aRequest)
{
  // Requests are repeated until they are answered, so that none is missed.
  static_cast<void>(mRequests.Push(std::move(aRequest)));
}

void
store_thread::Stop()
{
  mRequests.Close();
  mStore->Stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
store_thread::Run()
{
  while (true) {
    if (const auto request = mRequests.Pop(kIdleWait); request) {
      std::visit([this](const auto& aRequest) { Do(aRequest); }, *request);
    } else if (mRequests.IsClosed()) {
      return;
    }
  }
}

void
store_thread::Do(const read_members& /*aRequest*/)
{
  const auto rows = mStore->ListRows(io::kMembersTable);
  if (const auto* error = std::get_if<core::error>(&rows)) {
    return LogFailure(*error);
  }
  mHandlers.mOnRows(
    io::ParseMembers(std::get<std::vector<io::table_row>>(rows), mLoggedRows));
}

void
store_thread::Do(const write_member& aRequest)
{
  const auto result = mStore->WriteRow(io::kMembersTable,
                                       membership::RowKey(aRequest.mRow),
                                       io::FormatMember(aRequest.mRow),
                                       std::nullopt);
  if (const auto* error = std::get_if<core::error>(&result)) {
    return LogFailure(*error);
  }
  mHandlers.mOnWritten();
}

void
store_thread::Do(const read_configuration& /*aRequest*/)
{
  const core::instant sentAt = io::Now();
  const auto result =
    mStore->ReadRow(io::kConfigurationTable, io::kConfigurationKey);
  if (const auto* error = std::get_if<core::error>(&result)) {
    LogFailure(*error);
    return mHandlers.mOnConfigurationFailed();
  }
  const auto* row = std::get_if<io::table_row>(&result);
  if (row == nullptr) {
    return; // None has been written yet.
  }
  auto parsed = io::ParseConfiguration(row->mValue);
  if (const auto* error = std::get_if<core::error>(&parsed)) {
    LogFailure(*error);
    return mHandlers.mOnConfigurationFailed();
  }
  mHandlers.mOnConfiguration(
    std::get<entry::configuration_row>(std::move(parsed)), sentAt);
}

} // namespace gooseberry::agentd
