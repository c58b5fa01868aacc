#include "libgooseberryio/json.h"

#include <cmath>

namespace gooseberry::io {
namespace {

/** Where arrays and objects nest too deep; nothing where they do not. */
std::optional<std::size_t>
FindTooDeep(std::string_view aText, std::size_t aMaxDepth)
{
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char c = aText[i];
    if (inString) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        inString = false;
      }
    } else if (c == '"') {
      inString = true;
    } else if (c == '[' || c == '{') {
      if (++depth > aMaxDepth) {
        return i;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return std::nullopt;
}

[[noreturn]] void
Refuse(const char* aName, const std::string& aExpected)
{
  constexpr int kOutOfRange = 401; // As the library numbers it.
  throw nlohmann::json::out_of_range::create(
    kOutOfRange, std::string(aName) + ": expected " + aExpected, nullptr);
}

/** Throws where `aObject` is none. */
const nlohmann::json*
FindField(const nlohmann::json& aObject, const char* aName)
{
  if (!aObject.is_object()) {
    Refuse(aName, "an object that has it");
  }
  const auto found = aObject.find(aName);
  return found == aObject.end() ? nullptr : &*found;
}

std::string
ToString(const number_range& aRange)
{
  return "a whole number from " + std::to_string(aRange.mMin) + " to " +
         std::to_string(aRange.mMax);
}

} // namespace

decode_turn::decode_turn(std::size_t aBytes)
{
  constexpr std::size_t kSmallText = 16'384;
  static std::mutex sSmall;
  static std::mutex sLarge;
  mLock = std::unique_lock(aBytes <= kSmallText ? sSmall : sLarge);
}

std::variant<nlohmann::json, json_error>
ParseJson(std::string_view aText, std::size_t aMaxDepth)
{
  if (const auto offset = FindTooDeep(aText, aMaxDepth)) {
    return json_error{ .mOffset = *offset,
                       .mReason =
                         "nested deeper than " + std::to_string(aMaxDepth) };
  }
  try {
    return nlohmann::json::parse(aText);
  } catch (const nlohmann::json::parse_error& failure) {
    return json_error{ .mOffset = failure.byte, .mReason = "not valid JSON" };
  } catch (const nlohmann::json::exception&) {
    return json_error{ .mOffset = 0, .mReason = "number out of range" };
  }
}

std::string
Dump(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::uint64_t>
ToNumber(const nlohmann::json& aValue, const number_range& aRange)
{
  std::uint64_t number = 0;
  if (aValue.is_number_unsigned()) {
    number = aValue.get<std::uint64_t>();
  } else if (aValue.is_number_integer()) {
    const auto asSigned = aValue.get<std::int64_t>();
    if (asSigned < 0) {
      return std::nullopt;
    }
    number = static_cast<std::uint64_t>(asSigned);
  } else if (aValue.is_number_float()) {
    // 8.0 is a whole number as well; only such as doubles hold are converted.
    const auto fraction = aValue.get<double>();
    if (!(fraction >= 0 && fraction <= static_cast<double>(kMaxExactNumber)) ||
        std::trunc(fraction) != fraction) {
      return std::nullopt;
    }
    number = static_cast<std::uint64_t>(fraction);
  } else {
    return std::nullopt;
  }
  return number >= aRange.mMin && number <= aRange.mMax ? std::optional(number)
                                                        : std::nullopt;
}

std::uint64_t
NumberField(const nlohmann::json& aObject,
            const char* aName,
            const number_range& aRange)
{
  const auto* const field = FindField(aObject, aName);
  const auto number =
    field == nullptr ? std::nullopt : ToNumber(*field, aRange);
  if (!number) {
    Refuse(aName, ToString(aRange));
  }
  return *number;
}

std::uint64_t
NumberField(const nlohmann::json& aObject,
            const char* aName,
            const number_range& aRange,
            std::uint64_t aDefault)
{
  return FindField(aObject, aName) == nullptr
           ? aDefault
           : NumberField(aObject, aName, aRange);
}

double
FractionField(const nlohmann::json& aObject,
              const char* aName,
              const fraction_range& aRange,
              double aDefault)
{
  const auto* const field = FindField(aObject, aName);
  if (field == nullptr) {
    return aDefault;
  }
  const double number = field->is_number() ? field->get<double>() : NAN;
  if (!(number >= aRange.mMin && number <= aRange.mMax)) {
    Refuse(aName,
           "a number from " + std::to_string(aRange.mMin) + " to " +
             std::to_string(aRange.mMax));
  }
  return number;
}

std::string
TextField(const nlohmann::json& aObject,
          const char* aName,
          std::size_t aMaxBytes)
{
  const auto* const field = FindField(aObject, aName);
  if (field == nullptr || !field->is_string() ||
      field->get_ref<const std::string&>().empty() ||
      field->get_ref<const std::string&>().size() > aMaxBytes) {
    Refuse(aName, "a text of 1 to " + std::to_string(aMaxBytes) + " bytes");
  }
  return field->get<std::string>();
}

} // namespace gooseberry::io
