#pragma once

#include <cstdint>

/** HTTP status codes of an entry's answers to callers. */
namespace gooseberry::entry {

inline constexpr std::uint32_t kStatusConflict = 409;
inline constexpr std::uint32_t kStatusCancelled = 410;
/** No target may run the job. */
inline constexpr std::uint32_t kStatusUnprocessable = 422;
inline constexpr std::uint32_t kStatusTooMany = 429;
/** A task has failed permanently, or its outcome is unknown. */
inline constexpr std::uint32_t kStatusFailed = 500;
inline constexpr std::uint32_t kStatusUnavailable = 503;
inline constexpr std::uint32_t kStatusDeadline = 504;

} // namespace gooseberry::entry
