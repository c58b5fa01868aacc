#include "libgooseberryio/rows.h"

#include "libgooseberry/configuration/value.h"
#include "libgooseberryio/address.h"
#include "libgooseberryio/json.h"
#include "libgooseberryio/log.h"

#include <charconv>
#include <optional>
#include <utility>

namespace gooseberry::io {

namespace {

constexpr number_range kGenerations{ 0, ~0ULL };

core::error
BadRow(const std::string& aReason)
{
  return { "read row", "table service", aReason };
}

/** The text field of that name; throws where there is none. */
std::string
Text(const nlohmann::json& aJson, const char* aName)
{
  return aJson.at(aName).get<std::string>();
}

/** Nothing but decimal digits of a number above 0: 0 stands for unknown. */
std::optional<std::uint64_t>
ReadIncarnation(const std::string& aText)
{
  std::uint64_t incarnation = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, status] = std::from_chars(aText.data(), end, incarnation);
  return status == std::errc() && rest == end && incarnation > 0
           ? std::optional(incarnation)
           : std::nullopt;
}

bool
IsPeerAddress(const std::string& aText)
{
  const auto parsed = ParseAddress(aText);
  const auto* address = std::get_if<ip_address>(&parsed);
  return address != nullptr && address->mPort != 0;
}

} // namespace

std::string
FormatMember(const membership::member_row& aRow)
{
  return nlohmann::json{
    { "role", membership::kRoleNames.NameOf(aRow.mRole) },
    { "name", aRow.mPeer.mName },
    // JSON numbers do not carry 64 bits everywhere.
    { "incarnation", std::to_string(aRow.mPeer.mIncarnation) },
    { "address", aRow.mAddress },
    { "failure_domain", aRow.mFailureDomain }
  }.dump();
}

core::result<membership::member_row>
ParseMember(const std::string& aText)
{
  const auto parsed = ParseJson(aText);
  if (const auto* error = std::get_if<json_error>(&parsed)) {
    return BadRow(error->mReason);
  }
  try {
    const auto& json = std::get<nlohmann::json>(parsed);
    const auto role = membership::kRoleNames.ValueOf(Text(json, "role"));
    if (!role) {
      return BadRow("unknown role");
    }
    const auto incarnation = ReadIncarnation(Text(json, "incarnation"));
    if (!incarnation) {
      return BadRow("incarnation: expected a whole number of 64 bits, not 0");
    }
    membership::member_row row{ *role,
                                { Text(json, "name"), *incarnation },
                                Text(json, "address"),
                                Text(json, "failure_domain") };
    if (!configuration::IsName(row.mPeer.mName) ||
        (!row.mFailureDomain.empty() &&
         !configuration::IsName(row.mFailureDomain))) {
      return BadRow("expected names of [A-Za-z0-9._-]");
    }
    if (!IsPeerAddress(row.mAddress)) {
      return BadRow("address: expected IP:PORT, port 1 to 65535");
    }
    return row;
  } catch (const std::exception& failure) {
    return BadRow(failure.what());
  }
}

std::vector<membership::member_row>
ParseMembers(const std::vector<table_row>& aRows, log_once& aLogged)
{
  std::vector<membership::member_row> members;
  for (const table_row& row : aRows) {
    auto parsed = ParseMember(row.mValue);
    if (auto* member = std::get_if<membership::member_row>(&parsed)) {
      if (membership::RowKey(*member) == row.mKey) {
        members.push_back(std::move(*member));
        continue;
      }
      parsed = BadRow("stands under another key than its member's");
    }
    if (aLogged.IsNew(row.mKey + '@' + std::to_string(row.mVersion))) {
      log_event("member_unreadable", log_level::Warning)
        .Add("key", row.mKey)
        .Add("version", row.mVersion)
        .Add(std::get<core::error>(parsed));
    }
  }
  return members;
}

std::string
FormatConfiguration(const entry::configuration_row& aRow)
{
  return nlohmann::json{
    { "generation", aRow.mConfiguration.mGeneration },
    { "text", aRow.mConfiguration.mText },
    { "by", aRow.mBy },
    { "request", aRow.mRequest },
    { "numbering", configuration::kNumberingNames.NameOf(aRow.mNumbering) }
  }.dump();
}

core::result<entry::configuration_row>
ParseConfiguration(const std::string& aText)
{
  const auto parsed = ParseJson(aText);
  if (const auto* error = std::get_if<json_error>(&parsed)) {
    return BadRow(error->mReason);
  }
  try {
    const auto& json = std::get<nlohmann::json>(parsed);
    entry::configuration_row row;
    row.mConfiguration.mGeneration =
      NumberField(json, "generation", kGenerations);
    row.mConfiguration.mText = Text(json, "text");
    row.mBy = Text(json, "by");
    row.mRequest = Text(json, "request");
    // Rows of the version before have none.
    const auto numbering =
      configuration::kNumberingNames.ValueOf(json.value("numbering", "stored"));
    if (!numbering) {
      return BadRow("unknown numbering");
    }
    row.mNumbering = *numbering;
    return row;
  } catch (const std::exception& failure) {
    return BadRow(failure.what());
  }
}

} // namespace gooseberry::io
