#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Tables and objects in memory, as the platform's service would keep them. */
namespace gooseberry::platform {

/** A row that is there, or the last version of one that was deleted. */
struct row
{
  std::optional<std::string> mValue;
  /** Grows by 1 with each write, also over a deletion; 0: never written. */
  std::uint64_t mVersion = 0;
};

/** A row that is there, with its key. */
struct listed_row
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/** The expected version was not the row's. */
struct conflict
{
  row mCurrent;
};

/** The new version of a row. */
using change_result = std::variant<std::uint64_t, conflict>;

/** For one thread at a time. */
class store
{
public:
  std::optional<row> Read(const std::string& aTable,
                          const std::string& aKey) const;
  std::vector<listed_row> List(const std::string& aTable) const;
  /** `aExpected`: 0 for "there is no such row"; none for "in any case". */
  change_result Write(const std::string& aTable,
                      const std::string& aKey,
                      std::string aValue,
                      std::optional<std::uint64_t> aExpected);
  change_result Delete(const std::string& aTable,
                       const std::string& aKey,
                       std::optional<std::uint64_t> aExpected);

  std::optional<std::string> GetObject(const std::string& aName) const;
  void PutObject(const std::string& aName, std::string aBytes);
  void DeleteObject(const std::string& aName);

private:
  using table = std::map<std::string, row>;

  std::map<std::string, table> mTables;
  std::map<std::string, std::string> mObjects;
};

} // namespace gooseberry::platform
