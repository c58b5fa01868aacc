#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace gooseberry::io {

/** Why a text is not taken as JSON. */
struct json_error
{
  std::size_t mOffset = 0; ///< In bytes, where it was noticed.
  std::string mReason;
};

inline constexpr std::size_t kMaxJsonDepth = 32;

/**
 * Parses a whole text as JSON. Arrays and objects nested deeper than
 * `aMaxDepth` are refused before anything is built.
 */
std::variant<nlohmann::json, json_error>
ParseJson(std::string_view aText, std::size_t aMaxDepth = kMaxJsonDepth);

/**
 * Held while a caller's text is decoded: what is decoded may take many times
 * the memory of the text, so texts that arrive at the same moment take turns.
 * Small texts do not wait for large ones.
 */
class decode_turn
{
public:
  explicit decode_turn(std::size_t aBytes);

private:
  std::unique_lock<std::mutex> mLock;
};

/** Bytes of a value of others that go into a log line. */
inline constexpr std::size_t kMaxLoggedBytes = 200;

/** A value as text, on one line; what is not UTF-8 in it is replaced. */
std::string
Dump(const nlohmann::json& aValue);

/** Up to here a double holds each whole number. */
inline constexpr std::uint64_t kMaxExactNumber = 1ULL << 53U;

/** Both bounds belong to it. */
struct number_range
{
  std::uint64_t mMin = 0;
  std::uint64_t mMax = kMaxExactNumber;
};

/** The same for numbers that need not be whole. */
struct fraction_range
{
  double mMin = 0;
  double mMax = 0;
};

/** A whole number within the range; nothing where the value is another number
 * or none. Nothing is rounded, wrapped or cut off. */
std::optional<std::uint64_t>
ToNumber(const nlohmann::json& aValue, const number_range& aRange);

/** The field's whole number; throws a `nlohmann::json::exception` that names
 * the field where it is missing, of another type or outside the range. */
std::uint64_t
NumberField(const nlohmann::json& aObject,
            const char* aName,
            const number_range& aRange);

/** The same; `aDefault` where the field is missing. */
std::uint64_t
NumberField(const nlohmann::json& aObject,
            const char* aName,
            const number_range& aRange,
            std::uint64_t aDefault);

/** The field's number, whole or not; else as `NumberField`. */
double
FractionField(const nlohmann::json& aObject,
              const char* aName,
              const fraction_range& aRange,
              double aDefault);

/** The field's text of `aMaxBytes` at most and not empty; throws likewise. */
std::string
TextField(const nlohmann::json& aObject,
          const char* aName,
          std::size_t aMaxBytes);

} // namespace gooseberry::io
