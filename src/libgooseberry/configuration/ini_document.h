#pragma once

#include "libgooseberry/core/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace gooseberry::configuration {

/** Longest line that an INI file may have, in bytes. */
inline constexpr std::size_t kMaxLineBytes = 190;
/** Largest INI file that is read, in bytes. */
inline constexpr std::size_t kMaxFileBytes = 1U << 20U;

/** `key = value`; indented lines below it continue the value. */
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
  std::string mName; ///< Empty where the heading has one word.
  std::vector<ini_entry> mEntries;
};

/** An INI file whose form is right; its words are not judged yet. */
struct ini_document
{
  std::string mFileName;
  std::vector<ini_section> mSections;
};

/**
 * Reads the form of an INI file. Refused are repeated sections and keys, keys
 * outside a section, control characters, lines and files that are too long,
 * and lines that are neither heading, entry, comment nor continuation. Errors
 * name `FILE:LINE`.
 */
core::result<ini_document>
ReadIni(std::string_view aText, std::string_view aFileName);

/** A heading without its brackets: the kind, or kind and name. */
std::string
Title(std::string_view aKind, std::string_view aName);

/** The heading of a section without its brackets. */
std::string
Title(const ini_section& aSection);

/** The entry with this key, or null. */
const ini_entry*
FindEntry(const ini_section& aSection, std::string_view aKey);

/** An error at one line: `FILE:LINE: [section] key: reason`. */
core::error
ErrorAt(const ini_document& aDocument,
        int aLine,
        const ini_section& aSection,
        std::string_view aKey,
        std::string_view aReason);

} // namespace gooseberry::configuration
