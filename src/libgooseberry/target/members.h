#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <string_view>

/** Members of services: the targets that may run their tasks. */
namespace gooseberry::target {

/** Returns the rank of a target in an entry's order of preference; smaller is
 * preferred. */
std::uint64_t
AffinityOf(std::uint64_t aSeed, std::string_view aTarget);

/** Returns the index of the service, which is added if it is new. */
std::uint32_t
ServiceIndex(target_table& aTable, std::string_view aName);

/** Returns the service by name; null if there is no such service. */
service_view*
FindService(target_table& aTable, std::string_view aName);

const service_view*
FindService(const target_table& aTable, std::string_view aName);

/** Returns whether any member of the service reported within
 * `kTargetRetention`. */
bool
HasKnownMember(const target_table& aTable, const service_view& aService);

/** Rebuilds the service's list of members and its sets. */
void
RebuildMembers(target_table& aTable, std::uint32_t aService);

} // namespace gooseberry::target
