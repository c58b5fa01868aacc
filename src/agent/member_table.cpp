#include "agent/member_table.h"

#include "libgooseberryio/json.h"
#include "libgooseberryio/log.h"

#include <charconv>
#include <utility>

namespace gooseberry::agentd {

namespace {

constexpr const char* kTable = "members";
constexpr std::size_t kMaxRequests = 8;
constexpr core::duration kIdleWait = std::chrono::seconds(1);

std::string
KeyOf(agent::member_role aRole, const core::peer_ref& aMember)
{
  return std::string(agent::kMemberRoleNames.NameOf(aRole)) + '/' +
         aMember.mName + '/' + std::to_string(aMember.mIncarnation);
}

/** The text of a member of a JSON object; empty where there is none. */
std::string
TextOf(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

void
LogFailure(const core::error& aError)
{
  io::log_event("member_table", io::log_level::Warning).Add(aError);
}

std::vector<agent::member_row>
Parse(const std::vector<io::table_row>& aRows)
{
  std::vector<agent::member_row> members;
  for (const auto& row : aRows) {
    if (auto member = FromJson(row.mValue); member) {
      members.push_back(std::move(*member));
    } else {
      LogFailure({ "read a member's row", row.mKey, "malformed" });
    }
  }
  return members;
}

} // namespace

std::string
KeyOf(const agent::member_row& aRow)
{
  return KeyOf(aRow.mRole, aRow.mMember);
}

std::string
ToJson(const agent::member_row& aRow)
{
  return nlohmann::json{
    { "role", agent::kMemberRoleNames.NameOf(aRow.mRole) },
    { "name", aRow.mMember.mName },
    { "incarnation", std::to_string(aRow.mMember.mIncarnation) },
    { "address", aRow.mAddress },
    { "failure_domain", aRow.mFailureDomain }
  }.dump();
}

std::optional<agent::member_row>
FromJson(const std::string& aText)
{
  const auto parsed = io::ParseJson(aText);
  const auto* object = std::get_if<nlohmann::json>(&parsed);
  if (object == nullptr || !object->is_object()) {
    return std::nullopt;
  }
  const auto role = agent::kMemberRoleNames.ValueOf(TextOf(*object, "role"));
  agent::member_row row;
  row.mMember.mName = TextOf(*object, "name");
  row.mAddress = TextOf(*object, "address");
  row.mFailureDomain = TextOf(*object, "failure_domain");
  const auto number = TextOf(*object, "incarnation");
  const auto* const end = number.data() + number.size();
  const auto [at, status] =
    std::from_chars(number.data(), end, row.mMember.mIncarnation);
  if (!role || row.mMember.mName.empty() || row.mAddress.empty() ||
      status != std::errc() || at != end) {
    return std::nullopt;
  }
  row.mRole = *role;
  return row;
}

member_table::member_table(const io::platform_settings& aPlatform,
                           member_handlers aHandlers)
  : mClient(aPlatform)
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
  mClient.Stop();
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
    const auto rows = mClient.ListRows(kTable);
    if (const auto* error = std::get_if<core::error>(&rows)) {
      LogFailure(*error);
    } else {
      mHandlers.mOnRows(Parse(std::get<std::vector<io::table_row>>(rows)));
    }
  } else if (const auto* write = std::get_if<write_member>(&aRequest)) {
    const auto result = mClient.WriteRow(
      kTable, KeyOf(write->mRow), ToJson(write->mRow), std::nullopt);
    if (const auto* error = std::get_if<core::error>(&result)) {
      LogFailure(*error);
    } else {
      mHandlers.mOnWritten();
    }
  } else if (const auto* old = std::get_if<delete_member>(&aRequest)) {
    const auto key = KeyOf(agent::member_role::Agent, old->mAgent);
    const auto result = mClient.DeleteRow(kTable, key);
    if (const auto* error = std::get_if<core::error>(&result)) {
      LogFailure(*error);
    }
  }
}

} // namespace gooseberry::agentd
