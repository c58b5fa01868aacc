#pragma once

#include "libgooseberry/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::configuration {

/** Length limit of a line of an INI file, in bytes. */
inline constexpr std::size_t kMaxLineBytes = 262'144;
/** Size limit of an INI file, in bytes. */
inline constexpr std::size_t kMaxFileBytes = 1U << 20U;

/** `key = value`; indented lines below continue the value. */
struct ini_entry
{
  int mLine = 0; ///< Counted from 1.
  std::string mKey;
  std::string mValue;
};

/** `[kind]` or `[kind name]` with its entries. */
struct ini_section
{
  int mLine = 0; ///< Counted from 1.
  std::string mKind;
  std::string mName; ///< Empty where the heading is one word.
  std::vector<ini_entry> mEntries;
};

/**
 * An INI file of valid syntax. Its kinds, keys and values are not checked yet.
 */
struct ini_document
{
  std::string mFileName;
  std::vector<ini_section> mSections;
};

/**
 * Reads the syntax of an INI file. Refuses repeated sections and keys, keys
 * outside a section, control characters, lines and files that are too long, and
 * lines that are neither a heading, an entry, a comment nor a continuation.
 * Errors name `FILE:LINE`.
 */
core::result<ini_document>
ReadIni(std::string_view aText, std::string_view aFileName);

/** Returns a heading without brackets: the kind, or the kind and the name. */
std::string
Title(std::string_view aKind, std::string_view aName);

/** Returns the heading of a section without brackets. */
std::string
Title(const ini_section& aSection);

/** Returns the entry with this key, or null. */
const ini_entry*
FindEntry(const ini_section& aSection, std::string_view aKey);

/** Makes an error at one line: `FILE:LINE: [section] key: reason`. */
core::error
ErrorAt(const ini_document& aDocument,
        int aLine,
        const ini_section& aSection,
        std::string_view aKey,
        std::string_view aReason);

} // namespace gooseberry::configuration
