#pragma once

#include "libgooseberry/core/error.h"
#include "libgooseberry/entry/effects.h"
#include "libgooseberry/membership/members.h"
#include "libgooseberryio/log_once.h"
#include "libgooseberryio/platform_client.h"

#include <string>
#include <vector>

/** Texts of the rows that processes keep in the platform's table service. */
namespace gooseberry::io {

inline constexpr const char* kMembersTable = "members";
inline constexpr const char* kConfigurationTable = "configuration";
inline constexpr const char* kConfigurationKey = "current";

/** JSON of a member's row. */
std::string
FormatMember(const membership::member_row& aRow);
core::result<membership::member_row>
ParseMember(const std::string& aText);

/**
 * The members of the table. A row that cannot be read, or that stands under
 * another key than its member's, is another writer's: it is left out and logged
 * once for each version.
 */
std::vector<membership::member_row>
ParseMembers(const std::vector<table_row>& aRows, log_once& aLogged);

/** JSON of the configuration row, without the table's own version. */
std::string
FormatConfiguration(const entry::configuration_row& aRow);
core::result<entry::configuration_row>
ParseConfiguration(const std::string& aText);

} // namespace gooseberry::io
