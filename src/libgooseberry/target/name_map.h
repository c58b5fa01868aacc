#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gooseberry::target {

/** Hash that allows lookups in a map of strings by a view, without a copy. */
struct name_hash
{
  using is_transparent = void;

  std::size_t operator()(std::string_view aName) const noexcept
  {
    return std::hash<std::string_view>{}(aName);
  }
};

/** Values by name. */
template<typename Value>
using name_map =
  std::unordered_map<std::string, Value, name_hash, std::equal_to<>>;

} // namespace gooseberry::target
