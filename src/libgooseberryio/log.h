#pragma once

#include "libgooseberry/core/decimal.h"
#include "libgooseberry/core/enum_names.h"
#include "libgooseberry/core/error.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace gooseberry::io {

enum class log_level : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
  Off,
};
inline constexpr core::enum_names<log_level, 5> kLogLevelNames{
  { "debug", "info", "warning", "error", "off" }
};

/** Where the log goes. */
struct log_settings
{
  log_level mLevel = log_level::Info;
  std::string mFile; ///< Appended to; empty: standard output.
};

/** Sets up the process's log; an error where the file cannot be written.
 * Writing to standard output never waits for its reader. */
std::optional<core::error>
SetUpLog(const log_settings& aSettings);

/** Writes what waits and ends the log; before the process ends. */
void
CloseLog();

/** Whether events of a level are written. */
bool
IsLogged(log_level aLevel);

/**
 * One line of the log, `event=NAME key=value ...`, written when the object is
 * destroyed:
 *
 *     log_event("placement").Add("job", job).Add("target", target);
 *
 * Values that hold a space, quote, control character or '=' are quoted and
 * escaped. Costs next to nothing where its level is not logged.
 */
class log_event
{
public:
  explicit log_event(std::string_view aName,
                     log_level aLevel = log_level::Info);
  ~log_event();
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;

  log_event& Add(std::string_view aKey, std::string_view aValue);
  log_event& Add(std::string_view aKey, const char* aValue)
  {
    return Add(aKey, std::string_view(aValue));
  }
  log_event& Add(std::string_view aKey, const std::string& aValue)
  {
    return Add(aKey, std::string_view(aValue));
  }
  log_event& Add(std::string_view aKey, bool aValue)
  {
    return Add(aKey, std::string_view(aValue ? "true" : "false"));
  }
  template<typename Number>
  requires std::is_arithmetic_v<Number> log_event& Add(std::string_view aKey,
                                                       Number aValue)
  {
    if (mEnabled) {
      if constexpr (std::is_floating_point_v<Number>) {
        AddRaw(aKey, core::FormatDecimal(aValue));
      } else {
        AddRaw(aKey, std::to_string(aValue));
      }
    }
    return *this;
  }
  /** Adds `step`, `peer` and `reason`. */
  log_event& Add(const core::error& aError);

private:
  void AddRaw(std::string_view aKey, std::string_view aText);

  const log_level mLevel;
  const bool mEnabled;
  std::string mLine;
};

/** `aValue` as it stands in a log line, quoted where it needs to be. */
std::string
QuoteLogValue(std::string_view aValue);

} // namespace gooseberry::io
