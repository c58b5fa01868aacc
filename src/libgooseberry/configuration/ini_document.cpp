#include "libgooseberry/configuration/ini_document.h"

#include "libgooseberry/configuration/value.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <set>

namespace gooseberry::configuration {

namespace {

constexpr std::string_view kStep = "read configuration";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/** State shared by the two callbacks that inih calls. */
struct read_state
{
  std::string_view mRemaining;
  int mLine = 0;
  ini_document mDocument;
  std::set<std::string> mTitles;
  bool mIndented = false;
  int mErrorLine = 0;
  std::optional<core::error> mError;
};

std::string
Location(std::string_view aFileName, int aLine)
{
  return std::string(aFileName) + ":" + std::to_string(aLine) + ": ";
}

void
SetError(read_state& aState, const std::string& aReason)
{
  aState.mErrorLine = aState.mLine;
  aState.mError =
    core::error{ std::string(kStep),
                 "",
                 Location(aState.mDocument.mFileName, aState.mLine) + aReason };
}

bool
IsControl(char aByte)
{
  return (static_cast<unsigned char>(aByte) < ' ' && aByte != '\t') ||
         aByte == '\x7f';
}

std::string_view
ExtractLine(std::string_view& aRemaining)
{
  const auto end = aRemaining.find('\n');
  auto line = aRemaining.substr(0, end);
  aRemaining.remove_prefix(end == std::string_view::npos ? aRemaining.size()
                                                         : end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/** Starts the section of a line that begins with `[`. */
void
ReadHeading(read_state& aState, std::string_view aLine)
{
  const auto end = aLine.find(']');
  if (end == std::string_view::npos) {
    return SetError(aState, "expected ']' at the end of the section heading");
  }
  if (const auto rest = Trim(aLine.substr(end + 1));
      !rest.empty() && rest.front() != ';') {
    return SetError(aState, "expected nothing after the section heading");
  }
  const auto title = Trim(aLine.substr(1, end - 1));
  const auto space = title.find_first_of(" \t");
  ini_section section;
  section.mLine = aState.mLine;
  section.mKind = title.substr(0, space);
  if (space != std::string_view::npos) {
    section.mName = Trim(title.substr(space));
  }
  if (!aState.mTitles.insert(Title(section)).second) {
    return SetError(aState,
                    "[" + Title(section) + "]: expected each section once");
  }
  aState.mDocument.mSections.push_back(std::move(section));
}

/** Checks the next line before it is passed to inih. */
void
CheckLine(read_state& aState, std::string_view aLine)
{
  if (aLine.size() > kMaxLineBytes) {
    return SetError(aState,
                    "expected at most " + std::to_string(kMaxLineBytes) +
                      " bytes in a line");
  }
  if (std::any_of(aLine.begin(), aLine.end(), IsControl)) {
    return SetError(aState, "expected no control character");
  }
  const auto text = Trim(aLine);
  if (text.empty() || text.front() == ';' || text.front() == '#') {
    return;
  }
  auto& sections = aState.mDocument.mSections;
  aState.mIndented = text.data() != aLine.data();
  if (aState.mIndented) {
    if (sections.empty() || sections.back().mEntries.empty()) {
      SetError(aState, "expected no space before the first key of a section");
    }
  } else if (text.front() == '[') {
    ReadHeading(aState, text);
  } else if (sections.empty()) {
    SetError(aState, "expected a [section] before the first key");
  }
}

/** `ini_reader` of inih: returns one line per call. */
char*
NextLine(char* aBuffer, int aSize, void* aState)
{
  auto& state = *static_cast<read_state*>(aState);
  if (state.mError || state.mRemaining.empty()) {
    return nullptr;
  }
  ++state.mLine;
  const auto line = ExtractLine(state.mRemaining);
  CheckLine(state, line);
  if (!state.mError && line.size() + 1 > static_cast<std::size_t>(aSize)) {
    SetError(state, "expected a shorter line");
  }
  if (state.mError) {
    return nullptr;
  }
  std::memcpy(aBuffer, line.data(), line.size());
  aBuffer[line.size()] = '\0';
  return aBuffer;
}

/**
 * `ini_handler` of inih: called while the entry's line is the last line read.
 */
int
AddEntry(void* aState,
         const char* /*aSection*/,
         const char* aKey,
         const char* aValue)
{
  auto& state = *static_cast<read_state*>(aState);
  auto& section = state.mDocument.mSections.back();
  if (state.mIndented) {
    section.mEntries.back().mValue += std::string(" ") + aValue;
    return 1;
  }
  const std::string location = "[" + Title(section) + "] " + aKey;
  if (*aKey == '\0') {
    SetError(state, location + ": expected a key before '='");
    return 0;
  }
  if (FindEntry(section, aKey) != nullptr) {
    SetError(state, location + ": expected each key once");
    return 0;
  }
  section.mEntries.push_back(ini_entry{ state.mLine, aKey, aValue });
  return 1;
}

} // namespace

core::result<ini_document>
ReadIni(std::string_view aText, std::string_view aFileName)
{
  read_state state;
  state.mDocument.mFileName = aFileName;
  state.mRemaining = aText;
  if (aText.size() > kMaxFileBytes) {
    state.mLine = 1;
    SetError(state,
             "expected at most " + std::to_string(kMaxFileBytes) +
               " bytes in the file");
    return *state.mError;
  }
  if (aText.starts_with(kByteOrderMark)) {
    state.mRemaining.remove_prefix(kByteOrderMark.size());
  }
  const int badLine = ini_parse_stream(NextLine, &state, AddEntry, &state);
  if (badLine != 0 && (!state.mError || badLine < state.mErrorLine)) {
    state.mLine = badLine;
    SetError(state, "expected `key = value` or `[section]`");
  }
  if (state.mError) {
    return *state.mError;
  }
  return std::move(state.mDocument);
}

std::string
Title(std::string_view aKind, std::string_view aName)
{
  std::string title(aKind);
  return aName.empty() ? title : title + " " + std::string(aName);
}

std::string
Title(const ini_section& aSection)
{
  return Title(aSection.mKind, aSection.mName);
}

const ini_entry*
FindEntry(const ini_section& aSection, std::string_view aKey)
{
  const auto found =
    std::find_if(aSection.mEntries.begin(),
                 aSection.mEntries.end(),
                 [&](const ini_entry& aEntry) { return aEntry.mKey == aKey; });
  return found == aSection.mEntries.end() ? nullptr : &*found;
}

core::error
ErrorAt(const ini_document& aDocument,
        int aLine,
        const ini_section& aSection,
        std::string_view aKey,
        std::string_view aReason)
{
  std::string reason = Location(aDocument.mFileName, aLine);
  reason += "[" + Title(aSection) + "]";
  if (!aKey.empty()) {
    reason += " " + std::string(aKey);
  }
  reason += ": " + std::string(aReason);
  return core::error{ std::string(kStep), "", std::move(reason) };
}

} // namespace gooseberry::configuration
