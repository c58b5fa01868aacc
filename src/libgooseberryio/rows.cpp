#include "libgooseberryio/rows.h"

#include "libgooseberryio/json.h"

namespace gooseberry::io {

namespace {

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
    return membership::member_row{ *role,
                                   { Text(json, "name"),
                                     std::stoull(Text(json, "incarnation")) },
                                   Text(json, "address"),
                                   Text(json, "failure_domain") };
  } catch (const std::exception& failure) {
    return BadRow(failure.what());
  }
}

std::string
FormatConfiguration(const entry::configuration_row& aRow)
{
  return nlohmann::json{
    { "generation", aRow.mConfiguration.mGeneration },
    { "text", aRow.mConfiguration.mText },
    { "by", aRow.mBy },
    { "request", aRow.mRequest }
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
      json.at("generation").get<core::generation>();
    row.mConfiguration.mText = Text(json, "text");
    row.mBy = Text(json, "by");
    row.mRequest = Text(json, "request");
    return row;
  } catch (const std::exception& failure) {
    return BadRow(failure.what());
  }
}

} // namespace gooseberry::io
