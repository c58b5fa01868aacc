#include "libgooseberry/configuration/change.h"

#include "libgooseberry/configuration/ini_document.h"
#include "libgooseberry/configuration/section_text.h"

#include <algorithm>

namespace gooseberry::configuration {

namespace {

std::string
HeadingOf(const section_text& aSection)
{
  return Title(aSection.mKind, aSection.mName);
}

const section_text*
FindSection(const std::vector<section_text>& aSections,
            const section_text& aLike)
{
  const auto found = std::find_if(
    aSections.begin(), aSections.end(), [&](const section_text& aSection) {
      return aSection.mKind == aLike.mKind && aSection.mName == aLike.mName;
    });
  return found == aSections.end() ? nullptr : &*found;
}

std::string
ValueOf(const section_text& aSection, const std::string& aKey)
{
  for (const auto& [key, value] : aSection.mKeys) {
    if (key == aKey) {
      return value;
    }
  }
  return {};
}

/** Adds a change for each key whose value differs. */
void
CompareKeys(const section_text& aBefore,
            const section_text& aAfter,
            std::vector<change>& aChanges)
{
  auto keys = aBefore.mKeys;
  for (const auto& entry : aAfter.mKeys) {
    const auto isSame = [&](const key_text& aOther) {
      return aOther.mKey == entry.mKey;
    };
    if (std::none_of(keys.begin(), keys.end(), isSame)) {
      keys.push_back(entry);
    }
  }
  for (const auto& entry : keys) {
    auto before = ValueOf(aBefore, entry.mKey);
    auto after = ValueOf(aAfter, entry.mKey);
    if (before != after) {
      aChanges.push_back({ change_kind::Changed,
                           HeadingOf(aBefore),
                           entry.mKey,
                           std::move(before),
                           std::move(after) });
    }
  }
}

} // namespace

std::vector<change>
Compare(const desired_state& aBefore, const desired_state& aAfter)
{
  const auto before = ToSections(aBefore);
  const auto after = ToSections(aAfter);
  std::vector<change> changes;
  for (const auto& section : before) {
    if (const auto* match = FindSection(after, section)) {
      CompareKeys(section, *match, changes);
    } else {
      changes.push_back(
        { change_kind::Removed, HeadingOf(section), "", "", "" });
    }
  }
  for (const auto& section : after) {
    if (FindSection(before, section) == nullptr) {
      changes.push_back({ change_kind::Added, HeadingOf(section), "", "", "" });
    }
  }
  return changes;
}

std::string
ToString(const change& aChange)
{
  std::string text(kChangeKindNames.NameOf(aChange.mKind));
  text += " [" + aChange.mSection + "]";
  if (aChange.mKind == change_kind::Changed) {
    const auto shown = [](const std::string& aValue) {
      return aValue.empty() ? "(not set)" : aValue;
    };
    text += " " + aChange.mKey + ": " + shown(aChange.mBefore) + " -> " +
            shown(aChange.mAfter);
  }
  return text;
}

} // namespace gooseberry::configuration
