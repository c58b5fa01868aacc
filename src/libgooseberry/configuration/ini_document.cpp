#include "libgooseberry/configuration/ini_document.h"

#include "libgooseberry/configuration/value.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <set>
#include <vector>

namespace gooseberry::configuration {

namespace {

constexpr std::string_view kStep = "read configuration";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/**
 * State shared by the two callbacks that inih calls. A line that its buffer
 * does not hold goes to it in pieces, each of which it takes as a line that
 * continues the one before.
 */
struct read_state
{
  std::string_view mRemaining;
  std::string_view mPieces; ///< What is left of the line being read.
  bool mIsPiece = false;    ///< The last piece is not the first of its line.
  std::vector<int> mLineOfPiece;
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

bool
IsSpace(char aByte)
{
  return aByte == ' ' || aByte == '\t';
}

/** Removes a comment at the end of a line. */
std::string_view
WithoutComment(std::string_view aLine)
{
  for (std::size_t at = aLine.find(';', 1); at != std::string_view::npos;
       at = aLine.find(';', at + 1)) {
    if (IsSpace(aLine[at - 1])) {
      return aLine.substr(0, at);
    }
  }
  return aLine;
}

/** Returns what inih needs of a line that its buffer does not hold. */
std::string_view
ShortenLine(std::string_view aLine)
{
  const auto text = Trim(aLine);
  if (text.empty() || text.front() == ';' || text.front() == '#') {
    return {};
  }
  if (text.front() == '[') {
    return "[]"; // The section has been read.
  }
  return WithoutComment(aLine);
}

/**
 * Returns whether a line may be cut before this byte: inih removes spaces at
 * both ends of a piece, and takes some bytes at its start for a comment.
 */
bool
MayCutBefore(std::string_view aLine, std::size_t aAt)
{
  constexpr std::string_view kCommentMarks = ";#";
  return !IsSpace(aLine[aAt - 1]) && !IsSpace(aLine[aAt]) &&
         kCommentMarks.find(aLine[aAt]) == std::string_view::npos;
}

/** Takes the next piece of at most that many bytes off the line. */
std::string_view
TakePiece(read_state& aState, std::size_t aMaxBytes)
{
  auto& rest = aState.mPieces;
  std::size_t size = std::min(rest.size(), aMaxBytes);
  while (size > 0 && size < rest.size() && !MayCutBefore(rest, size)) {
    --size;
  }
  if (size == 0 && !rest.empty()) {
    SetError(aState, "expected fewer spaces or comment marks in a row");
  }
  const auto piece = rest.substr(0, size);
  rest.remove_prefix(size);
  return piece;
}

/** Reads the next line, to pass it on in pieces. */
void
StartLine(read_state& aState, std::size_t aBufferBytes)
{
  ++aState.mLine;
  aState.mPieces = ExtractLine(aState.mRemaining);
  CheckLine(aState, aState.mPieces);
  if (aState.mPieces.size() > aBufferBytes) {
    aState.mPieces = ShortenLine(aState.mPieces);
  }
}

/** `ini_reader` of inih: returns one line, or piece of a line, per call. */
char*
NextLine(char* aBuffer, int aSize, void* aState)
{
  constexpr std::string_view kContinuation = " ";
  const auto bufferBytes = static_cast<std::size_t>(aSize) - 1;
  auto& state = *static_cast<read_state*>(aState);
  if (state.mError) {
    return nullptr;
  }
  state.mIsPiece = !state.mPieces.empty();
  if (!state.mIsPiece) {
    if (state.mRemaining.empty()) {
      return nullptr;
    }
    StartLine(state, bufferBytes);
  }
  std::string line(state.mIsPiece ? kContinuation : std::string_view());
  line += TakePiece(state, bufferBytes - line.size());
  if (state.mError) {
    return nullptr;
  }
  state.mLineOfPiece.push_back(state.mLine);
  std::memcpy(aBuffer, line.c_str(), line.size() + 1);
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
  if (state.mIsPiece) {
    section.mEntries.back().mValue += aValue;
    return 1;
  }
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
  const int badPiece = ini_parse_stream(NextLine, &state, AddEntry, &state);
  const int badLine =
    badPiece == 0
      ? 0
      : state.mLineOfPiece.at(static_cast<std::size_t>(badPiece) - 1);
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
