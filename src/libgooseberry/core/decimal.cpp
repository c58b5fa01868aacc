#include "libgooseberry/core/decimal.h"

#include <array>
#include <charconv>

namespace gooseberry::core {

std::string
FormatDecimal(double aValue)
{
  // Falls back to scientific notation where the text is too long.
  constexpr std::size_t kLongest = 32;
  std::array<char, kLongest> text{};
  char* const begin = text.data();
  char* const end = begin + text.size();
  auto [last, status] =
    std::to_chars(begin, end, aValue, std::chars_format::fixed, 1);
  if (status != std::errc()) {
    last =
      std::to_chars(begin, end, aValue, std::chars_format::scientific, 1).ptr;
  }
  return { begin, last };
}

std::string
FormatMilliseconds(duration aDuration)
{
  return FormatDecimal(ToMilliseconds(aDuration));
}

} // namespace gooseberry::core
