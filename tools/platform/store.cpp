#include "platform/store.h"

#include <utility>

namespace gooseberry::platform {
namespace {

bool
IsExpected(const row& aRow, std::optional<std::uint64_t> aExpected)
{
  const std::uint64_t version = aRow.mValue ? aRow.mVersion : 0;
  return !aExpected || *aExpected == version;
}

} // namespace

std::optional<row>
store::Read(const std::string& aTable, const std::string& aKey) const
{
  const auto rows = mTables.find(aTable);
  if (rows == mTables.end()) {
    return std::nullopt;
  }
  const auto found = rows->second.find(aKey);
  if (found == rows->second.end() || !found->second.mValue) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<listed_row>
store::List(const std::string& aTable) const
{
  std::vector<listed_row> list;
  if (const auto rows = mTables.find(aTable); rows != mTables.end()) {
    for (const auto& [key, item] : rows->second) {
      if (item.mValue) {
        list.push_back({ key, *item.mValue, item.mVersion });
      }
    }
  }
  return list;
}

change_result
store::Write(const std::string& aTable,
             const std::string& aKey,
             std::string aValue,
             std::optional<std::uint64_t> aExpected)
{
  auto& item = mTables[aTable][aKey];
  if (!IsExpected(item, aExpected)) {
    return conflict{ item };
  }
  item.mValue = std::move(aValue);
  return ++item.mVersion;
}

change_result
store::Delete(const std::string& aTable,
              const std::string& aKey,
              std::optional<std::uint64_t> aExpected)
{
  auto& item = mTables[aTable][aKey];
  if (!IsExpected(item, aExpected)) {
    return conflict{ item };
  }
  item.mValue.reset();
  return item.mVersion;
}

std::optional<std::string>
store::GetObject(const std::string& aName) const
{
  const auto found = mObjects.find(aName);
  return found == mObjects.end() ? std::nullopt : std::optional(found->second);
}

void
store::PutObject(const std::string& aName, std::string aBytes)
{
  mObjects[aName] = std::move(aBytes);
}

void
store::DeleteObject(const std::string& aName)
{
  mObjects.erase(aName);
}

} // namespace gooseberry::platform
