#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace gooseberry::core {

/**
 * Maps the values of an enumeration, which count up from 0, to their names and
 * back. Each enumeration defines `constexpr enum_names<E, N>
 * kSomethingNames{...}`.
 */
template<typename Enum, std::size_t Count>
struct enum_names
{
  std::array<std::string_view, Count> mNames;

  constexpr std::string_view NameOf(Enum aValue) const
  {
    const auto index = static_cast<std::size_t>(aValue);
    return index < Count ? mNames[index] : std::string_view("?");
  }

  constexpr std::optional<Enum> ValueOf(std::string_view aName) const
  {
    for (std::size_t i = 0; i < Count; ++i) {
      if (mNames[i] == aName) {
        return static_cast<Enum>(i);
      }
    }
    return std::nullopt;
  }
};

} // namespace gooseberry::core
