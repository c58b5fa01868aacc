#include "libgooseberry/configuration/text_coding.h"

#include "libgooseberry/configuration/value.h"

#include <charconv>

namespace gooseberry::configuration {

namespace {

constexpr std::string_view kNoOthers;
constexpr std::string_view kSlash = "/";
constexpr int kHexadecimal = 16;
constexpr std::size_t kEscapeBytes = 3;

/** `aPlain`: bytes that stand for themselves beside those of names. */
std::string
Encode(std::string_view aText, std::string_view aPlain)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char byte : aText) {
    if (IsNameCharacter(byte) || aPlain.find(byte) != std::string_view::npos) {
      encoded += byte;
      continue;
    }
    const auto value = static_cast<unsigned char>(byte);
    encoded += '%';
    encoded += kDigits[value / kHexadecimal];
    encoded += kDigits[value % kHexadecimal];
  }
  return encoded;
}

/** The byte of the escape that the text begins with. */
std::optional<char>
DecodeEscape(std::string_view aText)
{
  if (aText.size() < kEscapeBytes) {
    return std::nullopt;
  }
  unsigned char value = 0;
  const char* const end = aText.data() + kEscapeBytes;
  const auto [rest, status] =
    std::from_chars(aText.data() + 1, end, value, kHexadecimal);
  return status == std::errc() && rest == end
           ? std::optional(static_cast<char>(value))
           : std::nullopt;
}

std::optional<std::string>
Decode(std::string_view aText, std::string_view aPlain)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (auto rest = aText; !rest.empty();) {
    if (rest.front() != '%') {
      decoded += rest.front();
      rest.remove_prefix(1);
      continue;
    }
    const auto byte = DecodeEscape(rest);
    if (!byte) {
      return std::nullopt;
    }
    decoded += *byte;
    rest.remove_prefix(kEscapeBytes);
  }
  // One text has one form, so that two sections cannot declare one name.
  const bool isValid = !decoded.empty() && decoded.size() <= kMaxTextBytes &&
                       Encode(decoded, aPlain) == aText;
  return isValid ? std::optional(std::move(decoded)) : std::nullopt;
}

} // namespace

std::string
EncodeText(std::string_view aText)
{
  return Encode(aText, kNoOthers);
}

std::optional<std::string>
DecodeText(std::string_view aText)
{
  return Decode(aText, kNoOthers);
}

std::string
EncodePath(std::string_view aPath)
{
  return Encode(aPath, kSlash);
}

std::optional<std::string>
DecodePath(std::string_view aText)
{
  return Decode(aText, kSlash);
}

} // namespace gooseberry::configuration
