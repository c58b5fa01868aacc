#pragma once

#include "libgooseberry/target/target_table.h"

#include <cstdint>
#include <string_view>

/** Which targets may take which service. */
namespace gooseberry::target {

/** Rank of a target in an entry's order of preference; smaller is earlier. */
std::uint64_t
AffinityOf(std::uint64_t aSeed, std::string_view aTarget);

/** Index of the service; it is made where it is new. */
std::uint32_t
ServiceIndex(target_table& aTable, std::string_view aName);

/** The service by name; null where neither rule nor report has named it. */
service_view*
FindService(target_table& aTable, std::string_view aName);

const service_view*
FindService(const target_table& aTable, std::string_view aName);

/** Whether any target that may take the service was heard of of late. */
bool
HasKnownMember(const target_table& aTable, const service_view& aService);

/** Makes the service's list of members and its sets anew. */
void
RebuildMembers(target_table& aTable, std::uint32_t aService);

} // namespace gooseberry::target
