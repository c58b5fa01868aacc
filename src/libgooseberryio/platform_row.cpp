#include "libgooseberryio/platform_row.h"

#include "libgooseberryio/json.h"
#include "libgooseberryio/log.h"
#include "libgooseberryio/log_once.h"

namespace gooseberry::io {
namespace {

constexpr const char* kStep = "read reply of the table service";

core::error
Malformed(const std::string& aPeer, const std::string& aReason)
{
  return { .mStep = kStep, .mPeer = aPeer, .mReason = aReason };
}

core::result<nlohmann::json>
ParseObject(const std::string& aPeer, std::string_view aBody)
{
  auto parsed = ParseJson(aBody);
  if (const auto* const bad = std::get_if<json_error>(&parsed)) {
    return Malformed(aPeer, bad->mReason);
  }
  auto& json = std::get<nlohmann::json>(parsed);
  if (!json.is_object()) {
    return Malformed(aPeer, "expected an object");
  }
  return std::move(json);
}

/** `aJson` is an object with `value` and `version`. */
core::result<stored_row>
ReadRow(const std::string& aKey, const nlohmann::json& aJson)
{
  const auto value = aJson.find("value");
  const auto version = aJson.find("version");
  if (value == aJson.end() || !value->is_string() || version == aJson.end() ||
      !version->is_number_unsigned()) {
    return Malformed(aKey, "expected value and version");
  }
  // What the platform calls the value holds ours and the request's id.
  const auto content = ParseObject(aKey, value->get_ref<const std::string&>());
  if (const auto* const bad = std::get_if<core::error>(&content)) {
    return *bad;
  }
  const auto& json = std::get<nlohmann::json>(content);
  const auto text = json.find("value");
  const auto request = json.find("request");
  if (text == json.end() || !text->is_string() || request == json.end() ||
      !request->is_string()) {
    return Malformed(aKey, "not written by this system");
  }
  return stored_row{ .mRow = { .mKey = aKey,
                               .mValue = text->get<std::string>(),
                               .mVersion = version->get<row_version>() },
                     .mRequestId = request->get<std::string>() };
}

/** A row of a list, which carries its key. */
core::result<stored_row>
ReadListed(const nlohmann::json& aItem)
{
  const auto key = aItem.is_object() ? aItem.find("key") : aItem.end();
  if (key == aItem.end() || !key->is_string()) {
    return Malformed("rows", "expected a key in each row");
  }
  return ReadRow(key->get<std::string>(), aItem);
}

} // namespace

core::result<std::string>
FormatRowWrite(const std::string& aValue,
               const std::string& aRequestId,
               std::optional<row_version> aExpected)
{
  try {
    const nlohmann::json content{ { "request", aRequestId },
                                  { "value", aValue } };
    nlohmann::json body{ { "value", content.dump() },
                         { "if_version", nullptr } };
    if (aExpected) {
      body["if_version"] = *aExpected;
    }
    return body.dump();
  } catch (const nlohmann::json::type_error&) {
    return core::error{ .mStep = "write row",
                        .mPeer = {},
                        .mReason = "value is not UTF-8" };
  }
}

core::result<stored_row>
ParseRow(const std::string& aKey, std::string_view aBody)
{
  const auto parsed = ParseObject(aKey, aBody);
  if (const auto* const bad = std::get_if<core::error>(&parsed)) {
    return *bad;
  }
  return ReadRow(aKey, std::get<nlohmann::json>(parsed));
}

core::result<std::vector<table_row>>
ParseRows(std::string_view aBody)
{
  const auto parsed = ParseObject("rows", aBody);
  if (const auto* const bad = std::get_if<core::error>(&parsed)) {
    return *bad;
  }
  const auto& json = std::get<nlohmann::json>(parsed);
  const auto rows = json.find("rows");
  if (rows == json.end() || !rows->is_array()) {
    return Malformed("rows", "expected a list of rows");
  }
  // Odd rows come with each read: one line for each version is enough.
  static log_once sLogged;
  std::vector<table_row> list;
  for (const auto& item : *rows) {
    auto row = ReadListed(item);
    if (auto* const bad = std::get_if<core::error>(&row)) {
      const auto text = Dump(item);
      if (sLogged.IsNew(text)) {
        log_event("row_unreadable", log_level::Warning)
          .Add("row", text.substr(0, kMaxLoggedBytes))
          .Add(*bad);
      }
      continue;
    }
    list.push_back(std::move(std::get<stored_row>(row).mRow));
  }
  return list;
}

core::result<row_version>
ParseVersion(std::string_view aBody)
{
  const auto parsed = ParseObject("version", aBody);
  if (const auto* const bad = std::get_if<core::error>(&parsed)) {
    return *bad;
  }
  const auto& json = std::get<nlohmann::json>(parsed);
  const auto version = json.find("version");
  if (version == json.end() || !version->is_number_unsigned()) {
    return Malformed("version", "expected a version");
  }
  return version->get<row_version>();
}

} // namespace gooseberry::io
