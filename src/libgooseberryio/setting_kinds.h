#pragma once

#include "libgooseberry/core/time.h"
#include "libgooseberryio/settings.h"

/** Short ways to write the rows of a table of settings. */
namespace gooseberry::io {

constexpr setting
NameSetting(std::string_view aSection,
            std::string_view aKey,
            std::string_view aDefault,
            std::string_view aHelp)
{
  return { aSection, aKey, setting_type::Name, "", aDefault, 0, 0, "", aHelp };
}

constexpr setting
AddressSetting(std::string_view aSection,
               std::string_view aKey,
               std::string_view aHelp)
{
  return { aSection, aKey, setting_type::Address, "", "", 0, 0, "", aHelp };
}

constexpr setting
TextSetting(std::string_view aSection,
            std::string_view aKey,
            std::string_view aDefault,
            std::string_view aHelp)
{
  return { aSection, aKey, setting_type::Text, "", aDefault, 0, 0, "", aHelp };
}

constexpr setting
SwitchSetting(std::string_view aSection,
              std::string_view aKey,
              std::string_view aDefault,
              std::string_view aHelp)
{
  return {
    aSection, aKey, setting_type::Switch, "", aDefault, 0, 0, "", aHelp
  };
}

constexpr setting
ChoiceSetting(std::string_view aSection,
              std::string_view aKey,
              std::string_view aDefault,
              std::string_view aChoices,
              std::string_view aHelp)
{
  return { aSection, aKey, setting_type::Choice, "", aDefault, 0, 0,
           aChoices, aHelp };
}

/** Bounds of a number, both allowed. */
struct number_range
{
  std::uint64_t mMin = 0;
  std::uint64_t mMax = 0;
};

constexpr setting
NumberSetting(std::string_view aSection,
              std::string_view aKey,
              std::string_view aUnit,
              std::string_view aDefault,
              number_range aRange,
              std::string_view aHelp)
{
  return { aSection,    aKey,     setting_type::Number,
           aUnit,       aDefault, aRange.mMin,
           aRange.mMax, "",       aHelp };
}

constexpr setting
DecimalSetting(std::string_view aSection,
               std::string_view aKey,
               std::string_view aUnit,
               std::string_view aDefault,
               number_range aRange,
               std::string_view aHelp)
{
  setting decimal =
    NumberSetting(aSection, aKey, aUnit, aDefault, aRange, aHelp);
  decimal.mType = setting_type::Decimal;
  return decimal;
}

constexpr setting
MillisecondsSetting(std::string_view aSection,
                    std::string_view aKey,
                    std::string_view aDefault,
                    number_range aRange,
                    std::string_view aHelp)
{
  return NumberSetting(aSection, aKey, "ms", aDefault, aRange, aHelp);
}

/** The length of time that a number of milliseconds stands for. */
inline core::duration
ToDuration(const setting_value& aValue)
{
  return std::chrono::milliseconds(aValue.mNumber);
}

/** The number as a smaller type; the setting's bounds must fit it. */
inline std::uint32_t
ToCount(const setting_value& aValue)
{
  return static_cast<std::uint32_t>(aValue.mNumber);
}

} // namespace gooseberry::io
