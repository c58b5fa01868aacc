#pragma once

#include "libgooseberryio/platform_client.h"

#include <string>
#include <string_view>

namespace gooseberry::io {

/** A row with the id of the request that wrote it. */
struct stored_row
{
  table_row mRow;
  std::string mRequestId;
};

/** Body of a write; an error where `aValue` is not UTF-8. */
core::result<std::string>
FormatRowWrite(const std::string& aValue,
               const std::string& aRequestId,
               std::optional<row_version> aExpected);

/** The row in a reply. */
core::result<stored_row>
ParseRow(const std::string& aKey, std::string_view aBody);

/** The rows of a table; odd ones are logged and left out. */
core::result<std::vector<table_row>>
ParseRows(std::string_view aBody);

/** The version in a reply to a write. */
core::result<row_version>
ParseVersion(std::string_view aBody);

} // namespace gooseberry::io
